package craneway.transport;

import craneway.model.event.Event;
import craneway.model.event.EventSink;
import craneway.state.message.BadMessageException;
import craneway.state.message.Codec;
import craneway.state.message.Messages.Hello;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * Sends and receives messages over UDP and TCP on one address. The messages that have queued up for an address are sent
 * together: as UDP datagrams if they fit into one, otherwise as one frame over a TCP connection opened for it. A
 * message may be lost or duplicated, and a large one may be overtaken by later ones.
 *
 * <p>A single thread does all sending and receiving and calls the receiver. Public methods are thread-safe.
 */
public final class SocketTransport implements Transport {
    /** Beyond this many queued messages for one address, the oldest are dropped, large ones first. */
    private static final int MAX_QUEUED_MESSAGES = 4_000;

    /** Beyond this many queued bytes for one address, the oldest messages are dropped, large ones first. */
    private static final int MAX_QUEUED_BYTES = 32 << 20;

    /** A frame of this size for a connection takes no further message. */
    private static final int CONNECTION_BATCH_BYTES = 1 << 20;

    /**
     * The most outgoing connections open at once, and the backlog of incoming ones. New incoming connections are closed
     * while twice as many connections are open in all.
     */
    private static final int MAX_OUTGOING_CONNECTIONS = 64;

    /** The most datagrams received before the thread turns to its other work. */
    private static final int MAX_DATAGRAMS_PER_TURN = 64;

    /** The most bytes of receive buffers over all incoming connections. */
    private static final int MAX_RECEIVE_BUFFER_BYTES = 96 << 20;

    /** How long messages wait for others that can share their datagram. */
    private static final long BATCH_DELAY_MILLIS = 2;

    /** How often the thread checks open connections for their deadlines. */
    private static final long DEADLINE_CHECK_INTERVAL_MILLIS = 200;

    private static final long CONNECT_TIMEOUT_MICROS = 500_000;

    /** A connection that makes no progress for this long is closed. */
    private static final long PROGRESS_TIMEOUT_MICROS = 2_000_000;

    /** The queue of an address is removed after it has been unused for this long. */
    private static final long REMOVE_IDLE_QUEUE_AFTER_MICROS = 60_000_000;

    private interface ReadyHandler {
        void onReady() throws IOException;
    }

    /**
     * Traffic since the start; bytes do not include the headers of UDP, TCP and IP.
     *
     * @param datagramsSent datagrams sent
     * @param connectionsOpened connections opened by this process
     * @param bytesSent bytes sent
     * @param bytesReceived bytes received
     */
    public record Traffic(long datagramsSent, long connectionsOpened, long bytesSent, long bytesReceived) {}

    private final String ownAddress;
    private final LongSupplier coreId;
    private final LongSupplier clock;
    private final EventSink log;
    private final BadMessageLog badMessages;
    private final Selector selector;
    private final DatagramChannel udp;
    private final ServerSocketChannel tcp;
    private final ByteBuffer datagramBuffer = ByteBuffer.allocateDirect(65_536);
    private final Map<String, PeerQueue> queues = new ConcurrentHashMap<>();
    private final Queue<PeerQueue> queuesToFlush = new ConcurrentLinkedQueue<>();
    private final Set<Connection> connections = new HashSet<>();
    private final AtomicBoolean flushRequested = new AtomicBoolean();
    private final Thread thread = new Thread(this::run, "wire");
    private Predicate<Hello> sameOrigin;
    private Consumer<Object> receiver;
    private long flushAt;
    private long idleQueuesRemovedAt;
    private int receiveBufferBytes;
    private volatile boolean closed;
    private volatile long datagramsSent, connectionsOpened, bytesSent, bytesReceived;

