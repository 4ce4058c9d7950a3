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

/** What the request of an attempt carries to a runner: the remaining deadline, and its own body only. */
class AttemptRequestTest {
    private static final int CLIENT_DEADLINE_MILLIS = 4_000;
    private static final int FIRST_ATTEMPT_MILLIS = 1_000;
    private static final int LONG_BODY_CHARS = 90_000;

    @ParameterizedTest
    @ValueSource(strings = {"/again/x", "/resume/x"})
    void eachAttemptGetsRemainingClientDeadline(String path) throws Exception {
        var receivedDeadlinesMillis = new CopyOnWriteArrayList<Integer>();
        var attemptCount = new AtomicInteger();
        try (var proxy = new ProxyRig()) {
            ScriptedRunner.Script script = connection -> {
                var attemptId = connection.runRequest();
                receivedDeadlinesMillis.add(Integer.parseInt(connection.header("Deadline")));
                if (attemptCount.getAndIncrement() == 0) {
                    proxy.advanceClock(FIRST_ATTEMPT_MILLIS * 1_000L);
                    connection.reset();
                } else {
                    connection.write(ScriptedRunner.success(attemptId));
                }
            };
            try (var firstRunner = new ScriptedRunner(script);
                    var secondRunner = new ScriptedRunner(script)) {
                proxy.stopClock();
                proxy.putRunner("i1", firstRunner.address(), "a", Rows.Runner.UP);
                proxy.putRunner("i2", secondRunner.address(), "a", Rows.Runner.UP);
                assertEquals(200, proxy.post(path, "t1", "").status());
            }
        }
        assertEquals(2, receivedDeadlinesMillis.size());
        assertTrue(
                receivedDeadlinesMillis.get(0) <= CLIENT_DEADLINE_MILLIS
                        && receivedDeadlinesMillis.get(0) > CLIENT_DEADLINE_MILLIS - FIRST_ATTEMPT_MILLIS,
                receivedDeadlinesMillis.toString());
        assertTrue(
                receivedDeadlinesMillis.get(1) <= CLIENT_DEADLINE_MILLIS - FIRST_ATTEMPT_MILLIS,
                receivedDeadlinesMillis.toString());
    }

    @Test
    void routeDeadlineBoundsLongerClientDeadline() throws Exception {
        var receivedDeadlinesMillis = new CopyOnWriteArrayList<Integer>();
        try (var proxy = new ProxyRig();
                var runner = new ScriptedRunner(connection -> {
                    var attemptId = connection.runRequest();
                    receivedDeadlinesMillis.add(Integer.parseInt(connection.header("Deadline")));
                    connection.write(ScriptedRunner.success(attemptId));
                });
                var client = proxy.connect()) {
            proxy.putRunner("i1", runner.address(), "a", Rows.Runner.UP);
            client.getOutputStream()
                    .write(("POST /once/x HTTP/1.1\r\nHost: h.example\r\nTry: t1\r\nDeadline: 60000\r\n"
                                    + "Content-Length: 0\r\n\r\n")
                            .getBytes("ISO-8859-1"));
            assertEquals(200, ProxyRig.read(client.getInputStream()).status());
        }
        assertTrue(receivedDeadlinesMillis.get(0) <= 5_000, receivedDeadlinesMillis.toString());
    }

    /**
     * The runner responds after the request head and reads the body only later. What it reads must belong to that body,
     * not to the next request.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void bodyOfEarlyRejectedOrServedRequestIsNotMixedIntoNextRequest(boolean declines) throws Exception {
        var bodies = new CopyOnWriteArrayList<String>();
        var firstResponseRead = new CountDownLatch(1);
        ScriptedRunner.Script script = connection -> {
            for (var requestLine = connection.readHead(); requestLine != null; requestLine = connection.readHead()) {
                var respondsEarly = connection.header("Try").equals("t1");
                var response = respondsEarly && declines
                        ? ScriptedRunner.response(503, "t1", "Not-Run: 1\r\n", "")
                        : ScriptedRunner.success(connection.header("Try"));
                if (respondsEarly) connection.write(response);
                if (respondsEarly) firstResponseRead.await();
                bodies.add(connection.header("Try") + " " + connection.readBody());
                if (!respondsEarly) connection.write(response);
            }
        };
        try (var proxy = new ProxyRig();
                var runner = new ScriptedRunner(script)) {
            proxy.putRunner("i1", runner.address(), "a", Rows.Runner.UP);
            var body = "b".repeat(LONG_BODY_CHARS);
            assertEquals(declines ? 503 : 200, proxy.post("/once/x", "t1", body).status());
            firstResponseRead.countDown();
            assertEquals(200, proxy.post("/once/x", "t2", "c").status());
        }
        var firstBody = "t1 " + "b".repeat(LONG_BODY_CHARS);
        for (var body : bodies) assertTrue(firstBody.startsWith(body) || body.equals("t2 c"), body);
        assertTrue(bodies.contains("t2 c"));
    }
}
