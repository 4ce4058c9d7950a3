package craneway.data.request;

public final class RetryTokenBucket {
    private static final double SHARE = 0.1, FLEET = 10;

    private double tokens;

    public synchronized void addForRequest(int routers) {
        tokens = Math.min(Math.max(1, FLEET / routers), tokens + SHARE);
    }

    public synchronized boolean tryTake() {
        if (tokens < 1) return false;
        tokens--;
        return true;
    }
}
