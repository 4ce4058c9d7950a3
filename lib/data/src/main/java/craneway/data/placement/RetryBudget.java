package craneway.data.placement;

import java.util.ArrayDeque;

/**
 * Limits retries over a sliding window. The fleet as a whole may retry a share of its requests plus a fixed number;
 * each router uses that share of its own requests plus an equal part of the fixed number, without coordination.
 *
 * <p>Times are microseconds of the steady clock. Not thread-safe.
 */
public final class RetryBudget {
    /**
     * Share of the computed budget that a router uses, so that all routers together stay below the fleet's limit.
     */
    private static final double BUDGET_SAFETY_FACTOR = 0.75;

    private final long windowMicros;
    private final double retryRatio;
    private final double fleetRetrySlack;
    private final ArrayDeque<Long> requestTimes = new ArrayDeque<>();
    private final ArrayDeque<Long> retryTimes = new ArrayDeque<>();

    /**
     * Creates the budget of one router.
     *
     * @param windowMicros length of the sliding window
     * @param retryRatio retries allowed for each request within the window
     * @param fleetRetrySlack retries that all routers together may use within the window in addition
     */
    public RetryBudget(long windowMicros, double retryRatio, double fleetRetrySlack) {
        this.windowMicros = windowMicros;
        this.retryRatio = retryRatio;
        this.fleetRetrySlack = fleetRetrySlack;
    }

    /** Records a new request, which adds to the budget. */
    public void recordRequest(long now) {
        requestTimes.add(now);
        removeExpired(requestTimes, now);
    }

    /**
     * Uses one retry of the budget.
     *
     * @param routers the number of routers that share the fleet's fixed number of retries
     * @return false, and nothing is used, if the budget is exhausted
     */
    public boolean tryAcquire(int routers, long now) {
        removeExpired(requestTimes, now);
        removeExpired(retryTimes, now);
        if (retryTimes.size() + 1
                > BUDGET_SAFETY_FACTOR * (retryRatio * requestTimes.size() + fleetRetrySlack / Math.max(1, routers)))
            return false;
        retryTimes.add(now);
        return true;
    }

    private void removeExpired(ArrayDeque<Long> times, long now) {
        while (!times.isEmpty() && now - times.peek() > windowMicros) times.poll();
    }
}
