package craneway.gateway.proxy;

import craneway.state.message.Messages.PrefillNotice;
import craneway.state.message.Messages.SilenceNotice;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;

/**
 * Queues what other routers report about runners, with the time of arrival, until a runner is to be selected next: no
 * thread is woken for a notice. Any thread may add; only one may drain. Times are microseconds.
 */
final class RunnerNoticeQueue {
    /** Handles one notice. */
    interface Handler<T> {
        /** Handles a notice that arrived at the given time. */
        void handle(T notice, long receivedAt);
    }

    private record Notice(PrefillNotice prefill, SilenceNotice silence, long receivedAt) {}

    /** A router that cannot keep up drops the newest notices, since each is only a hint. */
    private static final int MAX_QUEUED_NOTICES = 4_096;

    private final LongSupplier clock;
    private final ConcurrentLinkedQueue<Notice> queue = new ConcurrentLinkedQueue<>();
    private final AtomicInteger size = new AtomicInteger();

    RunnerNoticeQueue(LongSupplier clock) {
        this.clock = clock;
    }

    /** Adds a notice that a runner was given tokens to prefill. */
    void add(PrefillNotice prefill) {
        add(new Notice(prefill, null, clock.getAsLong()));
    }

    /** Adds a notice that a runner is silent. */
    void add(SilenceNotice silence) {
        add(new Notice(null, silence, clock.getAsLong()));
    }

    private void add(Notice notice) {
        if (size.incrementAndGet() > MAX_QUEUED_NOTICES) size.decrementAndGet();
        else queue.add(notice);
    }

    /** Removes all queued notices and passes them to the handlers in the order of their arrival. */
    void drain(Handler<PrefillNotice> prefillHandler, Handler<SilenceNotice> silenceHandler) {
        for (var notice = queue.poll(); notice != null; notice = queue.poll()) {
            size.decrementAndGet();
            if (notice.prefill != null) prefillHandler.handle(notice.prefill, notice.receivedAt);
            else silenceHandler.handle(notice.silence, notice.receivedAt);
        }
    }
}
