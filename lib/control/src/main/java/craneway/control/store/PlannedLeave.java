package craneway.control.store;

/**
 * Tracks whether a store that is stopping is still needed by one part. It may stop once the leader of the part says
 * so. If there is no leader, or one that does not answer (as in earlier versions), the store waits for a limited
 * time. Safe for several threads. Times are microseconds.
 */
final class PlannedLeave {
    /** The timeout of each wait: to hand over leadership, for a leader, and for its answer. */
    private static final long WAIT_TIMEOUT_MICROS = 2_000_000;

    private long askingSince;
    private long leaderlessSince;
    private long answeredAt;
    private boolean mayLeave;

    /** Records the leader's answer. */
    synchronized void recordAnswer(boolean mayLeaveNow, long now) {
        answeredAt = now;
        mayLeave = mayLeaveNow;
    }

    /**
     * Whether the store is still needed.
     *
     * @param stoppingSince when the stop began
     * @param isLeader whether this store leads the part
     * @param leaderHeard whether a leader of the part has been heard recently
     */
    synchronized boolean isNeeded(long stoppingSince, boolean isLeader, boolean leaderHeard, long now) {
        if (isLeader || !leaderHeard) askingSince = now;
        if (isLeader) return now - stoppingSince < WAIT_TIMEOUT_MICROS;
        if (!leaderHeard) {
            if (leaderlessSince == 0) leaderlessSince = now;
            return now - leaderlessSince < WAIT_TIMEOUT_MICROS;
        }
        leaderlessSince = 0;
        var askedAt = Math.max(stoppingSince, askingSince);
        return answeredAt > askedAt ? !mayLeave : now - askedAt < WAIT_TIMEOUT_MICROS;
    }
}
