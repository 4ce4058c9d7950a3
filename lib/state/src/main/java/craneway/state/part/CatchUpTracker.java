package craneway.state.part;

/**
 * The catch-up rounds of one peer, as its leader sees them. A round ends when the peer holds everything the leader's log held when
 * the round began; the next one begins at once. The peer has caught up while its last whole round was short and the open one has
 * not outlasted that bound, so what it still lacks is no more than came within one bound. Times are microseconds.
 */
final class CatchUpTracker {
    private final long maxRoundMicros;
    private long roundTargetIndex;
    private long roundStartedAt;
    private boolean lastRoundWasShort;

    CatchUpTracker(long bound, long lastIndex, long now) {
        this.maxRoundMicros = bound;
        startRound(lastIndex, now);
    }

    private void startRound(long lastIndex, long now) {
        roundTargetIndex = lastIndex;
        roundStartedAt = now;
    }

    /** The peer said that its log matches the leader's up to an entry. */
    void onMatch(long match, long lastIndex, long now) {
        if (match < roundTargetIndex) return;
        lastRoundWasShort = now - roundStartedAt <= maxRoundMicros;
        startRound(lastIndex, now);
    }

    boolean isCaughtUp(long now) {
        return lastRoundWasShort && now - roundStartedAt <= maxRoundMicros;
    }
}
