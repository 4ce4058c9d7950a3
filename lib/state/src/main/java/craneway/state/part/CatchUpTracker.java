package craneway.state.part;

/**
 * Tracks how fast one peer catches up, in rounds. A round ends when the peer holds everything that the leader's log
 * held at the start of the round; the next round starts at once. The peer counts as caught up while its last complete
 * round was no longer than the limit and the current round has not exceeded it. What the peer is still missing then
 * arrived within one such limit. Times are microseconds.
 */
final class CatchUpTracker {
    private final long maxRoundMicros;
    private long roundTargetIndex;
    private long roundStartedAt;
    private boolean lastRoundWasShort;

    CatchUpTracker(long maxRoundMicros, long lastIndex, long now) {
        this.maxRoundMicros = maxRoundMicros;
        startRound(lastIndex, now);
    }

    private void startRound(long lastIndex, long now) {
        roundTargetIndex = lastIndex;
        roundStartedAt = now;
    }

    /** Records that the peer's log matches the leader's up to an index. */
    void onMatch(long matchIndex, long lastIndex, long now) {
        if (matchIndex < roundTargetIndex) return;
        lastRoundWasShort = now - roundStartedAt <= maxRoundMicros;
        startRound(lastIndex, now);
    }

    /** Returns whether the peer counts as caught up. */
    boolean isCaughtUp(long now) {
        return lastRoundWasShort && now - roundStartedAt <= maxRoundMicros;
    }
}
