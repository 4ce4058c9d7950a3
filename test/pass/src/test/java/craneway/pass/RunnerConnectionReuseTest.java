package craneway.pass;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.state.record.Rows;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Connections to runners that are kept between requests: what a runner sends or does on one of them must neither reach
 * the next request nor make a once-only request run twice.
 */
class RunnerConnectionReuseTest {
    private ProxyRig proxy;
    private Socket client;

    @BeforeEach
    void openProxy() throws Exception {
        proxy = new ProxyRig();
        client = proxy.connect();
    }

    @AfterEach
    void closeProxy() throws Exception {
        client.close();
        proxy.close();
    }

    private ProxyRig.Response request(String path, String attemptId, int deadlineMillis) throws Exception {
        client.getOutputStream()
                .write(("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nTry: " + attemptId + "\r\nDeadline: "
                                + deadlineMillis + "\r\nContent-Length: 4\r\n\r\nbody")
                        .getBytes(StandardCharsets.ISO_8859_1));
        return ProxyRig.read(client.getInputStream());
    }

    private void putRunner(String id, ScriptedRunner runner) {
        proxy.putRunner(id, runner.address(), "a", Rows.Runner.UP);
    }

    /** Responds to each request of a connection with a success of its own. */
    private static void serveAll(ScriptedRunner.Connection connection) throws Exception {
        for (var attemptId = connection.runRequest(); attemptId != null; attemptId = connection.runRequest())
            connection.write(ScriptedRunner.success(attemptId));
    }

