package craneway.data.request;

/**
 * A token bucket that limits retries to a tenth of the requests: every request adds a fraction of a token and every
 * attempt beyond the first takes one. Starts empty. Thread-safe.
 */
public final class RetryTokenBucket {
    private static final double TOKENS_PER_REQUEST = 0.1;

    /** Capacity of the buckets of all routers together; each holds an equal share, but at least one token. */
    private static final double FLEET_CAPACITY_TOKENS = 10;

    private double tokens;

    /**
     * Adds the tokens for one request.
     *
     * @param routers the number of routers that share the fleet's capacity, at least 1
     */
    public synchronized void addForRequest(int routers) {
        tokens = Math.min(Math.max(1, FLEET_CAPACITY_TOKENS / routers), tokens + TOKENS_PER_REQUEST);
    }

    /** Takes one token for a retry; returns false, and takes nothing, if there is none. */
    public synchronized boolean tryTake() {
        if (tokens < 1) return false;
        tokens--;
        return true;
    }
}
