package craneway.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.model.event.Event;
import craneway.state.message.Messages.Founding;
import craneway.state.message.Messages.Hello;
import craneway.state.message.Messages.Join;
import craneway.state.message.Messages.TopicUpdate;
import craneway.state.message.Node;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class WireTest {
    private static final java.util.concurrent.atomic.AtomicInteger PORT =
            new java.util.concurrent.atomic.AtomicInteger(24_000);
    private final List<SocketTransport> open = new ArrayList<>();

    private final class End {
        final LinkedBlockingQueue<Object> got = new LinkedBlockingQueue<>();
        final LinkedBlockingQueue<String> notes = new LinkedBlockingQueue<>();
        final String address = freeAddress();
        final SocketTransport wire;
        volatile long core;

        End(long core) {
            this.core = core;
            wire = new SocketTransport(
                    address,
                    () -> this.core,
                    () -> System.nanoTime() / 1000,
                    (e, d) -> notes.add(e == Event.BAD_MESSAGE ? d : e + " " + d));
            wire.start(h -> h.founding != null && h.founding.originalCoreId() == 7, got::add);
            open.add(wire);
        }

        <T> T next(Class<T> type) throws InterruptedException {
            var m = got.poll(10, TimeUnit.SECONDS);
            assertTrue(type.isInstance(m), "got " + m + ", notes " + notes);
            return type.cast(m);
        }

        String note() throws InterruptedException {
            return notes.poll(10, TimeUnit.SECONDS);
        }
    }

    /** A port below the range of outgoing connections, free for both UDP and TCP. */
    private static String freeAddress() {
        while (true) {
            var p = PORT.getAndIncrement();
            var at = new InetSocketAddress("127.0.0.1", p);
            try (var s = new DatagramSocket(at);
                    var t = new java.net.ServerSocket(p, 1, at.getAddress())) {
                return "127.0.0.1:" + p;
            } catch (IOException e) {
                if (p > 26_000) throw new IllegalStateException(e);
            }
        }
    }

    @AfterEach
    void close() {
        open.forEach(SocketTransport::close);
    }

    private static Join join(int part) {
        var j = new Join();
        j.part = part;
        j.from = new Node("a", Node.STORE, "z", "1.2.3.4:5", 1);
        return j;
    }

    private static TopicUpdate news(long version, byte[] body) {
        var n = new TopicUpdate();
        n.topic = "t";
        n.version = version;
        n.body = body;
        return n;
    }

    private static byte[] random(int n) {
        var b = new byte[n];
        new Random(1).nextBytes(b);
        return b;
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.indexOf(':') + 1));
    }

    private static void raw(String to, byte[] b) throws IOException {
        try (var s = new DatagramSocket()) {
            s.send(new DatagramPacket(b, b.length, InetAddress.getByName("127.0.0.1"), port(to)));
        }
    }

    @Test
    void smallMessagesThatWaitTogetherGoInOneDatagram() throws Exception {
        var a = new End(5);
        var b = new End(5);
        for (var i = 0; i < 4; i++) a.wire.send(b.address, join(i));
        for (var i = 0; i < 4; i++) assertEquals(i, b.next(Join.class).part);
        assertTrue(a.wire.traffic().datagramsSent() <= 2, a.wire.traffic().toString());
        assertEquals(0, a.wire.traffic().connectionsOpened());
    }

    @Test
    void largeMessagesGoOverConnectionsAndArriveWhole() throws Exception {
        var a = new End(5);
        var b = new End(5);
        var body = random(3_000_000);
        a.wire.send(b.address, news(1, body));
        a.wire.send(b.address, news(2, body));
        assertEquals(body.length, b.next(TopicUpdate.class).body.length);
        assertEquals(2, b.next(TopicUpdate.class).version);
        assertTrue(a.wire.traffic().connectionsOpened() >= 1);
    }

    @Test
    void whatDeflatesWellStaysADatagram() throws Exception {
        var a = new End(5);
        var b = new End(5);
        a.wire.send(b.address, news(1, new byte[10_000]));
        assertEquals(10_000, b.next(TopicUpdate.class).body.length);
        assertEquals(0, a.wire.traffic().connectionsOpened());
        assertTrue(a.wire.traffic().bytesSent() < 300);
    }

    @Test
    void aProcessReachesItself() throws Exception {
        var a = new End(5);
        a.wire.send(a.address, join(3));
        assertEquals(3, a.next(Join.class).part);
        assertEquals(0, a.wire.traffic().bytesSent());
    }

    @Test
    void anotherCoreIsDeclinedUnlessKin() throws Exception {
        var a = new End(5);
        var b = new End(6);
        a.wire.send(b.address, join(1));
        assertTrue(b.note().startsWith("core 5 from"));
        var h = new Hello();
        h.from = new Node("a", Node.STORE, "z", a.address, 1);
        h.founding = new Founding();
        h.founding.originalCoreId = 7;
        a.wire.send(b.address, h);
        assertEquals("a", b.next(Hello.class).from.name);
        a.core = 0;
        a.wire.send(b.address, join(2));
        assertEquals(2, b.next(Join.class).part);
    }

    @Test
    void badDatagramsAreNotedRarelyAndDropped() throws Exception {
        var a = new End(5);
        var b = new End(5);
        for (var i = 0; i < 50; i++) raw(b.address, random(40));
        var good = Frame.of(5, List.of(new byte[] {99, 1, 2}));
        raw(b.address, good);
        good[20 % good.length] ^= 1;
        raw(b.address, good);
        raw(b.address, new byte[0]);
        a.wire.send(b.address, join(1));
        assertEquals(1, b.next(Join.class).part);
        assertTrue(b.note().contains("from /127.0.0.1"));
        assertTrue(b.notes.size() <= 1, b.notes.toString());
    }

    @Test
    void aConnectionThatSendsNoFrameIsClosed() throws Exception {
        var b = new End(5);
        try (var s = new Socket("127.0.0.1", port(b.address))) {
            s.getOutputStream().write(new byte[] {127, 127, 127, 127, 1});
            s.setSoTimeout(10_000);
            assertEquals(-1, readOrReset(s));
        }
        assertNull(b.got.poll());
    }

    private static int readOrReset(Socket s) {
        try {
            return s.getInputStream().read();
        } catch (IOException e) {
            return e instanceof java.net.SocketTimeoutException ? 0 : -1;
        }
    }

    @Test
    void aLargeMessageToADeadAddressDoesNotHoldUpOthers() throws Exception {
        var a = new End(5);
        var b = new End(5);
        a.wire.send(freeAddress(), news(1, random(20_000)));
        a.wire.send(b.address, news(2, random(20_000)));
        a.wire.send(b.address, join(1));
        var got = List.of(b.got.poll(10, TimeUnit.SECONDS), b.got.poll(10, TimeUnit.SECONDS));
        assertTrue(got.stream().anyMatch(m -> m instanceof TopicUpdate)
                && got.stream().anyMatch(m -> m instanceof Join));
    }
}
