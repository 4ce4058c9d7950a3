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
    public synchronized void leader(int part, Node node) {
        if (node != null) leaderByPart.put(part, node);
        else leaderByPart.remove(part);
    }

    /** Asks the leader of the part; the verdict comes once, within the patience, in microseconds. */
    public void ask(int part, Object body, long timeoutMicros, Consumer<CommandResult> onResult) {
        askUntil(part, body, port.now() + timeoutMicros, onResult);
    }

    /** Asks for one who waits until then, by the steady clock of this process, and not from now on. */
    public void askUntil(int part, Object body, long deadline, Consumer<CommandResult> onResult) {
        var pending = new PendingRequest();
        pending.part = part;
        pending.body = Codec.writeTagged(body);
        pending.isCommand = Commands.is(body);
        pending.deadline = deadline;
        pending.onResult = onResult;
        synchronized (this) {
            pending.id = nextId++;
            pendingById.put(pending.id, pending);
            if (port.now() < deadline) send(pending);
        }
    }

    private void send(PendingRequest pending) {
        var now = port.now();
        pending.nextSendAt = now + RETRY_DELAY_MICROS;
        var store = leaderByPart.get(pending.part);
        if (store == null) store = storeInTurn(pending.storeTurn++);
        if (store == null) return;
        pending.sent = true;
        port.send(store.peerAddress, buildRequest(pending, store, now));
    }

    /** Where no reading of the leader's clock is at hand, a command's first copy only asks for one. */
    private CommandRequest buildRequest(PendingRequest pending, Node store, long now) {
        var request = new CommandRequest();
        request.id = pending.id;
        request.part = pending.part;
        request.from = directory.self();
        request.life = life;
        request.lowest = pendingById.firstKey();
        request.body = pending.body;
        pending.clockOnly = false;
        if (!pending.isCommand) return request;
        var clock = clockByPart.get(pending.part);
        if (clock != null && clock.isFresh(now)) {
            request.term = clock.term();
            request.bound = clock.leaderTimeAt(pending.deadline);
        } else if (store.fenced && !pending.sendUnbound) {
            pending.clockOnly = true;
            request.body = CLOCK_REQUEST_BODY;
        }
        return request;
    }

    private Node storeInTurn(int turn) {
        var stores = directory.stores();
        return stores.isEmpty() ? null : stores.get(Math.floorMod(turn, stores.size()));
    }

    /** Takes a verdict from another process, or from this one. */
    public void receive(CommandResult result) {
        if (result.life != 0 && result.life != life) {
            port.note(Event.STALE_VERDICT, "life " + Long.toHexString(result.life) + " ask " + result.id);
            return;
        }
        PendingRequest pending;
        synchronized (this) {
            pending = pendingById.get(result.id);
            if (pending == null) return;
            if (result.term != 0)
                clockByPart.merge(
                        pending.part,
                        new LeaderClock(result.term, result.clock, port.now()),
                        LeaderClock::moreAccurate);
            if (result.kind == Kind.NOT_OWNER.code() || result.kind == Kind.UNCERTAIN.code()) {
                redirect(pending, result.leader);
                return;
            }
            if (result.kind == Kind.LATE_COMMAND.code() || result.kind == Kind.UNKNOWN_LIFE.code()) {
                resendRebound(pending);
                return;
            }
            if (pending.clockOnly && result.kind == Kind.BAD_MESSAGE.code()) {
                pending.sendUnbound = true;
                send(pending);
                return;
            }
            pendingById.remove(result.id);
        }
        pending.onResult.accept(result);
    }

    private void redirect(PendingRequest pending, Node hint) {
        var previous = leaderByPart.get(pending.part);
        leader(pending.part, hint);
        if (hint != null
                && (previous == null
                        || !previous.name.equals(hint.name)
                        || !previous.peerAddress.equals(hint.peerAddress))) send(pending);
        else pending.nextSendAt = Math.min(pending.nextSendAt, port.now() + RETRY_DELAY_MICROS / 4);
    }

    /** The copy had no effect and its answer brought a reading of the leader's clock: the next copy is bound by that. */
    private void resendRebound(PendingRequest pending) {
        var now = port.now();
        if (now >= pending.deadline) return;
        if (pending.declines++ < MAX_IMMEDIATE_RESENDS) send(pending);
        else pending.nextSendAt = Math.min(pending.nextSendAt, now + RETRY_DELAY_MICROS / 4);
    }

    /** Sends again what got no answer, and gives up what is over. */
    public void tick(long now) {
        List<PendingRequest> expired = new ArrayList<>();
        synchronized (this) {
            for (var pending : List.copyOf(pendingById.values())) {
                if (now >= pending.deadline) {
                    pendingById.remove(pending.id);
                    expired.add(pending);
                } else if (now >= pending.nextSendAt) {
                    leaderByPart.remove(pending.part);
                    send(pending);
                }
            }
        }
        for (var pending : expired)
            pending.onResult.accept(
                    pending.sent
                            ? Records.failure(Kind.UNCERTAIN, Kind.UNCERTAIN.text())
                            : Records.failure(Kind.NO_OWNER, "no store is known"));
    }
}
