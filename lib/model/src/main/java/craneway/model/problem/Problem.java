package craneway.model.problem;

/**
 * A problem that is reported to a caller.
 *
 * @param kind the kind of problem
 * @param detail a message for the caller
 * @param retryAfterMicros how long the caller should wait before it retries, in microseconds; 0 if a retry does not
 *     help. A {@link ProblemKind#NOT_HOME} problem holds the version of the sender's placement table here instead.
 */
public record Problem(ProblemKind kind, String detail, long retryAfterMicros) {
    private static final long DEFAULT_RETRY_DELAY_MICROS = 1_000_000L;

    /** Returns a problem with the default message of its kind. */
    public static Problem of(ProblemKind kind) {
        return of(kind, kind.text());
    }

    /** Returns a problem with this detail; if its kind is transient, the caller may retry after one second. */
    public static Problem of(ProblemKind kind, String detail) {
        return new Problem(kind, detail, kind.isTransient() ? DEFAULT_RETRY_DELAY_MICROS : 0);
    }

    /** Returns a problem with this detail and this delay before a retry, in microseconds. */
    public static Problem of(ProblemKind kind, String detail, long retryAfter) {
        return new Problem(kind, detail, retryAfter);
    }

    /** Returns the value of a Retry-After header: the delay in seconds, rounded up and at least 1. */
    public long retryAfterSeconds() {
        return Math.max(1, (retryAfterMicros + 999_999) / 1_000_000);
    }
}
