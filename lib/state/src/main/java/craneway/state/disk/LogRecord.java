package craneway.state.disk;

/** One change of a log: a term with its vote (as the index), an entry with its kind, or a cut from an index on. */
record LogRecord(byte recordType, long index, long term, int entryType, byte[] body) {
    private static final byte[] EMPTY_BODY = {};

    static LogRecord termAndVote(long term, long vote) {
        return new LogRecord(LegacyRecord.TERM_AND_VOTE, vote, term, 0, EMPTY_BODY);
    }

    static LogRecord entry(long index, long term, int kind, byte[] body) {
        return new LogRecord(LegacyRecord.ENTRY, index, term, kind, body);
    }

    static LogRecord truncation(long from) {
        return new LogRecord(LegacyRecord.TRUNCATION, from, 0, 0, EMPTY_BODY);
    }
}
