package craneway.model.manifest;

import java.util.List;

/**
 * A route of the manifest: which service handles the requests of a host and path prefix, and under which rules.
 *
 * @param name identifies the route in logs
 * @param host the host name, without a port; compared without regard to case
 * @param pathPrefix the path prefix, which begins and ends with a slash
 * @param kind whether a request may be run again after a failure
 * @param deadline how long a request may take in all, in microseconds
 * @param firstChunkTarget the target for the time to the first piece of the response, in microseconds
 * @param urgency the priority from 0 to 9 that is passed on to the runner
 * @param shares the services that handle the requests, with their weights
 * @param maxAttempts the most attempts for one request
 * @param sticky whether the route asks for affinity of requests with the same prompt prefix to one runner
 * @param resumable whether a stream that broke off may be resumed on another runner
 * @param gapTarget the target for the longest gap between two pieces of the response, in microseconds; 0 means no
 *     target
 * @param allowedRegions the regions that the route is restricted to; empty means no restriction
 */
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
    /**
     * How a request may be repeated after a failure: at will, never, or, for a streamed response, by resuming it if the
     * route allows that.
     */
    public enum Kind {
        REPEATABLE,
        ONCE,
        STREAM
    }

    /**
     * A service that handles a share of a route's requests.
     *
     * @param service the name of the service
     * @param weight the share relative to the weights of the route's other services
     */
    public record Share(String service, int weight) {}

    /** Returns whether a request may be run more than once. */
    public boolean isRepeatable() {
        return kind == Kind.REPEATABLE || kind == Kind.STREAM && resumable;
    }

    /** Returns the service for a request whose key has this hash; each service gets its share of the hash values. */
    public String selectService(long keyHash) {
        var weightSum = 0;
        for (var s : shares) weightSum += s.weight();
        var position = (int) Long.remainderUnsigned(keyHash, weightSum);
        for (var s : shares) if ((position -= s.weight()) < 0) return s.service();
        throw new IllegalStateException(name + ": no share of this route has a positive weight");
    }
}
