package craneway.transport;

import craneway.model.event.Event;
import craneway.model.event.EventSink;
import java.util.function.LongSupplier;

/** Logs rejected messages, at most one line per second, and counts those in between. Thread-safe. */
final class BadMessageLog {
    private static final long MIN_INTERVAL_MICROS = 1_000_000;

    private final EventSink log;
    private final LongSupplier clock;
    private long nextLineAt = Long.MIN_VALUE;
    private int suppressedCount;

    /**
     * Creates a log.
     *
     * @param clock the steady clock, in microseconds
     */
    BadMessageLog(EventSink log, LongSupplier clock) {
        this.log = log;
        this.clock = clock;
    }

    /** Logs why a message was rejected, or only counts it if the last line is less than a second old. */
    synchronized void report(String cause) {
        if (clock.getAsLong() < nextLineAt) {
            suppressedCount++;
            return;
        }
        log.logEvent(Event.BAD_MESSAGE, suppressedCount == 0 ? cause : cause + " (and " + suppressedCount + " others)");
        suppressedCount = 0;
        nextLineAt = clock.getAsLong() + MIN_INTERVAL_MICROS;
    }
}
