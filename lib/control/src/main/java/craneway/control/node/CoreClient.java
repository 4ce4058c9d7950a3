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
 * Sends queries and commands to the leader of a part and repeats them until a result arrives. All copies of a request
 * carry one identity, the session id of this process and an increasing request id, so that a command is applied once.
 * Commands also carry a deadline on the leader's clock, so that a copy that arrives after the caller's deadline has no
 * effect.
 *
 * <p>Safe for several threads. Results are delivered on the thread that calls {@link #receive} or {@link #tick}. Times
 * are microseconds.
 */
public final class CoreClient {
    /**
     * How long to wait for an answer before the request is sent again; a quarter of it after an answer without
     * effect.
     */
    private static final long RETRY_DELAY_MICROS = 400_000;
    /** After this many answers that a copy was late, further copies wait for the retry delay. */
    private static final int MAX_IMMEDIATE_RESENDS = 2;
    /** The empty body of a request that only asks for the leader's clock. */
    private static final byte[] CLOCK_REQUEST_BODY = {};

    /** A request that waits for its result. */
    private static final class PendingRequest {
        long id;
        int part;
        byte[] body;
        /** Commands change the state and carry a deadline on the leader's clock; queries do not. */
        boolean isCommand;

        /** Whether the last copy only asked for the leader's clock. */
        boolean clockOnly;

        /**
         * Whether the store cannot read clock requests, so that the command is sent without a deadline on the leader's
         * clock.
         */
        boolean sendWithoutDeadline;

        long nextSendAt;
        long deadline;
        int storeTurn;
        /** The number of copies that were declined as late or as coming from an unknown session. */
        int declines;

        /** Whether any copy was sent; if not, the request certainly had no effect. */
        boolean sent;

        Consumer<CommandResult> onResult;
    }

    private final Port port;
    private final NodeDirectory directory;
    private final long sessionId;
    private final TreeMap<Long, PendingRequest> pendingById = new TreeMap<>();
    private final Map<Integer, Node> leaderByPart = new HashMap<>();
    private final Map<Integer, LeaderClock> clockByPart = new HashMap<>();
    private long nextId;

    /**
     * Creates a client. The session id identifies this process: it must be 64 random bits that no other process ever
     * used.
     */
    public CoreClient(Port port, NodeDirectory directory, long sessionId) {
        this.port = port;
        this.directory = directory;
        this.sessionId = sessionId == 0 ? 1 : sessionId;
        this.nextId = sessionId >>> 8;
    }

    /** The store believed to lead the part; null if it is unknown. */
    public synchronized Node leader(int part) {
        return leaderByPart.get(part);
    }

    /** Records which store leads the part; null for unknown. */
    public synchronized void leader(int part, Node node) {
        if (node != null) leaderByPart.put(part, node);
        else leaderByPart.remove(part);
    }

    /**
     * Sends a query or command to the leader of a part; {@code onResult} gets exactly one result, no later than about
     * {@code timeoutMicros} from now.
     */
    public void request(int part, Object body, long timeoutMicros, Consumer<CommandResult> onResult) {
        requestUntil(part, body, port.now() + timeoutMicros, onResult);
    }

    /**
     * Like {@link #request}, for a caller that waits until {@code deadline} by the monotonic clock of this process. If
     * it has passed, nothing is sent and the next tick reports the failure.
     */
    public void requestUntil(int part, Object body, long deadline, Consumer<CommandResult> onResult) {
        var pending = new PendingRequest();
        pending.part = part;
        pending.body = Codec.encodeTagged(body);
        pending.isCommand = Commands.isCommand(body);
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

    /**
     * Builds a copy of a request. Without a recent reading of the leader's clock, the first copy of a command only
     * asks for one.
     */
    private CommandRequest buildRequest(PendingRequest pending, Node store, long now) {
        var request = new CommandRequest();
        request.id = pending.id;
        request.part = pending.part;
        request.from = directory.self();
        request.sessionId = sessionId;
        request.lowestPending = pendingById.firstKey();
        request.body = pending.body;
        pending.clockOnly = false;
        if (!pending.isCommand) return request;
        var clock = clockByPart.get(pending.part);
        if (clock != null && clock.isFresh(now)) {
            request.leaderTerm = clock.term();
            request.leaderDeadline = clock.leaderTimeAt(pending.deadline);
        } else if (store.supportsIdentifiedCommands && !pending.sendWithoutDeadline) {
            pending.clockOnly = true;
            request.body = CLOCK_REQUEST_BODY;
        }
        return request;
    }

    /** A store to try while the leader is unknown; null if no store is known. */
    private Node storeInTurn(int turn) {
        var stores = directory.stores();
        return stores.isEmpty() ? null : stores.get(Math.floorMod(turn, stores.size()));
    }

    /**
     * Handles a result. Results for an earlier process at this address and for requests no longer pending are dropped.
     */
    public void receive(CommandResult result) {
        if (result.sessionId != 0 && result.sessionId != sessionId) {
            port.logEvent(Event.STALE_REPLY, "life " + Long.toHexString(result.sessionId) + " request " + result.id);
            return;
        }
        PendingRequest pending;
        synchronized (this) {
            pending = pendingById.get(result.id);
            if (pending == null) return;
            if (result.leaderTerm != 0)
                clockByPart.merge(
                        pending.part,
                        new LeaderClock(result.leaderTerm, result.leaderClock, port.now()),
                        LeaderClock::moreAccurate);
            if (result.kind == ProblemKind.NOT_OWNER.code() || result.kind == ProblemKind.UNCERTAIN.code()) {
                redirect(pending, result.leader);
                return;
            }
            if (result.kind == ProblemKind.LATE_COMMAND.code() || result.kind == ProblemKind.UNKNOWN_LIFE.code()) {
                resendWithNewDeadline(pending);
                return;
            }
            if (pending.clockOnly && result.kind == ProblemKind.BAD_MESSAGE.code()) {
                pending.sendWithoutDeadline = true;
                send(pending);
                return;
            }
            pendingById.remove(result.id);
        }
        pending.onResult.accept(result);
    }

    /** Records the leader that a store named, and resends at once if it differs from the leader known so far. */
    private void redirect(PendingRequest pending, Node namedLeader) {
        var previous = leaderByPart.get(pending.part);
        leader(pending.part, namedLeader);
        if (namedLeader != null
                && (previous == null
                        || !previous.name.equals(namedLeader.name)
                        || !previous.peerAddress.equals(namedLeader.peerAddress))) send(pending);
        else pending.nextSendAt = Math.min(pending.nextSendAt, port.now() + RETRY_DELAY_MICROS / 4);
    }

    /**
     * Sends a declined copy again. It had no effect, and its answer brought a reading of the leader's clock, by which
     * the deadline of the next copy is set.
     */
    private void resendWithNewDeadline(PendingRequest pending) {
        var now = port.now();
        if (now >= pending.deadline) return;
        if (pending.declines++ < MAX_IMMEDIATE_RESENDS) send(pending);
        else pending.nextSendAt = Math.min(pending.nextSendAt, now + RETRY_DELAY_MICROS / 4);
    }

    /**
     * Resends requests without an answer, and fails those whose deadline has passed: with UNCERTAIN if any copy was
     * sent.
     */
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
                            ? Records.failure(ProblemKind.UNCERTAIN, ProblemKind.UNCERTAIN.text())
                            : Records.failure(ProblemKind.NO_OWNER, "no store is known"));
    }
}
