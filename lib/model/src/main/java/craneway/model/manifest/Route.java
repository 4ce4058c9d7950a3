package craneway.model.manifest;

import java.util.List;

/** One route of the manifest: which service answers a host and path prefix, and how. Times are microseconds. */
public record Route(
        String name,
        String host,
        String pathPrefix,
        Kind kind,
        long deadline,
        long firstChunkTarget,
        int urgency,
        List<Share> shares,
        int maxAttempts,
        boolean sticky,
        boolean resumable,
        long gapTarget,
        List<String> allowedRegions) {
    /** Whether a request may run again after a break, must not, or streams its answer, which may then resume. */
    public enum Kind {
        REPEATABLE,
        ONCE,
        STREAM
    }

    /** A service and its weight among those that share a route. */
    public record Share(String service, int weight) {}

    /** Whether a request may run more than once. */
    public boolean isRepeatable() {
        return kind == Kind.REPEATABLE || kind == Kind.STREAM && resumable;
    }

    /** The service for a request whose key hashes to {@code h}. */
    public String selectService(long h) {
        var sum = 0;
        for (var s : shares) sum += s.weight();
        var at = (int) Long.remainderUnsigned(h, sum);
        for (var s : shares) if ((at -= s.weight()) < 0) return s.service();
        throw new IllegalStateException(name + " has no weight");
    }
}
