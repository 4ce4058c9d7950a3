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

/**
 * Checks over real sockets which requests are rejected because their caller may have given up: those whose connection
 * was closed meanwhile and those that arrived while the process was frozen. The I/O thread is blocked to simulate a
 * freeze.
 */
@Timeout(30)
class CallerPresenceTest {
    private final AtomicLong now = new AtomicLong(5_000_000);
    private final List<Event> loggedEvents = new CopyOnWriteArrayList<>();
    private final CallerPresence callerPresence =
            new CallerPresence(now::get, (event, detail) -> loggedEvents.add(event));
    private final LinkedBlockingQueue<String> decisions = new LinkedBlockingQueue<>();
    private final CountDownLatch unfrozen = new CountDownLatch(1);
    private final CountDownLatch frozen = new CountDownLatch(1);
    private Undertow server;
    private int port;

    @BeforeEach
    void startServer() {
        server = Undertow.builder()
                .setIoThreads(1)
                .setWorkerThreads(1)
                .addHttpListener(0, "127.0.0.1", this::handle)
                .build();
        server.start();
        port = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    }

    @AfterEach
    void stopServer() {
        unfrozen.countDown();
        server.stop();
    }

    private void handle(HttpServerExchange exchange) throws InterruptedException {
        if (exchange.getRequestPath().equals("/freeze")) {
            frozen.countDown();
            unfrozen.await();
            return;
        }
        var startedAt = callerPresence.now();
        Exchanges.dispatch(exchange, () -> {
            var isWaiting = callerPresence.mayBeWaiting(exchange, startedAt, callerPresence.now());
            decisions.add(exchange.getRequestPath() + " " + isWaiting);
            exchange.setStatusCode(isWaiting ? 200 : 503).endExchange();
        });
    }

    private Socket open() throws IOException {
        var socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
        socket.setSoTimeout(10_000);
        return socket;
    }

    private static void send(Socket socket, String path) throws IOException {
        var request = "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    private static int readStatus(Socket socket) throws IOException {
        var head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            var b = socket.getInputStream().read();
            if (b < 0) throw new IOException("the response ended after " + head);
            head.append((char) b);
        }
        return Integer.parseInt(head.substring(9, 12));
    }

    private String nextDecision() throws InterruptedException {
        return decisions.poll(10, TimeUnit.SECONDS);
    }

    private void freezeIoThread() throws IOException, InterruptedException {
        send(open(), "/freeze");
        assertTrue(frozen.await(10, TimeUnit.SECONDS));
    }

    @Test
    void acceptsRequestsOfAConnectedCaller() throws Exception {
        try (var socket = open()) {
            send(socket, "/one");
            assertEquals(200, readStatus(socket));
            send(socket, "/two");
            assertEquals(200, readStatus(socket));
        }
        assertEquals("/one true", nextDecision());
        assertEquals("/two true", nextDecision());
        assertTrue(loggedEvents.isEmpty());
    }

    @Test
    void keepsPipelinedRequestsWhenCheckingForAClosedConnection() throws Exception {
        freezeIoThread();
        try (var socket = open()) {
            send(socket, "/one");
            send(socket, "/two");
            unfrozen.countDown();
            assertEquals(200, readStatus(socket));
            assertEquals(200, readStatus(socket));
        }
        assertEquals("/one true", nextDecision());
        assertEquals("/two true", nextDecision());
    }

    @Test
    void rejectsRequestOfCallerThatClosedItsConnection() throws Exception {
        freezeIoThread();
        try (var socket = open()) {
            send(socket, "/gone");
        }
        unfrozen.countDown();
        assertEquals("/gone false", nextDecision());
        assertEquals(List.of(Event.STALE_CALL), loggedEvents);
    }

    @Test
    void rejectsRequestThatArrivedDuringAFreezeAndAcceptsTheNext() throws Exception {
        freezeIoThread();
        try (var socket = open()) {
            send(socket, "/late");
            now.addAndGet(3_000_000);
            unfrozen.countDown();
            assertEquals(503, readStatus(socket));
            assertEquals(List.of(Event.STALE_CALL), loggedEvents);
            assertEquals("/late false", nextDecision());
            for (var i = 0; i < 40; i++) {
                now.addAndGet(20_000);
                callerPresence.tick();
            }
            send(socket, "/again");
            assertEquals(200, readStatus(socket));
        }
    }
}
