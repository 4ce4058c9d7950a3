package craneway.sim.history;

import craneway.sim.Simulation;
import craneway.sim.history.OperatorEndpoint.Request;
import craneway.sim.history.OperatorEndpoint.Response;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

/**
 * One call of an operator as the platform's documentation prescribes: to a node of its list; after a failure, a 5xx, a
 * 408 or 429, or a second without a response, the same request to another node after an increasing pause. The call ends
 * with a 2xx, with 400, 409, 412, 413 or 422, with the third of any other 4xx, and when its time has passed. No store
 * answers 307, so redirects are not followed.
 */
final class OperatorCall {
    static final long ATTEMPT_TIMEOUT_MICROS = 1_000_000;
    private static final long INITIAL_BACKOFF_MICROS = 50_000;
    private static final long MAX_BACKOFF_MICROS = 1_600_000;
    private static final Set<Integer> FINAL_STATUSES = Set.of(400, 409, 412, 413, 422);
    private static final Set<Integer> RETRYABLE_STATUSES = Set.of(408, 429);
    private static final int MAX_OTHER_CLIENT_ERRORS = 3;

    /** Receives the result of each attempt and of the whole call; null stands for no response. */
    interface Listener {
        /** Called when an attempt ends. */
        void attemptEnded(long sentAt, Response response);

        /** Called when the whole call ends; the answer is null if no definite one came in time. */
        void callEnded(long startedAt, Response response);
    }

    private final Simulation sim;
    private final OperatorNetwork net;
    private final Supplier<List<String>> nodeNames;
    private final Request request;
    private final Listener listener;
    private final long startedAt;
    private final long deadline;
    private long backoff = INITIAL_BACKOFF_MICROS;
    private int otherClientErrors;

    /** Incremented when an attempt begins and when it ends, so that later events of it are ignored. */
    private int attemptEvents;

    private String lastNode = "";

    OperatorCall(
            Simulation sim,
            OperatorNetwork net,
            Supplier<List<String>> nodeNames,
            Request request,
            long timeout,
            Listener listener) {
        this.sim = sim;
        this.net = net;
        this.nodeNames = nodeNames;
        this.request = request;
        this.listener = listener;
        startedAt = sim.now();
        deadline = startedAt + timeout;
    }

    /** Starts the next attempt. */
    void startAttempt() {
        var attempt = ++attemptEvents;
        var sentAt = sim.now();
        lastNode = chooseNode();
        net.call(net.node(lastNode), request, response -> {
            if (attempt == attemptEvents) endAttempt(sentAt, response);
        });
        sim.scheduleAfter(ATTEMPT_TIMEOUT_MICROS, () -> {
            if (attempt == attemptEvents) endAttempt(sentAt, null);
        });
    }

    private String chooseNode() {
        var names = nodeNames.get();
        var others = names.stream().filter(name -> !name.equals(lastNode)).toList();
        var candidates = others.isEmpty() ? names : others;
        return candidates.get(sim.random.nextInt(candidates.size()));
    }

    private void endAttempt(long sentAt, Response response) {
        attemptEvents++;
        listener.attemptEnded(sentAt, response);
        if (response != null && (response.isOk() || isRefusal(response))) {
            listener.callEnded(startedAt, response);
            return;
        }
        var nextAttemptAt = sim.now() + backoff;
        backoff = Math.min(MAX_BACKOFF_MICROS, backoff * 2);
        if (nextAttemptAt > deadline) listener.callEnded(startedAt, null);
        else sim.scheduleAt(nextAttemptAt, this::startAttempt);
    }

    private boolean isRefusal(Response response) {
        if (FINAL_STATUSES.contains(response.status())) return true;
        if (response.status() < 400 || response.status() >= 500 || RETRYABLE_STATUSES.contains(response.status()))
            return false;
        return ++otherClientErrors >= MAX_OTHER_CLIENT_ERRORS;
    }
}
