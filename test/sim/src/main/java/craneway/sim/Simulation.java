package craneway.sim;

import java.util.PriorityQueue;
import java.util.Random;

public final class Simulation {
    private record Due(long at, long no, Runnable what) {}

    public final Random random;
    private final PriorityQueue<Due> due =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.no, b.no));
    private long now = 1_000_000;
    private long count;

    public Simulation(long seed) {
        random = new Random(seed);
    }

    public long now() {
        return now;
    }

    public void scheduleAt(long when, Runnable what) {
        due.add(new Due(Math.max(when, now), count++, what));
    }

    public void scheduleAfter(long micros, Runnable what) {
        scheduleAt(now + micros, what);
    }

    public void runUntil(long end) {
        while (!due.isEmpty() && due.peek().at <= end) {
            var d = due.poll();
            now = d.at;
            d.what.run();
        }
        now = end;
    }
}
