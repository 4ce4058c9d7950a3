package craneway.transport;

import craneway.model.event.Event;
import craneway.model.event.Log;
import java.util.function.LongSupplier;

/** Notes bad messages, at most one line a second. */
final class BadMessageLog {
    private static final long PAUSE = 1_000_000;

    private final Log log;
    private final LongSupplier now;
    private long due = Long.MIN_VALUE;
    private int left;

    BadMessageLog(Log log, LongSupplier now) {
        this.log = log;
        this.now = now;
    }

    synchronized void report(String cause) {
        if (now.getAsLong() < due) {
            left++;
            return;
        }
        log.note(Event.BAD_MESSAGE, left == 0 ? cause : cause + " (and " + left + " others)");
        left = 0;
        due = now.getAsLong() + PAUSE;
    }
}