    /**
     * Returns a runner whose first connection serves one request and writes {@code unexpected} once it has read the
     * head of the second; all other connections serve normally.
     */
    private ScriptedRunner runnerWithUnexpectedResponse(String unexpected) throws Exception {
        return new ScriptedRunner(connection -> {
            if (connection.index == 0) {
                connection.write(ScriptedRunner.success(connection.runRequest()));
                connection.readHead();
                connection.write(unexpected);
                connection.skipBody();
            }
            serveAll(connection);
        });
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nTry: t1\r\nStamp: s\r\nContent-Length: 5\r\n\r\nwrong",
                "HTTP/1.1 500 No\r\nTry: t1\r\nStamp: s\r\nContent-Length: 5\r\n\r\nwrong",
                "HTTP/1.1 500 No\r\nStamp: s\r\nContent-Length: 5\r\n\r\nwrong",
                "HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 503 No\r\nTry: t1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n",
                "wrong bytes\r\n\r\n"
            })
    void unexpectedResponseReachesNoClient(String unexpected) throws Exception {
        try (var runner = runnerWithUnexpectedResponse(unexpected);
                var otherRunner = new ScriptedRunner(RunnerConnectionReuseTest::serveAll)) {
            putRunner("i1", runner);
            assertEquals("body of t1", request("/once/x", "t1", 4_000).text());
            putRunner("i2", otherRunner);
            var response = request("/once/x", "t2", 4_000);
            assertEquals(502, response.status(), response.text());
            assertNull(response.headers().get("Stamp"));
            assertTrue(runner.ranAttemptIds.stream().filter("t2"::equals).count()
                            + otherRunner.ranAttemptIds.stream()
                                    .filter("t2"::equals)
                                    .count()
                    <= 1);
            assertEquals("body of t3", request("/again/x", "t3", 4_000).text());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nTry: t1\r\nStamp: s\r\nContent-Length: 5\r\n\r\nwrong",
                "HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
                "x"
            })
    void bytesOnIdleConnectionCloseIt(String unexpected) throws Exception {
        var closedByRouter = new CountDownLatch(1);
        var sendUnexpected = new CountDownLatch(1);
        try (var runner = new ScriptedRunner(connection -> {
            if (connection.index > 0) serveAll(connection);
            connection.write(ScriptedRunner.success(connection.runRequest()));
            sendUnexpected.await();
            connection.write(unexpected);
            connection.awaitPeerClose();
            closedByRouter.countDown();
        })) {
            putRunner("i1", runner);
            assertEquals("body of t1", request("/once/x", "t1", 4_000).text());
            sendUnexpected.countDown();
            closedByRouter.await();
            assertEquals("body of t2", request("/once/x", "t2", 4_000).text());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"reset", "close"})
    void connectionEndedByRunnerWhileIdleIsNotReused(String howItEnds) throws Exception {
        var firstResponseRead = new CountDownLatch(1);
        var connectionEnded = new CountDownLatch(1);
        try (var runner = new ScriptedRunner(connection -> {
            if (connection.index > 0) serveAll(connection);
            connection.write(ScriptedRunner.success(connection.runRequest()));
            firstResponseRead.await();
            if (howItEnds.equals("reset")) {
                connection.reset();
            } else {
                connection.halfClose();
                connection.awaitPeerClose();
            }
            connectionEnded.countDown();
        })) {
            putRunner("i1", runner);
            assertEquals("body of t1", request("/once/x", "t1", 4_000).text());
            firstResponseRead.countDown();
            connectionEnded.await();
            assertEquals("body of t2", request("/again/x", "t2", 4_000).text());
        }
    }

    /**
     * Returns a runner that has dropped its first connection unnoticed after one response: the next byte sent on it
     * gets a reset.
     */
    private ScriptedRunner runnerThatDropsIdleConnection() throws Exception {
        return new ScriptedRunner(connection -> {
            if (connection.index > 0) serveAll(connection);
            connection.write(ScriptedRunner.success(connection.runRequest()));
            connection.socket.getInputStream().readNBytes(1);
            connection.reset();
        });
    }

    @Test
    void onceOnlyRequestIsNotSentOnLongIdleConnection() throws Exception {
        try (var runner = runnerThatDropsIdleConnection()) {
            putRunner("i1", runner);
            assertEquals("body of t1", request("/once/x", "t1", 4_000).text());
            proxy.advanceClockWhenIdle(1_000_000);
            assertEquals("body of t2", request("/once/x", "t2", 4_000).text());
            assertEquals(1, runner.ranAttemptIds.stream().filter("t2"::equals).count());
        }
    }

    @Test
    void onceOnlyRequestIsNotRetriedAfterResetOnReusedConnection() throws Exception {
        try (var runner = runnerThatDropsIdleConnection();
                var otherRunner = new ScriptedRunner(RunnerConnectionReuseTest::serveAll)) {
            putRunner("i1", runner);
            assertEquals("body of t1", request("/once/x", "t1", 4_000).text());
            putRunner("i2", otherRunner);
            var response = request("/once/x", "t2", 4_000);
            assertTrue(response.status() == 502 || response.text().equals("body of t2"), response.text());
            assertTrue(runner.ranAttemptIds.size() + otherRunner.ranAttemptIds.size() <= 2);
        }
    }

    @Test
    void repeatableRequestIsRetriedAfterResetOnReusedConnection() throws Exception {
        try (var runner = runnerThatDropsIdleConnection();
                var otherRunner = new ScriptedRunner(RunnerConnectionReuseTest::serveAll)) {
            putRunner("i1", runner);
            assertEquals("body of t1", request("/again/x", "t1", 4_000).text());
            putRunner("i2", otherRunner);
            proxy.advanceClockWhenIdle(1_000_000);
            assertEquals("body of t2", request("/again/x", "t2", 4_000).text());
        }
    }

    @Test
    void connectionIsNotReusedBeyondRunnersKeepAliveTimeout() throws Exception {
        try (var runner = new ScriptedRunner(connection -> {
            for (var attemptId = connection.runRequest(); attemptId != null; attemptId = connection.runRequest())
                connection.write(
                        ScriptedRunner.response(200, attemptId, "Stamp: s\r\nKeep-Alive: timeout=2\r\n", "ok"));
        })) {
            putRunner("i1", runner);
            request("/again/x", "t1", 4_000);
            proxy.advanceClockWhenIdle(1_000_000);
            request("/again/x", "t2", 4_000);
            assertEquals(1, runner.acceptedConnectionCount.get());
            proxy.advanceClockWhenIdle(1_900_000);
            request("/again/x", "t3", 4_000);
            assertEquals(2, runner.acceptedConnectionCount.get());
        }
    }

    @Test
    void connectionWithZeroKeepAliveTimeoutIsNotReused() throws Exception {
        try (var runner = new ScriptedRunner(connection -> {
            for (var attemptId = connection.runRequest(); attemptId != null; attemptId = connection.runRequest())
                connection.write(
                        ScriptedRunner.response(200, attemptId, "Stamp: s\r\nKeep-Alive: timeout=0\r\n", "ok"));
        })) {
            putRunner("i1", runner);
            request("/again/x", "t1", 4_000);
            request("/again/x", "t2", 4_000);
            assertEquals(2, runner.acceptedConnectionCount.get());
        }
    }

    @Test
    void noNotRunStatusAfterRefusedConnectionAndSilentRun() throws Exception {
        var closedRunner = new ScriptedRunner(connection -> {});
        var address = closedRunner.address();
        closedRunner.close();
        var runners = new ScriptedRunner[1];
        try (var silentRunner = new ScriptedRunner(connection -> {
            connection.runRequest();
            runners[0].awaitTestEnd();
        })) {
            runners[0] = silentRunner;
            proxy.putRunner("i1", address, "a", Rows.Runner.UP);
            proxy.putRunner("i2", silentRunner.address(), "b", Rows.Runner.UP);
            assertEquals(504, request("/once/x", "t1", 400).status());
            assertEquals(1, silentRunner.ranAttemptIds.size());
        }
    }

    @Test
    void noNotRunStatusAfterRefusedConnectionAndResetRun() throws Exception {
        var closedRunner = new ScriptedRunner(connection -> {});
        var address = closedRunner.address();
        closedRunner.close();
        try (var resettingRunner = new ScriptedRunner(connection -> {
            connection.runRequest();
            connection.reset();
        })) {
            proxy.putRunner("i1", address, "a", Rows.Runner.UP);
            proxy.putRunner("i2", resettingRunner.address(), "b", Rows.Runner.UP);
            assertEquals(502, request("/again/x", "t1", 1_000).status());
        }
    }
}
