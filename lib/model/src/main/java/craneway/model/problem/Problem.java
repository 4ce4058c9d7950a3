package craneway.model.problem;

/** A problem with its detail and the microseconds after which to try again; 0 where trying again does not help. */
public record Problem(ProblemKind kind, String detail, long retryAfterMicros) {
    private static final long RETRY = 1_000_000L;

    /** A problem with the text of its kind. */
    public static Problem of(ProblemKind kind) {
        return of(kind, kind.text());
    }

    /** A problem with a detail; a transient one may be tried again after a second. */
    public static Problem of(ProblemKind kind, String detail) {
        return new Problem(kind, detail, kind.isTransient() ? RETRY : 0);
    }

    /** A problem with a detail, to be tried again after so many microseconds. */
    public static Problem of(ProblemKind kind, String detail, long retryAfter) {
        return new Problem(kind, detail, retryAfter);
    }

    /** Whole seconds for a Retry-After header, at least one. */
    public long retryAfterSeconds() {
        return Math.max(1, (retryAfterMicros + 999_999) / 1_000_000);
    }
}
