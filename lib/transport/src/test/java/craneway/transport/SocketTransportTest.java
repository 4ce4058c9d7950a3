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

/** Runs transports in one JVM that exchange messages over real sockets. */
class SocketTransportTest {
    private static final java.util.concurrent.atomic.AtomicInteger NEXT_PORT =
            new java.util.concurrent.atomic.AtomicInteger(24_000);
    private final List<SocketTransport> openTransports = new ArrayList<>();

    private final class Endpoint {
        final LinkedBlockingQueue<Object> received = new LinkedBlockingQueue<>();
        final LinkedBlockingQueue<String> logLines = new LinkedBlockingQueue<>();
        final String address = freeAddress();
        final SocketTransport transport;
        volatile long coreId;

        Endpoint(long coreId) {
            this.coreId = coreId;
            transport = new SocketTransport(
                    address,
                    () -> this.coreId,
                    () -> System.nanoTime() / 1000,
                    (event, detail) -> logLines.add(event == Event.BAD_MESSAGE ? detail : event + " " + detail));
            transport.start(hello -> hello.founding != null && hello.founding.originalCoreId() == 7, received::add);
            openTransports.add(transport);
        }

        <T> T nextMessage(Class<T> type) throws InterruptedException {
            var message = received.poll(10, TimeUnit.SECONDS);
            assertTrue(type.isInstance(message), "received " + message + ", log lines " + logLines);
            return type.cast(message);
        }

        String nextLogLine() throws InterruptedException {
            return logLines.poll(10, TimeUnit.SECONDS);
        }
    }

    /** Returns an address whose port is below the range of ephemeral ports and free for both UDP and TCP. */
    private static String freeAddress() {
        while (true) {
            var port = NEXT_PORT.getAndIncrement();
            var address = new InetSocketAddress("127.0.0.1", port);
            try (var udp = new DatagramSocket(address);
                    var tcp = new java.net.ServerSocket(port, 1, address.getAddress())) {
                return "127.0.0.1:" + port;
            } catch (IOException e) {
                if (port > 26_000) throw new IllegalStateException(e);
            }
        }
    }

    @AfterEach
    void close() {
        openTransports.forEach(SocketTransport::close);
    }

    private static Join join(int part) {
        var join = new Join();
        join.part = part;
        join.from = new Node("a", Node.STORE, "z", "1.2.3.4:5", 1);
        return join;
    }

    private static TopicUpdate update(long version, byte[] body) {
        var update = new TopicUpdate();
        update.topic = "t";
        update.version = version;
        update.body = body;
        return update;
    }

