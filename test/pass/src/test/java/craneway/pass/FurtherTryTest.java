package craneway.pass;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.state.record.Rows;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What a runner is told of the time that is left, and what it gets where it answers before it has read a body. */
class FurtherTryTest {
    private static final int DEADLINE = 4_000;
    private static final int PASSED = 1_000;
    private static final int LONG_BODY = 90_000;

    @ParameterizedTest
    @ValueSource(strings = {"/again/x", "/resume/x"})
    void eachTryIsToldWhatIsLeftOfTheClientsDeadline(String path) throws Exception {
        var told = new CopyOnWriteArrayList<Integer>();
        var number = new AtomicInteger();
        try (var bed = new Bed()) {
            ScriptedRunner.Script script = c -> {
                var id = c.run();
                told.add(Integer.parseInt(c.header("Deadline")));
                if (number.getAndIncrement() == 0) {
                    bed.advanceWithin(PASSED * 1_000L);
                    c.reset();
                } else {
                    c.write(ScriptedRunner.success(id));
                }
            };
            try (var one = new ScriptedRunner(script);
                    var two = new ScriptedRunner(script)) {
                bed.stopClock();
                bed.runner("i1", one.address(), "a", Rows.Runner.UP);
                bed.runner("i2", two.address(), "a", Rows.Runner.UP);
                assertEquals(200, bed.ask(path, "t1", "").status());
            }
        }
        assertEquals(2, told.size());
        assertTrue(told.get(0) <= DEADLINE && told.get(0) > DEADLINE - PASSED, told.toString());
        assertTrue(told.get(1) <= DEADLINE - PASSED, told.toString());
    }

    @Test
    void aRouteBoundsWhatARunnerIsToldWhereTheClientAsksForMore() throws Exception {
        var told = new CopyOnWriteArrayList<Integer>();
        try (var bed = new Bed();
                var runner = new ScriptedRunner(c -> {
                    var id = c.run();
                    told.add(Integer.parseInt(c.header("Deadline")));
                    c.write(ScriptedRunner.success(id));
                });
                var s = bed.connect()) {
            bed.runner("i1", runner.address(), "a", Rows.Runner.UP);
            s.getOutputStream()
                    .write(("POST /once/x HTTP/1.1\r\nHost: h.example\r\nTry: t1\r\nDeadline: 60000\r\n"
                                    + "Content-Length: 0\r\n\r\n")
                            .getBytes("ISO-8859-1"));
            assertEquals(200, Bed.answer(s.getInputStream()).status());
        }
        assertTrue(told.get(0) <= 5_000, told.toString());
    }

    /** The runner answers behind the head and reads the body only then; what is due there is that body and nothing else. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aRunnerThatAnswersBeforeItHasReadTheBodyGetsThatBodyNext(boolean turnsAway) throws Exception {
        var bodies = new CopyOnWriteArrayList<String>();
        var answered = new CountDownLatch(1);
        ScriptedRunner.Script script = c -> {
            for (var line = c.head(); line != null; line = c.head()) {
                var early = c.header("Try").equals("t1");
                var answer = early && turnsAway
                        ? ScriptedRunner.answer(503, "t1", "Not-Run: 1\r\n", "")
                        : ScriptedRunner.success(c.header("Try"));
                if (early) c.write(answer);
                if (early) answered.await();
                bodies.add(c.header("Try") + " " + c.readBody());
                if (!early) c.write(answer);
            }
        };
        try (var bed = new Bed();
                var runner = new ScriptedRunner(script)) {
            bed.runner("i1", runner.address(), "a", Rows.Runner.UP);
            var body = "b".repeat(LONG_BODY);
            assertEquals(turnsAway ? 503 : 200, bed.ask("/once/x", "t1", body).status());
            answered.countDown();
            assertEquals(200, bed.ask("/once/x", "t2", "c").status());
        }
        var whole = "t1 " + "b".repeat(LONG_BODY);
        for (var b : bodies) assertTrue(whole.startsWith(b) || b.equals("t2 c"), b);
        assertTrue(bodies.contains("t2 c"));
    }
}
