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
 * Guards against a truncated response that looks complete: a runner's process is killed within a response without a
 * length, and its kernel closes the connection plainly, just as a live runner does at the end of such a response. The
 * router tells the two apart by whether anything still listens at the runner's address.
 */
class RunnerKilledMidResponseTest {
    private static final String FIRST_EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    private static final String REMAINING_EVENT = "id: 3\ndata: c\n\n";
    private static final String UNFRAMED_STREAM_HEAD =
            ScriptedRunner.streamResponseHead("t1").replace("Transfer-Encoding: chunked", "Connection: close");

    private static final ScriptedRunner.Script RESUMES_STREAM = connection -> {
        connection.runRequest();
        connection.write(ScriptedRunner.streamResponseHead("t1") + ScriptedRunner.chunk(REMAINING_EVENT) + "0\r\n\r\n");
        connection.awaitPeerClose();
    };

    /**
     * Sends a request whose first runner writes {@code firstRunnersOutput} and is killed, while a second runner can
     * resume the stream; stores the number of runs on the second runner in {@code secondRunnersRuns[0]}.
     */
    private static ProxyRig.Response requestWithRunnerKilledAfter(
            String path, String firstRunnersOutput, int[] secondRunnersRuns) throws Exception {
        var killedRunner = new AtomicReference<ScriptedRunner>();
        ScriptedRunner.Script writesThenDies = connection -> {
            connection.runRequest();
            connection.write(firstRunnersOutput);
            killedRunner.get().simulateProcessKill();
        };
        try (var proxy = new ProxyRig();
                var firstRunner = new ScriptedRunner(writesThenDies);
                var secondRunner = new ScriptedRunner(RESUMES_STREAM)) {
            killedRunner.set(firstRunner);
            proxy.putRunner("i1", firstRunner.address(), "a", Rows.Runner.UP);
            proxy.putRunner("i2", secondRunner.address(), "b", Rows.Runner.UP);
            var response = proxy.post(path, "t1", "");
            secondRunnersRuns[0] = secondRunner.ranAttemptIds.size();
            return response;
        }
    }

    @ParameterizedTest
    @CsvSource({"/stream/x", "/once/x"})
    void nonResumableStreamIsTruncated(String path) throws Exception {
        var secondRunnersRuns = new int[1];
        assertFalse(requestWithRunnerKilledAfter(path, UNFRAMED_STREAM_HEAD + FIRST_EVENTS, secondRunnersRuns)
                .complete());
        assertEquals(0, secondRunnersRuns[0]);
    }

    @Test
    void resumableStreamContinuesOnOtherRunner() throws Exception {
        var secondRunnersRuns = new int[1];
        var response =
                requestWithRunnerKilledAfter("/resume/x", UNFRAMED_STREAM_HEAD + FIRST_EVENTS, secondRunnersRuns);
        assertEquals(FIRST_EVENTS + REMAINING_EVENT, response.text());
        assertTrue(response.complete());
        assertEquals(1, secondRunnersRuns[0]);
    }

    @ParameterizedTest
    @CsvSource({"/once/x", "/again/x"})
    void plainBodyIsTruncated(String path) throws Exception {
        var head = "HTTP/1.1 200 OK\r\nTry: t1\r\nStamp: s\r\nConnection: close\r\n\r\n";
        assertFalse(requestWithRunnerKilledAfter(path, head + "half of a bo", new int[1])
                .complete());
    }

    /**
     * The counterpart: a live runner that closes the connection after its last event has sent a complete response. The
     * router uses the connection with which it probed the runner's address again.
     */
    @Test
    void responseOfLiveRunnerIsComplete() throws Exception {
        ScriptedRunner.Script respondsAndCloses = connection -> {
            if (connection.runRequest() == null) return;
            connection.write(UNFRAMED_STREAM_HEAD + FIRST_EVENTS);
            connection.close();
        };
        try (var proxy = new ProxyRig();
                var firstRunner = new ScriptedRunner(respondsAndCloses)) {
            proxy.putRunner("i1", firstRunner.address(), "a", Rows.Runner.UP);
            var response = proxy.post("/stream/x", "t1", "");
            assertEquals(FIRST_EVENTS, response.text());
            assertTrue(response.complete());
        }
    }
}