    private static byte[] randomBytes(int length) {
        var bytes = new byte[length];
        new Random(1).nextBytes(bytes);
        return bytes;
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.indexOf(':') + 1));
    }

    private static void sendDatagram(String address, byte[] bytes) throws IOException {
        try (var socket = new DatagramSocket()) {
            socket.send(new DatagramPacket(bytes, bytes.length, InetAddress.getByName("127.0.0.1"), port(address)));
        }
    }

    @Test
    void smallMessagesQueuedTogetherShareADatagram() throws Exception {
        var sender = new Endpoint(5);
        var receiver = new Endpoint(5);
        for (var i = 0; i < 4; i++) sender.transport.send(receiver.address, join(i));
        for (var i = 0; i < 4; i++) assertEquals(i, receiver.nextMessage(Join.class).part);
        assertTrue(
                sender.transport.traffic().datagramsSent() <= 2,
                sender.transport.traffic().toString());
        assertEquals(0, sender.transport.traffic().connectionsOpened());
    }

    @Test
    void largeMessagesAreSentOverConnectionsAndArriveComplete() throws Exception {
        var sender = new Endpoint(5);
        var receiver = new Endpoint(5);
        var body = randomBytes(3_000_000);
        sender.transport.send(receiver.address, update(1, body));
        sender.transport.send(receiver.address, update(2, body));
        assertEquals(body.length, receiver.nextMessage(TopicUpdate.class).body.length);
        assertEquals(2, receiver.nextMessage(TopicUpdate.class).version);
        assertTrue(sender.transport.traffic().connectionsOpened() >= 1);
    }

    @Test
    void aMessageThatCompressesWellIsSentAsADatagram() throws Exception {
        var sender = new Endpoint(5);
        var receiver = new Endpoint(5);
        sender.transport.send(receiver.address, update(1, new byte[10_000]));
        assertEquals(10_000, receiver.nextMessage(TopicUpdate.class).body.length);
        assertEquals(0, sender.transport.traffic().connectionsOpened());
        assertTrue(sender.transport.traffic().bytesSent() < 300);
    }

    @Test
    void messagesToOwnAddressAreDeliveredWithoutASocket() throws Exception {
        var endpoint = new Endpoint(5);
        endpoint.transport.send(endpoint.address, join(3));
        assertEquals(3, endpoint.nextMessage(Join.class).part);
        assertEquals(0, endpoint.transport.traffic().bytesSent());
    }

    @Test
    void messagesOfAnotherCoreAreRejectedExceptHellosOfTheSameOrigin() throws Exception {
        var sender = new Endpoint(5);
        var receiver = new Endpoint(6);
        sender.transport.send(receiver.address, join(1));
        assertTrue(receiver.nextLogLine().startsWith("core 5 from"));
        var hello = new Hello();
        hello.from = new Node("a", Node.STORE, "z", sender.address, 1);
        hello.founding = new Founding();
        hello.founding.originalCoreId = 7;
        sender.transport.send(receiver.address, hello);
        assertEquals("a", receiver.nextMessage(Hello.class).from.name);
        sender.coreId = 0;
        sender.transport.send(receiver.address, join(2));
        assertEquals(2, receiver.nextMessage(Join.class).part);
    }

    @Test
    void badDatagramsAreDroppedAndLoggedAtALimitedRate() throws Exception {
        var sender = new Endpoint(5);
        var receiver = new Endpoint(5);
        for (var i = 0; i < 50; i++) sendDatagram(receiver.address, randomBytes(40));
        var wellFormedFrame = Frame.encode(5, List.of(new byte[] {99, 1, 2}));
        sendDatagram(receiver.address, wellFormedFrame);
        wellFormedFrame[20 % wellFormedFrame.length] ^= 1;
        sendDatagram(receiver.address, wellFormedFrame);
        sendDatagram(receiver.address, new byte[0]);
        sender.transport.send(receiver.address, join(1));
        assertEquals(1, receiver.nextMessage(Join.class).part);
        assertTrue(receiver.nextLogLine().contains("from /127.0.0.1"));
        assertTrue(receiver.logLines.size() <= 1, receiver.logLines.toString());
    }

    @Test
    void aConnectionThatSendsAnInvalidLengthIsClosed() throws Exception {
        var receiver = new Endpoint(5);
        try (var socket = new Socket("127.0.0.1", port(receiver.address))) {
            socket.getOutputStream().write(new byte[] {127, 127, 127, 127, 1});
            socket.setSoTimeout(10_000);
            assertEquals(-1, readOrReset(socket));
        }
        assertNull(receiver.received.poll());
    }

    private static int readOrReset(Socket socket) {
        try {
            return socket.getInputStream().read();
        } catch (IOException e) {
            return e instanceof java.net.SocketTimeoutException ? 0 : -1;
        }
    }

    @Test
    void aLargeMessageToAnUnreachableAddressDoesNotDelayOthers() throws Exception {
        var sender = new Endpoint(5);
        var receiver = new Endpoint(5);
        sender.transport.send(freeAddress(), update(1, randomBytes(20_000)));
        sender.transport.send(receiver.address, update(2, randomBytes(20_000)));
        sender.transport.send(receiver.address, join(1));
        var messages =
                List.of(receiver.received.poll(10, TimeUnit.SECONDS), receiver.received.poll(10, TimeUnit.SECONDS));
        assertTrue(messages.stream().anyMatch(message -> message instanceof TopicUpdate)
                && messages.stream().anyMatch(message -> message instanceof Join));
    }
}