    /**
     * Binds the address for UDP and TCP. No message is received before {@link #start}.
     *
     * @param address IP:PORT
     * @param coreId the id of the core that this process belongs to, 0 while it belongs to none
     * @param clock the steady clock, in microseconds
     */
    public SocketTransport(String address, LongSupplier coreId, LongSupplier clock, EventSink log) {
        this.ownAddress = address;
        this.coreId = coreId;
        this.clock = clock;
        this.log = log;
        badMessages = new BadMessageLog(log, clock);
        try {
            selector = Selector.open();
            udp = DatagramChannel.open();
            udp.setOption(StandardSocketOptions.SO_RCVBUF, 1 << 20);
            udp.bind(parseAddress(address)).configureBlocking(false);
            udp.register(selector, SelectionKey.OP_READ, (ReadyHandler) this::receiveDatagrams);
            tcp = ServerSocketChannel.open().setOption(StandardSocketOptions.SO_REUSEADDR, true);
            tcp.bind(parseAddress(address), MAX_OUTGOING_CONNECTIONS).configureBlocking(false);
            tcp.register(selector, SelectionKey.OP_ACCEPT, (ReadyHandler) this::acceptConnections);
        } catch (IOException e) {
            throw new UncheckedIOException(address + ": " + e.getMessage(), e);
        }
    }

    /**
     * Starts to deliver received messages. Call it once.
     *
     * @param sameOrigin whether a hello of another core comes from a generation of the same origin and is to be
     *     delivered; all other messages of other cores are rejected
     * @param receiver receives each message, on the transport's thread
     */
    public void start(Predicate<Hello> sameOrigin, Consumer<Object> receiver) {
        this.sameOrigin = sameOrigin;
        this.receiver = receiver;
        thread.setDaemon(true);
        thread.start();
    }

