package craneway.gateway.proxy;

import craneway.state.message.Messages.Reading;
import craneway.state.message.Messages.Silence;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;

/**
 * What other routers tell of runners, kept with the time at which it came until a runner is to be chosen next: no thread
 * is woken for a notice. Any thread adds; one takes.
 */
final class Notices {
    /** Takes one notice and the time at which it came. */
    interface Taker<T> {
        void take(T notice, long at);
    }

    private record Notice(Reading reading, Silence silence, long at) {}

    /** A router that can't keep up loses the newest notices: each is a hint only. */
    private static final int MOST = 4_096;

    private final LongSupplier now;
    private final ConcurrentLinkedQueue<Notice> waiting = new ConcurrentLinkedQueue<>();
    private final AtomicInteger size = new AtomicInteger();

    Notices(LongSupplier now) {
        this.now = now;
    }

    void add(Reading reading) {
        add(new Notice(reading, null, now.getAsLong()));
    }

    void add(Silence silence) {
        add(new Notice(null, silence, now.getAsLong()));
    }

    private void add(Notice notice) {
        if (size.incrementAndGet() > MOST) size.decrementAndGet();
        else waiting.add(notice);
    }

    /** Hands over what has come since, in the order of its coming. */
    void take(Taker<Reading> readings, Taker<Silence> silences) {
        for (var n = waiting.poll(); n != null; n = waiting.poll()) {
            size.decrementAndGet();
            if (n.reading != null) readings.take(n.reading, n.at);
            else silences.take(n.silence, n.at);
        }
    }
}
