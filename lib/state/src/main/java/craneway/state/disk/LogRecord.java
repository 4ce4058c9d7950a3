package craneway.state.disk;

/**
 * One change of a log: a term with its vote, an appended entry, or a truncation. The index is the entry's index, the
 * first truncated index, or the store voted for.
 */
record LogRecord(byte recordType, long index, long term, int entryType, byte[] body) {
    private static final byte[] EMPTY_BODY = {};

    /** Returns the record of a term and the vote in it. */
    static LogRecord termAndVote(long term, long vote) {
        return new LogRecord(LegacyRecord.TERM_AND_VOTE, vote, term, 0, EMPTY_BODY);
    }

    /** Returns the record of an appended entry. */
    static LogRecord entry(long index, long term, int entryType, byte[] body) {
        return new LogRecord(LegacyRecord.ENTRY, index, term, entryType, body);
    }

    /** Returns the record of a truncation that removes the entries from an index on. */
    static LogRecord truncation(long from) {
        return new LogRecord(LegacyRecord.TRUNCATION, from, 0, 0, EMPTY_BODY);
    }
}