    private static InetSocketAddress parseAddress(String address) {
        var colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    @Override
    public void send(String address, Object message) {
        queues.computeIfAbsent(address, PeerQueue::new).add(Codec.encodeTagged(message));
        if (flushRequested.compareAndSet(false, true) && Thread.currentThread() != thread) selector.wakeup();
    }

    /** Returns the traffic since the start. */
    public Traffic traffic() {
        return new Traffic(datagramsSent, connectionsOpened, bytesSent, bytesReceived);
    }

    /** Stops the thread, waiting at most 1 s for it, and closes all sockets. */
    @Override
    public void close() {
        closed = true;
        selector.wakeup();
        try {
            thread.join(1_000);
            selector.close();
            udp.close();
            tcp.close();
        } catch (IOException e) {
            log.logEvent(Event.INTERNAL_ERROR, "transport: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        while (!closed) {
            try {
                runOnce();
            } catch (IOException | RuntimeException e) {
                if (!closed) log.logEvent(Event.INTERNAL_ERROR, "transport: " + e);
            }
        }
        List.copyOf(connections).forEach(Connection::end);
    }

    private void runOnce() throws IOException {
        selector.select(
                key -> handleReady(key),
                flushRequested.get() ? BATCH_DELAY_MILLIS : connections.isEmpty() ? 0 : DEADLINE_CHECK_INTERVAL_MILLIS);
        var now = clock.getAsLong();
        for (var connection : List.copyOf(connections)) if (now >= connection.deadline) connection.end();
        if (!flushRequested.get()) return;
        if (flushAt == 0) flushAt = now + BATCH_DELAY_MILLIS * 1_000;
        if (now < flushAt) return;
        flushAt = 0;
        flushRequested.set(false);
        for (var queue = queuesToFlush.poll(); queue != null; queue = queuesToFlush.poll()) queue.flush(now);
        if (now - idleQueuesRemovedAt > REMOVE_IDLE_QUEUE_AFTER_MICROS) removeIdleQueues(now);
    }

    private void removeIdleQueues(long now) {
        idleQueuesRemovedAt = now;
        queues.values().removeIf(queue -> queue.isIdle(now));
    }

    private void handleReady(SelectionKey key) {
        var connection = key.attachment() instanceof Connection c ? c : null;
        try {
            if (connection != null) connection.onReady();
            else ((ReadyHandler) key.attachment()).onReady();
        } catch (IOException e) {
            if (connection != null) connection.end();
        }
    }

    private void receiveDatagrams() throws IOException {
        for (var i = 0; i < MAX_DATAGRAMS_PER_TURN; i++) {
            datagramBuffer.clear();
            var sender = udp.receive(datagramBuffer);
            if (sender == null) return;
            datagramBuffer.flip();
            var frame = new byte[datagramBuffer.remaining()];
            datagramBuffer.get(frame);
            receiveFrame(frame, sender);
        }
    }

    private void acceptConnections() throws IOException {
        for (var channel = tcp.accept(); channel != null; channel = tcp.accept()) {
            if (connections.size() < MAX_OUTGOING_CONNECTIONS * 2) new IncomingConnection(channel);
            else channel.close();
        }
    }

    private void receiveFrame(byte[] bytes, SocketAddress sender) {
        bytesReceived += bytes.length;
        try {
            var frame = Frame.decode(bytes);
            var ownCore = coreId.getAsLong();
            var foreign = frame.coreId() != 0 && ownCore != 0 && frame.coreId() != ownCore;
            for (var message : frame.messages()) decodeAndDeliver(message, foreign, frame, sender);
        } catch (BadMessageException e) {
            badMessages.report(e.getMessage() + " from " + sender);
        }
    }

    private void decodeAndDeliver(byte[] encoded, boolean foreign, Frame frame, SocketAddress sender) {
        var message = Codec.decodeTagged(encoded);
        if (foreign && !(message instanceof Hello hello && hello.from != null && sameOrigin.test(hello))) {
            badMessages.report("core " + Long.toHexString(frame.coreId()) + " from " + sender);
            return;
        }
        deliver(message);
    }

    private void deliver(Object message) {
        try {
            receiver.accept(message);
        } catch (RuntimeException e) {
            log.logEvent(Event.INTERNAL_ERROR, message.getClass().getSimpleName() + ": " + e);
        }
    }

    /**
     * The messages that wait to be sent to one address. Any thread may add messages; everything else runs on the
     * transport's thread.
     */
    private final class PeerQueue {
        private final String address;
        private final InetSocketAddress socketAddress;

        /**
         * All messages that have been added, until {@link #takeDatagram} finds that one is too large for a datagram.
         */
        private final Deque<byte[]> queued = new ArrayDeque<>();

        /** The messages that need a connection. */
        private final Deque<byte[]> large = new ArrayDeque<>();

        private final AtomicBoolean flushScheduled = new AtomicBoolean();
        private int queuedBytes;
        private long lastUsedAt;
        private OutgoingConnection connection;

        PeerQueue(String address) {
            this.address = address;
            socketAddress = parseAddress(address);
            lastUsedAt = clock.getAsLong();
        }

        void add(byte[] message) {
            synchronized (this) {
                queued.add(message);
                queuedBytes += message.length;
                while (queued.size() + large.size() > MAX_QUEUED_MESSAGES || queuedBytes > MAX_QUEUED_BYTES)
                    queuedBytes -= (large.isEmpty() ? queued : large).poll().length;
            }
            scheduleFlush();
        }

        private void scheduleFlush() {
            if (flushScheduled.compareAndSet(false, true)) queuesToFlush.add(this);
        }

        private synchronized boolean hasLarge() {
            return !large.isEmpty();
        }

        synchronized boolean isIdle(long now) {
            return now - lastUsedAt > REMOVE_IDLE_QUEUE_AFTER_MICROS
                    && queued.isEmpty()
                    && large.isEmpty()
                    && connection == null;
        }

        /** Sends all queued messages; those to the process's own address are delivered without a socket. */
        void flush(long now) {
            flushScheduled.set(false);
            lastUsedAt = now;
            if (address.equals(ownAddress)) {
                for (var message = take(queued); message != null; message = take(queued))
                    deliver(Codec.decodeTagged(message));
                return;
            }
            for (var batch = takeDatagram(); !batch.isEmpty(); batch = takeDatagram()) sendBatch(batch);
            if (connection == null) openConnection();
        }

        private synchronized byte[] take(Deque<byte[]> source) {
            var message = source.poll();
            if (message != null) queuedBytes -= message.length;
            return message;
        }

        /** Removes and returns as many messages as certainly fit into one datagram; none if the queue is empty. */
        private synchronized List<byte[]> takeDatagram() {
            var batch = new ArrayList<byte[]>();
            var datagramBytes = Frame.HEADER_BYTES;
            while (!queued.isEmpty()) {
                var message = queued.peek();
                if (Frame.HEADER_BYTES + Frame.maxEncodedSize(message) > Frame.MAX_DATAGRAM_BYTES) {
                    compressOrDefer(queued.poll());
                    continue;
                }
                datagramBytes += Frame.maxEncodedSize(message);
                if (datagramBytes > Frame.MAX_DATAGRAM_BYTES) break;
                batch.add(take(queued));
            }
            return batch;
        }

        /**
         * Sends a message as a datagram if compression makes it small enough, otherwise leaves it for a connection.
         * Compression is not tried on messages of 16 times the size of a datagram or more.
         */
        private void compressOrDefer(byte[] message) {
            var frame = message.length < 16 * Frame.MAX_DATAGRAM_BYTES
                    ? Frame.encode(coreId.getAsLong(), List.of(message))
                    : message;
            if (frame == message || frame.length > Frame.MAX_DATAGRAM_BYTES) {
                large.add(message);
                return;
            }
            queuedBytes -= message.length;
            sendDatagram(frame);
        }

        private void sendBatch(List<byte[]> messages) {
            sendDatagram(Frame.encode(coreId.getAsLong(), messages));
        }

        private void sendDatagram(byte[] frame) {
            try {
                udp.send(ByteBuffer.wrap(frame), socketAddress);
                datagramsSent++;
                bytesSent += frame.length;
            } catch (IOException | RuntimeException e) {
                badMessages.report("cannot send a datagram to " + address + ": " + e);
            }
        }

        /** Opens a connection for the large messages, unless there are none or too many connections are open. */
        private void openConnection() {
            if (!hasLarge() || countOutgoingConnections() >= MAX_OUTGOING_CONNECTIONS) return;
            var batch = new ArrayList<byte[]>();
            for (var batchBytes = 0;
                    batchBytes < CONNECTION_BATCH_BYTES && hasLarge();
                    batchBytes += batch.get(batch.size() - 1).length) batch.add(take(large));
            try {
                connection = new OutgoingConnection(this, Frame.encode(coreId.getAsLong(), batch));
            } catch (IOException | RuntimeException e) {
                connection = null;
            }
        }

        private long countOutgoingConnections() {
            return connections.stream()
                    .filter(c -> c instanceof OutgoingConnection)
                    .count();
        }

        /** The connection ended: lets every queue with large messages try again to open one. */
        void onConnectionEnd() {
            connection = null;
            for (var queue : queues.values()) if (queue.hasLarge()) queue.scheduleFlush();
            if (!queuesToFlush.isEmpty()) flushRequested.set(true);
        }
    }

    /** A TCP connection; it is closed when it makes no progress until its deadline. */
    private abstract class Connection {
        final SocketChannel channel;
        long deadline;

        Connection(SocketChannel channel, long timeoutMicros) throws IOException {
            this.channel = channel;
            deadline = clock.getAsLong() + timeoutMicros;
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            connections.add(this);
        }

        abstract void onReady() throws IOException;

        void extendDeadline() {
            deadline = clock.getAsLong() + PROGRESS_TIMEOUT_MICROS;
        }

        void end() {
            if (!connections.remove(this)) return;
            try {
                channel.close();
            } catch (IOException e) {
                badMessages.report("cannot close a connection: " + e);
            }
        }
    }

    /** Sends one frame after its length (4 bytes) and ends when the peer acknowledges it with one byte. */
    private final class OutgoingConnection extends Connection {
        private final PeerQueue queue;
        private final ByteBuffer unsent;
        private final SelectionKey key;

        OutgoingConnection(PeerQueue queue, byte[] frame) throws IOException {
            super(SocketChannel.open(), CONNECT_TIMEOUT_MICROS);
            this.queue = queue;
            unsent = ByteBuffer.allocate(4 + frame.length)
                    .putInt(frame.length)
                    .put(frame)
                    .flip();
            connectionsOpened++;
            key = channel.register(selector, SelectionKey.OP_CONNECT, this);
            try {
                if (channel.connect(queue.socketAddress)) key.interestOps(SelectionKey.OP_WRITE);
            } catch (IOException e) {
                connections.remove(this);
                channel.close();
                throw e;
            }
        }

        @Override
        void onReady() throws IOException {
            if (key.isConnectable()) {
                channel.finishConnect();
                extendDeadline();
            }
            if (unsent.hasRemaining()) write();
            else if (key.isReadable()) end();
        }

        private void write() throws IOException {
            var written = channel.write(unsent);
            bytesSent += written;
            if (written > 0) extendDeadline();
            key.interestOps(unsent.hasRemaining() ? SelectionKey.OP_WRITE : SelectionKey.OP_READ);
        }

        @Override
        void end() {
            super.end();
            queue.onConnectionEnd();
        }
    }

    /** Receives frames, each after its length (4 bytes), and acknowledges each with one byte. */
    private final class IncomingConnection extends Connection {
        private final ByteBuffer length = ByteBuffer.allocate(4);

        /** The part of the frame received so far; null while the length is being received. */
        private ByteBuffer body;

        private int frameBytes;

        IncomingConnection(SocketChannel channel) throws IOException {
            super(channel, PROGRESS_TIMEOUT_MICROS);
            channel.register(selector, SelectionKey.OP_READ, this);
        }

        @Override
        void onReady() throws IOException {
            var received = channel.read(body == null ? length : body);
            if (received < 0) {
                end();
                return;
            }
            extendDeadline();
            if (body == null && !length.hasRemaining()) startFrame();
            else if (body != null && body.position() == frameBytes) finishFrame();
            else if (body != null && !body.hasRemaining()) growBuffer();
        }

        /** Allocates at most 64 KiB at first: a sender that only claims a large frame must not take up much memory. */
        private void startFrame() throws IOException {
            frameBytes = length.flip().getInt();
            if (frameBytes < Frame.HEADER_BYTES || frameBytes > Frame.MAX_FRAME_BYTES)
                throw new IOException("invalid frame length of " + frameBytes + " bytes");
            body = ByteBuffer.allocate(Math.min(frameBytes, 64 << 10));
            receiveBufferBytes += body.capacity();
        }

        private void growBuffer() throws IOException {
            var capacity = Math.min(frameBytes, body.capacity() * 2);
            if (receiveBufferBytes + capacity - body.capacity() > MAX_RECEIVE_BUFFER_BYTES)
                throw new IOException("the receive buffers exceed their limit");
            receiveBufferBytes += capacity - body.capacity();
            body = ByteBuffer.allocate(capacity).put(body.flip());
        }

        private void finishFrame() throws IOException {
            var frame = body.array();
            receiveBufferBytes -= frame.length;
            body = null;
            length.clear();
            channel.write(ByteBuffer.wrap(new byte[] {1}));
            receiveFrame(frame, channel.getRemoteAddress());
        }

        @Override
        void end() {
            if (body != null) receiveBufferBytes -= body.capacity();
            body = null;
            super.end();
        }
    }
}
