package craneway.command.load;

/**
 * The outcome of one submission, a line of the journal.
 *
 * @param verdict {@code whole}, {@code cut}, {@code false-end} or {@code disordered} for a stream; {@code refused} if
 *     no connection was made, {@code lost} if the connection ended before a status, {@code silent} if the response
 *     stalled, {@code strange} for an error status without a problem code; otherwise the name of the problem's work
 *     outcome in lower case
 * @param resultCode 200 for a stream, the problem code for a problem, otherwise 0
 * @param timeToFirstTokenMicros time until the first piece of the body, 0 if none arrived
 * @param retryAfterMillis delay after which to submit again, -1 if the work is settled
 */
record SubmissionRecord(
        String submissionId,
        String workKind,
        boolean runOnce,
        String idempotencyKey,
        String verdict,
        int resultCode,
        int tokenEvents,
        boolean doneMarkerSeen,
        String prefixCacheResult,
        long timeToFirstTokenMicros,
        long durationMicros,
        long retryAfterMillis) {
    /** Creates a record with what the parser found in the response. */
    static SubmissionRecord of(
            String submissionId,
            WorkMix.WorkKind kind,
            String idempotencyKey,
            String verdict,
            int resultCode,
            ResponseStreamParser parser,
            long timeToFirstTokenMicros,
            long durationMicros,
            long retryAfterMillis) {
        return new SubmissionRecord(
                submissionId,
                kind.name(),
                kind.runOnce(),
                idempotencyKey,
                verdict,
                resultCode,
                parser.tokenEvents(),
                parser.doneMarkerSeen(),
                parser.prefixCacheResult(),
                timeToFirstTokenMicros,
                durationMicros,
                retryAfterMillis);
    }

    /** Returns the line for the journal. */
    String toJson() {
        return "{\"sub\":\"" + submissionId + "\",\"work\":\"" + workKind + "\",\"once\":" + runOnce + ",\"key\":\""
                + idempotencyKey
                + "\",\"verdict\":\"" + verdict + "\",\"code\":" + resultCode + ",\"events\":" + tokenEvents
                + ",\"done\":" + doneMarkerSeen
                + ",\"firstMicros\":" + timeToFirstTokenMicros + ",\"wholeMicros\":" + durationMicros + "}";
    }
}
