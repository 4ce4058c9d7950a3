package craneway.command.load;

record SubmissionRecord(
        String submissionId,
        String workKind,
        boolean runOnce,
        String idempotencyKey,
        String verdict,
        int statusCode,
        int tokenEvents,
        boolean doneMarkerSeen,
        String prefixCacheResult,
        long timeToFirstTokenMicros,
        long durationMicros,
        long retryAfterMillis) {
    static SubmissionRecord of(
            String sub,
            WorkMix.WorkKind k,
            String key,
            String verdict,
            int code,
            ResponseStreamParser parser,
            long first,
            long whole,
            long retry) {
        return new SubmissionRecord(
                sub,
                k.name(),
                k.runOnce(),
                key,
                verdict,
                code,
                parser.tokenEvents(),
                parser.doneMarkerSeen(),
                parser.prefixCacheResult(),
                first,
                whole,
                retry);
    }

    String toJson() {
        return "{\"sub\":\"" + submissionId + "\",\"work\":\"" + workKind + "\",\"once\":" + runOnce + ",\"key\":\"" + idempotencyKey
                + "\",\"verdict\":\"" + verdict + "\",\"code\":" + statusCode + ",\"events\":" + tokenEvents + ",\"done\":" + doneMarkerSeen
                + ",\"firstMicros\":" + timeToFirstTokenMicros + ",\"wholeMicros\":" + durationMicros + "}";
    }
}
