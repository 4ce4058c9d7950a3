package craneway.pass;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.state.record.Rows;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The manifest's limits on a client's connection: 15 s idle and 3 s for a request head. The clock is advanced, not
 * waited for.
 */
class ClientConnectionLimitTest {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long CLOCK_STEP_MICROS = 1_400_000;
    private static final int CLOSE_TIMEOUT_MILLIS = 1_300;
    private ProxyRig proxy;
    private FakeRunner runner;
    private Socket client;

    @BeforeEach
    void openProxy() throws Exception {
        proxy = new ProxyRig();
        runner = new FakeRunner(request -> request.respondOk("own of " + request.header("try")));
        proxy.putRunner("i1", runner.address(), "a", Rows.Runner.UP);
        client = proxy.connect();
        proxy.stopClock();
    }

    @AfterEach
    void closeProxy() throws Exception {
        client.close();
        runner.close();
        proxy.close();
    }

    private void send(String raw) throws IOException {
        client.getOutputStream().write(raw.getBytes(StandardCharsets.ISO_8859_1));
    }

    private void sendRequest(String attemptId) throws IOException {
        send("POST /once/x HTTP/1.1\r\nHost: h.example\r\nTry: " + attemptId + "\r\nContent-Length: 0\r\n\r\n");
    }

    private ProxyRig.Response readResponse() throws IOException {
        return ProxyRig.read(client.getInputStream());
    }

    /** Advances the clock in steps that are too short for the router to take for a freeze, with a sweep after each. */
    private void advanceClockInSteps(long micros) {
        for (var remainingMicros = micros; remainingMicros > 0; remainingMicros -= CLOCK_STEP_MICROS) {
            var sweepsBefore = proxy.server.sweepCount();
            proxy.advanceClock(CLOCK_STEP_MICROS);
            var deadlineNanos = System.nanoTime() + 5_000_000_000L;
            while (proxy.server.sweepCount() == sweepsBefore && System.nanoTime() < deadlineNanos) Thread.yield();
        }
    }

    private void assertClosed() throws IOException {
        client.setSoTimeout(CLOSE_TIMEOUT_MILLIS);
        assertEquals(-1, client.getInputStream().read());
    }

    @Test
    void responseStatesKeepAliveTimeout() throws Exception {
        sendRequest("t1");
        assertEquals("timeout=12", readResponse().headers().get("Keep-Alive"));
    }

    @Test
    void drainingRouterSendsConnectionCloseWithoutKeepAlive() throws Exception {
        proxy.server.startDraining();
        proxy.post("/once/x", "t0", "");
        sendRequest("t1");
        var response = readResponse();
        assertEquals("own of t1", response.text());
        assertEquals("close", response.headers().get("Connection"));
        assertNull(response.headers().get("Keep-Alive"));
    }

    @Test
    void connectionIsServedAfterFourFifthsOfIdleLimit() throws Exception {
        sendRequest("t1");
        readResponse();
        advanceClockInSteps(12 * MICROS_PER_SECOND);
        sendRequest("t2");
        assertEquals("own of t2", readResponse().text());
        advanceClockInSteps(12 * MICROS_PER_SECOND);
        sendRequest("t3");
        assertEquals("own of t3", readResponse().text());
    }

    @Test
    void connectionIdleBeyondLimitIsClosed() throws Exception {
        sendRequest("t1");
        readResponse();
        advanceClockInSteps(16 * MICROS_PER_SECOND);
        assertClosed();
    }

    @Test
    void connectionWithoutAnyRequestIsClosed() throws Exception {
        sendRequest("t1");
        readResponse();
        try (var other = proxy.connect()) {
            advanceClockInSteps(16 * MICROS_PER_SECOND);
            other.setSoTimeout(CLOSE_TIMEOUT_MILLIS);
            assertEquals(-1, other.getInputStream().read());
        }
    }

    @Test
    void connectionWithOpenRequestIsNotClosed() throws Exception {
        var secondEventDue = new CountDownLatch(1);
        runner.setScript(request -> {
            request.startStream();
            request.writeChunk("id: 1\ndata: a\n\n");
            secondEventDue.await();
            request.writeChunk("id: 2\ndata: b\n\n");
            request.write("0\r\n\r\n");
        });
        send("POST /stream/x HTTP/1.1\r\nHost: h.example\r\nTry: t1\r\nContent-Length: 0\r\n\r\n");
        runner.awaitRequest();
        advanceClockInSteps(20 * MICROS_PER_SECOND);
        secondEventDue.countDown();
        assertTrue(readResponse().complete());
    }

    @Test
    void connectionWithLateRequestHeadIsClosed() throws Exception {
        proxy.post("/once/x", "t0", "");
        send("POST /once/x HTTP/1.1\r\nHost: h.exa");
        advanceClockInSteps(5 * MICROS_PER_SECOND);
        assertClosed();
        assertEquals(1, runner.receivedRequests.size());
    }

    @Test
    void requestHeadCompletedInTimeIsServed() throws Exception {
        proxy.post("/once/x", "t0", "");
        send("POST /once/x HTTP/1.1\r\nHost: h.exa");
        advanceClockInSteps(2 * MICROS_PER_SECOND);
        send("mple\r\nTry: t1\r\nContent-Length: 4\r\n\r\n");
        advanceClockInSteps(5 * MICROS_PER_SECOND);
        send("body");
        assertEquals("own of t1", readResponse().text());
    }

    @Test
    void clockJumpBeyondLimitDoesNotCloseConnectionInUse() throws Exception {
        sendRequest("t1");
        readResponse();
        proxy.advanceClockWhenIdle(60 * MICROS_PER_SECOND);
        sendRequest("t2");
        assertEquals("own of t2", readResponse().text());
    }

    @Test
    void responseCompletesAfterListenerStops() throws Exception {
        var secondEventDue = new CountDownLatch(1);
        runner.setScript(request -> {
            request.startStream();
            request.writeChunk("id: 1\ndata: a\n\n");
            secondEventDue.await();
            request.writeChunk("id: 2\ndata: b\n\n");
            request.write("0\r\n\r\n");
        });
        send("POST /stream/x HTTP/1.1\r\nHost: h.example\r\nTry: t1\r\nContent-Length: 0\r\n\r\n");
        runner.awaitRequest();
        proxy.server.startDraining();
        proxy.server.stopListening();
        secondEventDue.countDown();
        assertTrue(readResponse().complete());
    }

    @Test
    void connectionIdleBelowLimitIsNotClosed() throws Exception {
        sendRequest("t1");
        readResponse();
        advanceClockInSteps(14 * MICROS_PER_SECOND);
        client.setSoTimeout(100);
        try {
            assertEquals(0, client.getInputStream().read());
        } catch (SocketTimeoutException e) {
            assertTrue(client.isConnected());
        }
    }
}
