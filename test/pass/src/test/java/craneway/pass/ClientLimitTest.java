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

/** The limits of the configuration on a client's connection: 15 s at rest, 3 s for a head. The clock is moved, not waited for. */
class ClientLimitTest {
    private static final long SECOND = 1_000_000;
    private static final long STEP = 1_400_000;
    private static final int SOON_MILLIS = 1_300;
    private Bed bed;
    private FakeRunner runner;
    private Socket client;

    @BeforeEach
    void up() throws Exception {
        bed = new Bed();
        runner = new FakeRunner(x -> x.ok("own of " + x.header("try")));
        bed.runner("i1", runner.address(), "a", Rows.Runner.UP);
        client = bed.connect();
        bed.stopClock();
    }

    @AfterEach
    void down() throws Exception {
        client.close();
        runner.close();
        bed.close();
    }

    private void send(String raw) throws IOException {
        client.getOutputStream().write(raw.getBytes(StandardCharsets.ISO_8859_1));
    }

    private void request(String id) throws IOException {
        send("POST /once/x HTTP/1.1\r\nHost: h.example\r\nTry: " + id + "\r\nContent-Length: 0\r\n\r\n");
    }

    private Bed.Answer answer() throws IOException {
        return Bed.answer(client.getInputStream());
    }

    /** Moves the clock in steps that are too short to look like a freeze. */
    private void pass(long micros) {
        for (var left = micros; left > 0; left -= STEP) {
            var looks = bed.server.sweepCount();
            bed.advanceWithin(STEP);
            var until = System.nanoTime() + 5_000_000_000L;
            while (bed.server.sweepCount() == looks && System.nanoTime() < until) Thread.yield();
        }
    }

    private void closed() throws IOException {
        client.setSoTimeout(SOON_MILLIS);
        assertEquals(-1, client.getInputStream().read());
    }

    @Test
    void answersTellHowLongAConnectionIsKept() throws Exception {
        request("t1");
        assertEquals("timeout=12", answer().headers().get("Keep-Alive"));
    }

    @Test
    void aRouterThatLeavesSaysCloseAndNoTime() throws Exception {
        bed.server.startDraining();
        bed.ask("/once/x", "t0", "");
        request("t1");
        var a = answer();
        assertEquals("own of t1", a.text());
        assertEquals("close", a.headers().get("Connection"));
        assertNull(a.headers().get("Keep-Alive"));
    }

    @Test
    void aConnectionServesAfterFourFifthsOfTheLimit() throws Exception {
        request("t1");
        answer();
        pass(12 * SECOND);
        request("t2");
        assertEquals("own of t2", answer().text());
        pass(12 * SECOND);
        request("t3");
        assertEquals("own of t3", answer().text());
    }

    @Test
    void aConnectionAtRestForTheLimitIsClosed() throws Exception {
        request("t1");
        answer();
        pass(16 * SECOND);
        closed();
    }

    @Test
    void aConnectionThatNeverCarriedARequestIsClosed() throws Exception {
        request("t1");
        answer();
        try (var other = bed.connect()) {
            pass(16 * SECOND);
            other.setSoTimeout(SOON_MILLIS);
            assertEquals(-1, other.getInputStream().read());
        }
    }

    @Test
    void aConnectionWithARequestUnderWayIsNotClosed() throws Exception {
        var go = new CountDownLatch(1);
        runner.script(x -> {
            x.streamHead();
            x.chunk("id: 1\ndata: a\n\n");
            go.await();
            x.chunk("id: 2\ndata: b\n\n");
            x.answer("0\r\n\r\n");
        });
        send("POST /stream/x HTTP/1.1\r\nHost: h.example\r\nTry: t1\r\nContent-Length: 0\r\n\r\n");
        runner.arrival();
        pass(20 * SECOND);
        go.countDown();
        assertTrue(answer().whole());
    }

    @Test
    void aHeadThatIsNotCompleteInItsTimeIsClosed() throws Exception {
        bed.ask("/once/x", "t0", "");
        send("POST /once/x HTTP/1.1\r\nHost: h.exa");
        pass(5 * SECOND);
        closed();
        assertEquals(1, runner.seen.size());
    }

    @Test
    void aHeadThatIsCompleteWithinItsTimeIsServed() throws Exception {
        bed.ask("/once/x", "t0", "");
        send("POST /once/x HTTP/1.1\r\nHost: h.exa");
        pass(2 * SECOND);
        send("mple\r\nTry: t1\r\nContent-Length: 4\r\n\r\n");
        pass(5 * SECOND);
        send("body");
        assertEquals("own of t1", answer().text());
    }

    @Test
    void aFreezeLongerThanTheLimitClosesNothingThatIsAsked() throws Exception {
        request("t1");
        answer();
        bed.advance(60 * SECOND);
        request("t2");
        assertEquals("own of t2", answer().text());
    }

    @Test
    void anAnswerUnderWayEndsWholeAfterTheListenerHasStopped() throws Exception {
        var go = new CountDownLatch(1);
        runner.script(x -> {
            x.streamHead();
            x.chunk("id: 1\ndata: a\n\n");
            go.await();
            x.chunk("id: 2\ndata: b\n\n");
            x.answer("0\r\n\r\n");
        });
        send("POST /stream/x HTTP/1.1\r\nHost: h.example\r\nTry: t1\r\nContent-Length: 0\r\n\r\n");
        runner.arrival();
        bed.server.startDraining();
        bed.server.stopListening();
        go.countDown();
        assertTrue(answer().whole());
    }

    @Test
    void aConnectionAtRestForLessIsNotClosed() throws Exception {
        request("t1");
        answer();
        pass(14 * SECOND);
        client.setSoTimeout(100);
        try {
            assertEquals(0, client.getInputStream().read());
        } catch (SocketTimeoutException e) {
            assertTrue(client.isConnected());
        }
    }
}
