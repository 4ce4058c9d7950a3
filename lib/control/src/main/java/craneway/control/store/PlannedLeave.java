package craneway.control.store;

/**
 * Whether a store that was told to stop is still needed at one part. It goes once the part's leader says that it may; where there
 * is no leader, or one that gives no answer (as an earlier version gives none), it waits a while for each. Times are microseconds.
 */
final class PlannedLeave {
    private static final long WAIT_TIMEOUT_MICROS = 2_000_000;

    private long askingSince;
    private long leaderlessSince;
    private long answeredAt;
    private boolean mayLeave;

    /** The leader has answered. */
    synchronized void recordAnswer(boolean mayLeaveNow, long now) {
        answeredAt = now;
        mayLeave = mayLeaveNow;
    }

    /** Whether it is needed, with the stop begun at that time, given whether it leads the part and whether a leader is heard. */
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
