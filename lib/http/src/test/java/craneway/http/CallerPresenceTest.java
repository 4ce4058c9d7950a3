package craneway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.model.event.Event;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Orders whose callers closed their connections, or sent them while the process stood still, over real sockets. */
@Timeout(30)
class CallerPresenceTest {
    private final AtomicLong now = new AtomicLong(5_000_000);
    private final List<Event> notes = new CopyOnWriteArrayList<>();
    private final CallerPresence callers = new CallerPresence(now::get, (e, detail) -> notes.add(e));
    private final LinkedBlockingQueue<String> seen = new LinkedBlockingQueue<>();
    private final CountDownLatch thawed = new CountDownLatch(1);
    private final CountDownLatch frozen = new CountDownLatch(1);
    private Undertow server;
    private int port;

    @BeforeEach
    void begin() {
        server = Undertow.builder()
                .setIoThreads(1)
                .setWorkerThreads(1)
                .addHttpListener(0, "127.0.0.1", this::handle)
                .build();
        server.start();
        port = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    }

    @AfterEach
    void end() {
        thawed.countDown();
        server.stop();
    }

    private void handle(HttpServerExchange x) throws InterruptedException {
        if (x.getRequestPath().equals("/freeze")) {
            frozen.countDown();
            thawed.await();
            return;
        }
        var began = callers.now();
        Exchanges.dispatch(x, () -> {
            var waits = callers.mayBeWaiting(x, began, callers.now());
            seen.add(x.getRequestPath() + " " + waits);
            x.setStatusCode(waits ? 200 : 503).endExchange();
        });
    }

    private Socket open() throws IOException {
        var s = new Socket(InetAddress.getByName("127.0.0.1"), port);
        s.setSoTimeout(10_000);
        return s;
    }

    private static void send(Socket s, String path) throws IOException {
        var text = "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
        s.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        s.getOutputStream().flush();
    }

    private static int status(Socket s) throws IOException {
        var head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            var b = s.getInputStream().read();
            if (b < 0) throw new IOException("ended after " + head);
            head.append((char) b);
        }
        return Integer.parseInt(head.substring(9, 12));
    }

    private String next() throws InterruptedException {
        return seen.poll(10, TimeUnit.SECONDS);
    }

    private void freeze() throws IOException, InterruptedException {
        send(open(), "/freeze");
        assertTrue(frozen.await(10, TimeUnit.SECONDS));
    }

    @Test
    void aCallerThatStaysIsWaitingAndItsNextRequestIsReadToo() throws Exception {
        try (var s = open()) {
            send(s, "/one");
            assertEquals(200, status(s));
            send(s, "/two");
            assertEquals(200, status(s));
        }
        assertEquals("/one true", next());
        assertEquals("/two true", next());
        assertTrue(notes.isEmpty());
    }

    @Test
    void aRequestSentBehindAnotherIsNeitherLostNorTakenForAnEnd() throws Exception {
        freeze();
        try (var s = open()) {
            send(s, "/one");
            send(s, "/two");
            thawed.countDown();
            assertEquals(200, status(s));
            assertEquals(200, status(s));
        }
        assertEquals("/one true", next());
        assertEquals("/two true", next());
    }

    @Test
    void aCallerThatClosedItsConnectionMeanwhileIsGone() throws Exception {
        freeze();
        try (var s = open()) {
            send(s, "/gone");
        }
        thawed.countDown();
        assertEquals("/gone false", next());
        assertEquals(List.of(Event.STALE_CALL), notes);
    }

    @Test
    void anOrderThatWaitedInASocketWhileTheProcessStoodStillIsRefused() throws Exception {
        freeze();
        try (var s = open()) {
            send(s, "/late");
            now.addAndGet(3_000_000);
            thawed.countDown();
            assertEquals(503, status(s));
            assertEquals(List.of(Event.STALE_CALL), notes);
            assertEquals("/late false", next());
            for (var i = 0; i < 40; i++) {
                now.addAndGet(20_000);
                callers.tick();
            }
            send(s, "/again");
            assertEquals(200, status(s));
        }
    }
}
