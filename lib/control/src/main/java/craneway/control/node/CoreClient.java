package craneway.control.node;

import craneway.model.event.Event;
import craneway.model.problem.ProblemKind;
import craneway.state.message.Codec;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandRequest;
import craneway.state.message.Messages.CommandResult;
import craneway.state.message.Node;
import craneway.state.record.Records;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Asks the leader of a part, again where no answer comes. All copies of an ask carry one identity (the life of this process
 * and a rising id), so that a command is applied once, and a bound by the leader's clock, so that a copy that comes later than
 * the asker's patience has no effect.
 */
public final class CoreClient {
    private static final long RETRY_AFTER = 400_000;
    private static final int AT_ONCE = 2;
    private static final byte[] CLOCK_ONLY = {};

    private static final class PendingRequest {
        long id;
        int part;
        byte[] body;
        boolean command;
        boolean clockOnly;
        boolean plain;
        long due;
        long until;
        int turn;
        int lapses;
        boolean delivered;
        Consumer<CommandResult> then;
    }

    private final Port port;
    private final NodeDirectory directory;
    private final long life;
    private final TreeMap<Long, PendingRequest> open = new TreeMap<>();
    private final Map<Integer, Node> leaders = new HashMap<>();
    private final Map<Integer, LeaderClock> clocks = new HashMap<>();
    private long next;

    /** The life must be random, all 64 bits of it: no other process may have had the same. */
    public CoreClient(Port port, NodeDirectory directory, long life) {
        this.port = port;
        this.directory = directory;
        this.life = life == 0 ? 1 : life;
        this.next = life >>> 8;
    }

    /** The store that is thought to lead the part; null where none is known. */
    public synchronized Node leader(int part) {
        return leaders.get(part);
    }

    /** Takes note of who leads the part; null: nobody known. */
    public synchronized void leader(int part, Node n) {
        if (n != null) leaders.put(part, n);
        else leaders.remove(part);
    }

    /** Asks the leader of the part; the verdict comes once, within the patience, in microseconds. */
    public void request(int part, Object body, long timeout, Consumer<CommandResult> then) {
        requestUntil(part, body, port.now() + timeout, then);
    }

    /** Asks for one who waits until then, by the steady clock of this process, and not from now on. */
    public void requestUntil(int part, Object body, long until, Consumer<CommandResult> then) {
        var o = new PendingRequest();
        o.part = part;
        o.body = Codec.encodeTagged(body);
        o.command = Commands.isCommand(body);
        o.until = until;
        o.then = then;
        synchronized (this) {
            o.id = next++;
            open.put(o.id, o);
            if (port.now() < until) send(o);
        }
    }

    private void send(PendingRequest o) {
        var now = port.now();
        o.due = now + RETRY_AFTER;
        var to = leaders.get(o.part);
        if (to == null) to = anyStore(o.turn++);
        if (to == null) return;
        o.delivered = true;
        port.send(to.peerAddress, copy(o, to, now));
    }

    /** Where no reading of the leader's clock is at hand, a command's first copy only asks for one. */
    private CommandRequest copy(PendingRequest o, Node to, long now) {
        var a = new CommandRequest();
        a.id = o.id;
        a.part = o.part;
        a.from = directory.self();
        a.sessionId = life;
        a.lowestPending = open.firstKey();
        a.body = o.body;
        o.clockOnly = false;
        if (!o.command) return a;
        var c = clocks.get(o.part);
        if (c != null && c.fresh(now)) {
            a.leaderTerm = c.term();
            a.leaderDeadline = c.at(o.until);
        } else if (to.supportsIdentifiedCommands && !o.plain) {
            o.clockOnly = true;
            a.body = CLOCK_ONLY;
        }
        return a;
    }

    private Node anyStore(int turn) {
        var all = directory.stores();
        return all.isEmpty() ? null : all.get(Math.floorMod(turn, all.size()));
    }

    /** Takes a verdict from another process, or from this one. */
    public void receive(CommandResult v) {
        if (v.sessionId != 0 && v.sessionId != life) {
            port.logEvent(Event.STALE_REPLY, "life " + Long.toHexString(v.sessionId) + " ask " + v.id);
            return;
        }
        PendingRequest o;
        synchronized (this) {
            o = open.get(v.id);
            if (o == null) return;
            if (v.leaderTerm != 0) clocks.merge(o.part, new LeaderClock(v.leaderTerm, v.leaderClock, port.now()), LeaderClock::better);
            if (v.kind == ProblemKind.NOT_OWNER.code() || v.kind == ProblemKind.UNCERTAIN.code()) {
                redirect(o, v.leader);
                return;
            }
            if (v.kind == ProblemKind.LATE_COMMAND.code() || v.kind == ProblemKind.UNKNOWN_LIFE.code()) {
                anew(o);
                return;
            }
            if (o.clockOnly && v.kind == ProblemKind.BAD_MESSAGE.code()) {
                o.plain = true;
                send(o);
                return;
            }
            open.remove(v.id);
        }
        o.then.accept(v);
    }

    private void redirect(PendingRequest o, Node hint) {
        var had = leaders.get(o.part);
        leader(o.part, hint);
        if (hint != null && (had == null || !had.name.equals(hint.name) || !had.peerAddress.equals(hint.peerAddress)))
            send(o);
        else o.due = Math.min(o.due, port.now() + RETRY_AFTER / 4);
    }

    /** The copy had no effect and its answer brought a reading of the leader's clock: the next copy is bound by that. */
    private void anew(PendingRequest o) {
        var now = port.now();
        if (now >= o.until) return;
        if (o.lapses++ < AT_ONCE) send(o);
        else o.due = Math.min(o.due, now + RETRY_AFTER / 4);
    }

    /** Sends again what got no answer, and gives up what is over. */
    public void tick(long now) {
        List<PendingRequest> over = new ArrayList<>();
        synchronized (this) {
            for (var o : List.copyOf(open.values())) {
                if (now >= o.until) {
                    open.remove(o.id);
                    over.add(o);
                } else if (now >= o.due) {
                    leaders.remove(o.part);
                    send(o);
                }
            }
        }
        for (var o : over)
            o.then.accept(
                    o.delivered
                            ? Records.failure(ProblemKind.UNCERTAIN, ProblemKind.UNCERTAIN.text())
                            : Records.failure(ProblemKind.NO_OWNER, "no store is known"));
    }
}
