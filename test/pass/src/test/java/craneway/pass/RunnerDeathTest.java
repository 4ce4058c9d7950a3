package craneway.pass;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.state.record.Rows;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A runner's process is killed within an answer that has no length. Its kernel ends the connection by a plain close, as a
 * runner that lives does at the end of such an answer: what tells them apart is that nothing listens there any more.
 */
class RunnerDeathTest {
    private static final String EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    private static final String REST = "id: 3\ndata: c\n\n";
    private static final String HEAD =
            ScriptedRunner.streamHead("t1").replace("Transfer-Encoding: chunked", "Connection: close");

    private static final ScriptedRunner.Script GOES_ON = c -> {
        c.run();
        c.write(ScriptedRunner.streamHead("t1") + ScriptedRunner.chunk(REST) + "0\r\n\r\n");
        c.untilClosed();
    };

    /** The runner that is asked first writes this and is killed; another one goes on where it is asked. */
    private static Bed.Answer killedBehind(String path, String sent, int[] runsOfTheOther) throws Exception {
        var self = new AtomicReference<ScriptedRunner>();
        ScriptedRunner.Script dies = c -> {
            c.run();
            c.write(sent);
            self.get().die();
        };
        try (var bed = new Bed();
                var one = new ScriptedRunner(dies);
                var two = new ScriptedRunner(GOES_ON)) {
            self.set(one);
            bed.runner("i1", one.address(), "a", Rows.Runner.UP);
            bed.runner("i2", two.address(), "b", Rows.Runner.UP);
            var answer = bed.ask(path, "t1", "");
            runsOfTheOther[0] = two.ran.size();
            return answer;
        }
    }

    @ParameterizedTest
    @CsvSource({"/stream/x", "/once/x"})
    void whatMayNotGoOnElsewhereIsCut(String path) throws Exception {
        var runs = new int[1];
        assertFalse(killedBehind(path, HEAD + EVENTS, runs).whole());
        assertEquals(0, runs[0]);
    }

    @Test
    void aStreamThatMayResumeGoesOnElsewhere() throws Exception {
        var runs = new int[1];
        var answer = killedBehind("/resume/x", HEAD + EVENTS, runs);
        assertEquals(EVENTS + REST, answer.text());
        assertTrue(answer.whole());
        assertEquals(1, runs[0]);
    }

    @ParameterizedTest
    @CsvSource({"/once/x", "/again/x"})
    void aBodyThatIsNoStreamIsCut(String path) throws Exception {
        var head = "HTTP/1.1 200 OK\r\nTry: t1\r\nStamp: s\r\nConnection: close\r\n\r\n";
        assertFalse(killedBehind(path, head + "half of a bo", new int[1]).whole());
    }

    /** The other side: such an answer of a runner that lives ends whole, and the connection that asked is used again. */
    @Test
    void theAnswerOfARunnerThatLivesIsWhole() throws Exception {
        ScriptedRunner.Script ends = c -> {
            if (c.run() == null) return;
            c.write(HEAD + EVENTS);
            c.close();
        };
        try (var bed = new Bed();
                var one = new ScriptedRunner(ends)) {
            bed.runner("i1", one.address(), "a", Rows.Runner.UP);
            var answer = bed.ask("/stream/x", "t1", "");
            assertEquals(EVENTS, answer.text());
            assertTrue(answer.whole());
        }
    }
}
