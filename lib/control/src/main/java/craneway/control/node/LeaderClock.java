package craneway.control.node;

/**
 * A reading of the steady clock of a part's leader. No wall clocks are compared, and the origins of the steady clocks
 * do not matter.
 *
 * @param term the term of the leader
 * @param clockMicros what the leader's clock showed when it answered
 * @param heardAt the local time when the answer arrived
 */
record LeaderClock(long term, long clockMicros, long heardAt) {
    /**
     * A reading is used for at most this long, so that clocks whose rates differ by up to 500 ppm drift apart by at
     * most 15 ms.
     */
    static final long FRESH_FOR_MICROS = 30_000_000;

    /** Whether the reading is recent enough to be used. */
    boolean isFresh(long now) {
        return now - heardAt < FRESH_FOR_MICROS;
    }

    /**
     * The leader's clock when the local one shows {@code localTime}; at most what it really is, since the reading was
     * taken at or before {@code heardAt} and the leader's clock has advanced since.
     */
    long leaderTimeAt(long localTime) {
        return clockMicros + (localTime - heardAt);
    }

    /**
     * The better of two readings: that of the later term; within a term the one that was delivered faster, unless it
     * is more than half a validity period older.
     */
    static LeaderClock moreAccurate(LeaderClock older, LeaderClock newer) {
        if (older == null || newer.term > older.term) return newer;
        if (newer.term < older.term) return older;
        var isTighter = newer.clockMicros - newer.heardAt >= older.clockMicros - older.heardAt;
        return isTighter || newer.heardAt - older.heardAt > FRESH_FOR_MICROS / 2 ? newer : older;
    }
}
