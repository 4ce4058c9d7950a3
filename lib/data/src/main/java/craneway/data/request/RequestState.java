package craneway.data.request;

import craneway.state.record.Rows;
import java.util.HashSet;
import java.util.Set;

/**
 * The state of one request in a router. The object itself is the lock of its fields, except for the final and the
 * volatile ones. Times are microseconds of the steady clock.
 */
final class RequestState {
    final Request request;
    final RequestOutput output;
    final long acceptedAt;
    /** Names of the runners and routers that are not tried again. */
    final Set<String> excluded = new HashSet<>();

    RequestPhase phase = RequestPhase.DECIDING;
    /** The number of the current attempt; 0 before the first. */
    int attempt;

    boolean runOnce;
    /** Whether the core holds a claim for the request, or may hold one. */
    boolean hasClaim;
    /** Whether the request was counted against its tenant's quota, or the tenant has none. */
    boolean quotaTaken;
    /** Whether an earlier attempt may have started the work and broke off. */
    boolean earlierAttemptBroke;
    /** Whether the next attempt has to take a retry token. */
    boolean nextAttemptIsRetry;
    /**
     * Whether the request waits for a slot after a runner declined it as busy; it then also waits for a retry
     * token.
     */
    boolean waitsForSlot;
    /** Whether the last attempt went to another router. */
    boolean sentToRouter;
    /** The number under which the claim was requested; 0 if none was. */
    long claimNumber;

    int unit;
    long dispatchedAt;
    long firstDataAt;
    String lastRunnerName = "";
    volatile int streamedTokens;
    /** The version of the placement table that the request waits for. */
    long requiredTableVersion;
    /** The request stays in the buffer until this time. */
    long retryNotBefore;
    /** The runner that has the request, or null. */
    Rows.Runner runner;
    /** The name of the router to which the request was last forwarded, or null. */
    String router;

    volatile long lastProgressAt;

    RequestState(Request request, RequestOutput output, long acceptedAt) {
        this.request = request;
        this.output = output;
        this.acceptedAt = acceptedAt;
    }

    /** Changes the phase if the current one allows that; otherwise leaves it unchanged and returns false. */
    boolean transitionTo(RequestPhase next) {
        var allowed =
                switch (phase) {
                    case DECIDING, BUFFERED -> next != RequestPhase.STREAMING;
                    case AWAITING_CORE -> next != RequestPhase.STREAMING && next != RequestPhase.DECIDING;
                    case DISPATCHED ->
                        next == RequestPhase.DECIDING
                                || next == RequestPhase.BUFFERED
                                || next == RequestPhase.STREAMING
                                || next == RequestPhase.ENDED;
                    case FORWARDED ->
                        next == RequestPhase.DECIDING
                                || next == RequestPhase.BUFFERED
                                || next == RequestPhase.STREAMING
                                || next == RequestPhase.ENDED;
                    case STREAMING -> next == RequestPhase.ENDED;
                    case ENDED -> false;
                };
        if (allowed) phase = next;
        return allowed;
    }
}
