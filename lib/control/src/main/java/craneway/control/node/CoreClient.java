package craneway.control.node;

import craneway.model.event.Event;
import craneway.model.problem.Kind;
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
    private static final long RETRY_DELAY_MICROS = 400_000;
    private static final int MAX_IMMEDIATE_RESENDS = 2;
    private static final byte[] CLOCK_REQUEST_BODY = {};

    private static final class PendingRequest {
        long id;
        int part;
        byte[] body;
        boolean isCommand;
        boolean clockOnly;
        boolean sendUnbound;
        long nextSendAt;
        long deadline;
        int storeTurn;
        int declines;
        boolean sent;
        Consumer<CommandResult> onResult;
    }

    private final Port port;
    private final Directory directory;
    private final long life;
    private final TreeMap<Long, PendingRequest> pendingById = new TreeMap<>();
    private final Map<Integer, Node> leaderByPart = new HashMap<>();
    private final Map<Integer, LeaderClock> clockByPart = new HashMap<>();
    private long nextId;

    /** The life must be random, all 64 bits of it: no other process may have had the same. */
    public CoreClient(Port port, Directory directory, long life) {
        this.port = port;
        this.directory = directory;
        this.life = life == 0 ? 1 : life;
        this.nextId = life >>> 8;
    }

    /** The store that is thought to lead the part; null where none is known. */
    public synchronized Node leader(int part) {
        return leaderByPart.get(part);
    }

    /** Takes note of who leads the part; null: nobody known. */
    public synchronized void leader(int part, Node n) {
        if (n != null) leaderByPart.put(part, n);
        else leaderByPart.remove(part);
    }

    /** Asks the leader of the part; the verdict comes once, within the patience, in microseconds. */
    public void ask(int part, Object body, long timeout, Consumer<CommandResult> then) {
        askUntil(part, body, port.now() + timeout, then);
    }

    /** Asks for one who waits until then, by the steady clock of this process, and not from now on. */
    public void askUntil(int part, Object body, long until, Consumer<CommandResult> then) {
        var o = new PendingRequest();
        o.part = part;
        o.body = Codec.writeTagged(body);
        o.isCommand = Commands.is(body);
        o.deadline = until;
        o.onResult = then;
        synchronized (this) {
            o.id = nextId++;
            pendingById.put(o.id, o);
            if (port.now() < until) send(o);
        }
    }

    private void send(PendingRequest o) {
        var now = port.now();
        o.nextSendAt = now + RETRY_DELAY_MICROS;
        var to = leaderByPart.get(o.part);
        if (to == null) to = storeInTurn(o.storeTurn++);
        if (to == null) return;
        o.sent = true;
        port.send(to.peerAddress, buildRequest(o, to, now));
    }

    /** Where no reading of the leader's clock is at hand, a command's first copy only asks for one. */
    private CommandRequest buildRequest(PendingRequest o, Node to, long now) {
        var a = new CommandRequest();
        a.id = o.id;
        a.part = o.part;
        a.from = directory.self();
        a.life = life;
        a.lowest = pendingById.firstKey();
        a.body = o.body;
        o.clockOnly = false;
        if (!o.isCommand) return a;
        var c = clockByPart.get(o.part);
        if (c != null && c.isFresh(now)) {
            a.term = c.term();
            a.bound = c.leaderTimeAt(o.deadline);
        } else if (to.fenced && !o.sendUnbound) {
            o.clockOnly = true;
            a.body = CLOCK_REQUEST_BODY;
        }
        return a;
    }

    private Node storeInTurn(int turn) {
        var all = directory.stores();
        return all.isEmpty() ? null : all.get(Math.floorMod(turn, all.size()));
    }

    /** Takes a verdict from another process, or from this one. */
    public void receive(CommandResult v) {
        if (v.life != 0 && v.life != life) {
            port.note(Event.STALE_VERDICT, "life " + Long.toHexString(v.life) + " ask " + v.id);
            return;
        }
        PendingRequest o;
        synchronized (this) {
            o = pendingById.get(v.id);
            if (o == null) return;
            if (v.term != 0)
                clockByPart.merge(o.part, new LeaderClock(v.term, v.clock, port.now()), LeaderClock::moreAccurate);
            if (v.kind == Kind.NOT_OWNER.code() || v.kind == Kind.UNCERTAIN.code()) {
                redirect(o, v.leader);
                return;
            }
            if (v.kind == Kind.LATE_COMMAND.code() || v.kind == Kind.UNKNOWN_LIFE.code()) {
                resendRebound(o);
                return;
            }
            if (o.clockOnly && v.kind == Kind.BAD_MESSAGE.code()) {
                o.sendUnbound = true;
                send(o);
                return;
            }
            pendingById.remove(v.id);
        }
        o.onResult.accept(v);
    }

    private void redirect(PendingRequest o, Node hint) {
        var had = leaderByPart.get(o.part);
        leader(o.part, hint);
        if (hint != null && (had == null || !had.name.equals(hint.name) || !had.peerAddress.equals(hint.peerAddress)))
            send(o);
        else o.nextSendAt = Math.min(o.nextSendAt, port.now() + RETRY_DELAY_MICROS / 4);
    }

    /** The copy had no effect and its answer brought a reading of the leader's clock: the next copy is bound by that. */
    private void resendRebound(PendingRequest o) {
        var now = port.now();
        if (now >= o.deadline) return;
        if (o.declines++ < MAX_IMMEDIATE_RESENDS) send(o);
        else o.nextSendAt = Math.min(o.nextSendAt, now + RETRY_DELAY_MICROS / 4);
    }

    /** Sends again what got no answer, and gives up what is over. */
    public void tick(long now) {
        List<PendingRequest> over = new ArrayList<>();
        synchronized (this) {
            for (var o : List.copyOf(pendingById.values())) {
                if (now >= o.deadline) {
                    pendingById.remove(o.id);
                    over.add(o);
                } else if (now >= o.nextSendAt) {
                    leaderByPart.remove(o.part);
                    send(o);
                }
            }
        }
        for (var o : over)
            o.onResult.accept(
                    o.sent
                            ? Records.failure(Kind.UNCERTAIN, Kind.UNCERTAIN.text())
                            : Records.failure(Kind.NO_OWNER, "no store is known"));
    }
}
