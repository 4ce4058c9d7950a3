package craneway.sim;

import java.util.PriorityQueue;
import java.util.Random;

/**
 * The discrete-event simulation: a clock, a queue of events, and the only source of randomness. A seed reproduces a run
 * exactly; events of the same time run in the order in which they were scheduled.
 */
public final class Simulation {
    /** A scheduled event; the number orders events of the same time. */
    private record Event(long at, long number, Runnable action) {}

    public final Random random;
    private final PriorityQueue<Event> queue =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.number, b.number));
    private long now = 1_000_000;
    private long eventCount;

    /** Creates a simulation whose random draws depend on the seed alone. */
    public Simulation(long seed) {
        random = new Random(seed);
    }

    /** The simulated time in microseconds. */
    public long now() {
        return now;
    }

    /** Schedules an action for a time, at the earliest now. */
    public void scheduleAt(long time, Runnable action) {
        queue.add(new Event(Math.max(time, now), eventCount++, action));
    }

    /** Schedules an action after a delay. */
    public void scheduleAfter(long delayMicros, Runnable action) {
        scheduleAt(now + delayMicros, action);
    }

    /** Runs all events up to and including the given time, which then is the current time. */
    public void runUntil(long end) {
        while (!queue.isEmpty() && queue.peek().at <= end) {
            var event = queue.poll();
            now = event.at;
            event.action.run();
        }
        now = end;
    }
}
