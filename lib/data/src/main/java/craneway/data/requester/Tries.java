package craneway.data.requester;

public final class Tries {
    private static final double SHARE = 0.1, MOST = 10;

    private double tokens = MOST;

    public synchronized void earn() { tokens = Math.min(MOST, tokens + SHARE); }

    public synchronized boolean spend() {
        if (tokens < 1) return false;
        tokens--;
        return true;
    }
}
