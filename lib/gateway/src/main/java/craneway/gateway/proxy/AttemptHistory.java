package craneway.gateway.proxy;

import java.util.ArrayList;
import java.util.List;

/**
 * Records what is known of each attempt to run a request on a runner. A response may promise that the request has not
 * run and never will only if that is known of every attempt. No I/O. Not thread-safe.
 */
final class AttemptHistory {
    /** What is known of one attempt. */
    enum Outcome {
        /** It was started, and nothing shows that it has not run: it may have run, or may still run. */
        MAY_HAVE_RUN,
        /** No byte of it left this process, and none will. */
        NEVER_SENT,
        /** The runner stated that it has not run the request and will not run it. */
        REJECTED
    }

    private final List<Outcome> outcomes = new ArrayList<>(2);

    /** Adds an attempt; it may have run until something else is known of it. */
    void start() {
        outcomes.add(Outcome.MAY_HAVE_RUN);
    }

    /** Records that the last attempt ended before any byte of it was sent. */
    void markNeverSent() {
        resolveLast(Outcome.NEVER_SENT);
    }

    /** Records that the runner stated that it has not run the last attempt. */
    void markRejected() {
        resolveLast(Outcome.REJECTED);
    }

    private void resolveLast(Outcome outcome) {
        var last = outcomes.size() - 1;
        if (last < 0 || outcomes.get(last) != Outcome.MAY_HAVE_RUN)
            throw new IllegalStateException(outcomes + ", " + outcome);
        outcomes.set(last, outcome);
    }

    /**
     * The number of attempts that reached a runner or may have; only these count against the attempts that a route
     * allows.
     */
    int sentCount() {
        var count = 0;
        for (var outcome : outcomes) if (outcome != Outcome.NEVER_SENT) count++;
        return count;
    }

    /** Whether any attempt may have run; if so, no response may promise that the request has not run. */
    boolean mayHaveRun() {
        return outcomes.contains(Outcome.MAY_HAVE_RUN);
    }
}
