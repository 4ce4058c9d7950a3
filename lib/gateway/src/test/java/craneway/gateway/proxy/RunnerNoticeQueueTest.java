package craneway.gateway.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import craneway.state.message.Messages.PrefillNotice;
import craneway.state.message.Messages.SilenceNotice;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** The queue keeps notices in order, with the time of their arrival, and its size is bounded. */
class RunnerNoticeQueueTest {
    private static final int ADDED_NOTICES = 10_000;
    private static final int MAX_QUEUED_NOTICES = 4_096;

    private final AtomicLong now = new AtomicLong(1);
    private final RunnerNoticeQueue queue = new RunnerNoticeQueue(now::get);
    private final List<String> drained = new ArrayList<>();

    private void drain() {
        queue.drain(
                (prefill, receivedAt) ->
                        drained.add(prefill.runner + " " + prefill.prefillTokens + " at " + receivedAt),
                (silence, receivedAt) -> drained.add(silence.runner + " silent at " + receivedAt));
    }

    private void addPrefill(String runner, int tokens) {
        var prefill = new PrefillNotice();
        prefill.runner = runner;
        prefill.prefillTokens = tokens;
        queue.add(prefill);
    }

    private void addSilence(String runner) {
        var silence = new SilenceNotice();
        silence.runner = runner;
        queue.add(silence);
    }

    @Test
    void drainsEachNoticeOnceInOrderWithItsArrivalTime() {
        addPrefill("i1", 5);
        now.set(7);
        addSilence("i2");
        now.set(9);
        drain();
        drain();
        assertEquals(List.of("i1 5 at 1", "i2 silent at 7"), drained);
    }

    @Test
    void dropsNoticesBeyondTheBoundAndAcceptsNewOnesAfterDraining() {
        for (var i = 0; i < ADDED_NOTICES; i++) addPrefill("i", i);
        drain();
        assertEquals(MAX_QUEUED_NOTICES, drained.size());
        drained.clear();
        addPrefill("i", 1);
        drain();
        assertEquals(1, drained.size());
    }
}
