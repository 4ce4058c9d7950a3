package craneway.control.node;

/**
 * What a node knows of the steady clock of a part's leader: at the local time {@code heard}, or before it, the leader of
 * {@code term} read {@code clock} from its own. Between leader and node no wall clock is compared, and the origins of their
 * steady clocks do not matter.
 */
record LeaderClock(long term, long clockMicros, long heardAt) {
    /** A reading is used no longer than this, so that clocks that run up to 500 ppm apart differ by 15 ms at most. */
    static final long FRESH_FOR_MICROS = 30_000_000;

    boolean isFresh(long now) {
        return now - heardAt < FRESH_FOR_MICROS;
    }

    /**
     * The leader's clock when the local one shows {@code until}, told no later than it is: the reading was taken at or before
     * {@code heard}, so that the leader's clock has gone on at least since then.
     */
    long leaderTimeAt(long localTime) {
        return clockMicros + (localTime - heardAt);
    }

    /** The better of two: that of the later term; within a term the one that took less time on its way, while it is young. */
    static LeaderClock moreAccurate(LeaderClock older, LeaderClock newer) {
        if (older == null || newer.term > older.term) return newer;
        if (newer.term < older.term) return older;
        var isTighter = newer.clockMicros - newer.heardAt >= older.clockMicros - older.heardAt;
        return isTighter || newer.heardAt - older.heardAt > FRESH_FOR_MICROS / 2 ? newer : older;
    }
}
