package craneway.data.placement;

import java.util.ArrayDeque;

/** This router's part of the fleet's budget for second tries: a share of its own requests plus its part of the slack. */
public final class RetryBudget {
    private static final double CAREFUL = 0.75;

    private final long window;
    private final double ratio;
    private final double slack;
    private final ArrayDeque<Long> asked = new ArrayDeque<>();
    private final ArrayDeque<Long> used = new ArrayDeque<>();

    public RetryBudget(long window, double ratio, double slack) {
        this.window = window;
        this.ratio = ratio;
        this.slack = slack;
    }

    public void recordRequest(long now) {
        asked.add(now);
        trim(asked, now);
    }

    public boolean tryAcquire(int routers, long now) {
        trim(asked, now);
        trim(used, now);
        if (used.size() + 1 > CAREFUL * (ratio * asked.size() + slack / Math.max(1, routers))) return false;
        used.add(now);
        return true;
    }

    private void trim(ArrayDeque<Long> q, long now) {
        while (!q.isEmpty() && now - q.peek() > window) q.poll();
    }
}
