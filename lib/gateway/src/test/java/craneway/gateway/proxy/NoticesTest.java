package craneway.gateway.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import craneway.state.message.Messages.Reading;
import craneway.state.message.Messages.Silence;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Notices wait until they are taken, with the time of their coming, and never without bound. */
class NoticesTest {
    private static final int MANY = 10_000;
    private static final int MOST = 4_096;

    private final AtomicLong now = new AtomicLong(1);
    private final Notices notices = new Notices(now::get);
    private final List<String> taken = new ArrayList<>();

    private void take() {
        notices.take(
                (reading, at) -> taken.add(reading.runner + " " + reading.tokens + " at " + at),
                (silence, at) -> taken.add(silence.runner + " silent at " + at));
    }

    private void reading(String runner, int tokens) {
        var r = new Reading();
        r.runner = runner;
        r.tokens = tokens;
        notices.add(r);
    }

    private void silence(String runner) {
        var s = new Silence();
        s.runner = runner;
        notices.add(s);
    }

    @Test
    void areTakenOnceInOrderWithTheTimeOfTheirComing() {
        reading("i1", 5);
        now.set(7);
        silence("i2");
        now.set(9);
        take();
        take();
        assertEquals(List.of("i1 5 at 1", "i2 silent at 7"), taken);
    }

    @Test
    void aRouterThatTakesNoneKeepsABoundedNumberAndTakesNewOnesAgain() {
        for (var i = 0; i < MANY; i++) reading("i", i);
        take();
        assertEquals(MOST, taken.size());
        taken.clear();
        reading("i", 1);
        take();
        assertEquals(1, taken.size());
    }
}
