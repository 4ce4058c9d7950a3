package craneway.pass;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.state.record.Rows;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A client disconnects: unless its request may run only once, the run is cancelled within half a second and not
 * retried.
 */
class ClientDisconnectTest {
    private static final int CANCEL_TIMEOUT_MILLIS = 500;
    private static final int PROCESSING_STATUS = 102;
    private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";

    private static String request(String path) {
        return "POST " + path
                + " HTTP/1.1\r\nHost: h.example\r\nTry: t1\r\nDeadline: 4000\r\nContent-Length: 0\r\n\r\n";
    }

    private static void send(Socket client, String raw) throws IOException {
        client.getOutputStream().write(raw.getBytes(StandardCharsets.ISO_8859_1));
        client.getOutputStream().flush();
    }

    private static void disconnect(Socket client, String howItEnds) throws IOException {
        if (howItEnds.equals("reset")) client.setSoLinger(true, 0);
        client.close();
    }

    @ParameterizedTest
    @CsvSource({
        "/again/x,close",
        "/again/x,reset",
        "/stream/x,close",
        "/stream/x,reset",
        "/resume/x,close",
        "/resume/x,reset"
    })
    void disconnectBeforeResponseCancelsRun(String path, String howItEnds) throws Exception {
        var requestRan = new CountDownLatch(1);
        var connectionEnded = new CountDownLatch(1);
        try (var proxy = new ProxyRig();
                var runner = new ScriptedRunner(connection -> {
                    connection.runRequest();
                    requestRan.countDown();
                    connection.awaitPeerClose();
                    connectionEnded.countDown();
                })) {
            proxy.putRunner("i1", runner.address(), "a", Rows.Runner.UP);
            try (var client = proxy.connect()) {
                send(client, request(path));
                requestRan.await();
                disconnect(client, howItEnds);
                assertTrue(connectionEnded.await(CANCEL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            }
            assertEquals(1, runner.ranAttemptIds.size());
        }
    }

    @ParameterizedTest
    @CsvSource({"/stream/x,close", "/stream/x,reset", "/resume/x,close", "/resume/x,reset"})
    void disconnectDuringStreamCancelsRun(String path, String howItEnds) throws Exception {
        var firstEventAtClient = new CountDownLatch(1);
        var clientGone = new CountDownLatch(1);
        var connectionEnded = new CountDownLatch(1);
        try (var proxy = new ProxyRig();
                var runner = new ScriptedRunner(connection -> {
                    connection.write(ScriptedRunner.streamResponseHead(connection.runRequest())
                            + ScriptedRunner.chunk(FIRST_EVENT));
                    clientGone.await();
                    connection.write(ScriptedRunner.chunk("id: 2\ndata: b\n\n"));
                    connection.awaitPeerClose();
                    connectionEnded.countDown();
                })) {
            proxy.putRunner("i1", runner.address(), "a", Rows.Runner.UP);
            try (var client = proxy.connect()) {
                send(client, request(path));
                var in = new TextLatchInputStream(client.getInputStream(), FIRST_EVENT, firstEventAtClient);
                while (firstEventAtClient.getCount() > 0) in.read();
                disconnect(client, howItEnds);
                clientGone.countDown();
                assertTrue(connectionEnded.await(CANCEL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            }
            assertEquals(1, runner.ranAttemptIds.size());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"close", "reset"})
    void onceOnlyRunCompletesAfterClientDisconnects(String howItEnds) throws Exception {
        var requestRan = new CountDownLatch(1);
        var responseDue = new CountDownLatch(1);
        var responseWritten = new CountDownLatch(1);
        try (var proxy = new ProxyRig();
                var runner = new ScriptedRunner(connection -> {
                    var attemptId = connection.runRequest();
                    requestRan.countDown();
                    responseDue.await();
                    connection.write(ScriptedRunner.success(attemptId));
                    responseWritten.countDown();
                })) {
            proxy.putRunner("i1", runner.address(), "a", Rows.Runner.UP);
            try (var client = proxy.connect()) {
                send(client, request("/once/x"));
                requestRan.await();
                disconnect(client, howItEnds);
            }
            var sweepsBefore = proxy.server.sweepCount();
            while (proxy.server.sweepCount() < sweepsBefore + 2) Thread.yield();
            assertEquals(1, proxy.server.openRequestCount());
            responseDue.countDown();
            responseWritten.await();
            while (proxy.server.openRequestCount() > 0) Thread.yield();
            assertEquals(1, runner.ranAttemptIds.size());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/again/x", "/stream/x"})
    void clientThatDisconnectsBeforeRunnerIsAvailableIsNotServed(String path) throws Exception {
        try (var proxy = new ProxyRig();
                var runner = new ScriptedRunner(
                        connection -> connection.write(ScriptedRunner.success(connection.runRequest())))) {
            proxy.publishViewWithoutService(false);
            try (var client = proxy.connect()) {
                send(client, request(path));
            }
            var sweepsBefore = proxy.server.sweepCount();
            while (proxy.server.sweepCount() < sweepsBefore + 1) Thread.yield();
            while (proxy.server.unansweredConnectionCount() > 0) Thread.yield();
            proxy.putRunner("i1", runner.address(), "a", Rows.Runner.UP);
            assertEquals("t2", proxy.post("/again/x", "t2", "").headers().get("Try"));
            assertEquals(java.util.List.of("t2"), runner.ranAttemptIds);
        }
    }

    @Test
    void halfClosedClientGetsResponseOfLongRun() throws Exception {
        var requestRan = new CountDownLatch(1);
        var responseDue = new CountDownLatch(1);
        try (var proxy = new ProxyRig();
                var runner = new ScriptedRunner(connection -> {
                    var attemptId = connection.runRequest();
                    requestRan.countDown();
                    responseDue.await();
                    connection.write(ScriptedRunner.success(attemptId));
                })) {
            proxy.putRunner("i1", runner.address(), "a", Rows.Runner.UP);
            try (var client = proxy.connect()) {
                send(client, request("/again/x"));
                requestRan.await();
                client.shutdownOutput();
                var in = client.getInputStream();
                assertEquals(PROCESSING_STATUS, ResponseParser.readInterimStatus(in));
                responseDue.countDown();
                assertEquals("body of t1", ResponseParser.readAfterInterim(in).text());
            }
            assertEquals(1, runner.ranAttemptIds.size());
        }
    }

    @Test
    void clientThatPipelinesDuringRunGetsBothResponses() throws Exception {
        var requestRan = new CountDownLatch(1);
        var responseDue = new CountDownLatch(1);
        try (var proxy = new ProxyRig();
                var runner = new ScriptedRunner(connection -> {
                    for (var attemptId = connection.runRequest();
                            attemptId != null;
                            attemptId = connection.runRequest()) {
                        requestRan.countDown();
                        responseDue.await();
                        connection.write(ScriptedRunner.success(attemptId));
                    }
                })) {
            proxy.putRunner("i1", runner.address(), "a", Rows.Runner.UP);
            try (var client = proxy.connect()) {
                send(client, request("/again/x"));
                requestRan.await();
                send(client, request("/again/x").replace("t1", "t2"));
                var sweepsBefore = proxy.server.sweepCount();
                while (proxy.server.sweepCount() < sweepsBefore + 2) Thread.yield();
                responseDue.countDown();
                assertEquals(
                        "body of t1", ProxyRig.read(client.getInputStream()).text());
                assertEquals(
                        "body of t2", ProxyRig.read(client.getInputStream()).text());
            }
        }
    }
}
