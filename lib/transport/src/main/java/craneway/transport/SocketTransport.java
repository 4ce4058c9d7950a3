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
 * Carries messages between processes on one address for UDP and TCP: what waits for an address goes as one datagram if it is
 * small, else over a connection of its own. One thread sends and receives. A message may be lost or come twice, and a large one
 * may be overtaken.
 */
public final class SocketTransport implements Transport {
    private static final int WAITING = 4_000,
            WAITING_BYTES = 32 << 20,
            BATCH = 1 << 20,
            CONNECTIONS = 64,
            BURST = 64,
            HELD = 96 << 20;
    private static final long LINGER = 2, IDLE = 200, CONNECT = 500_000, PATIENCE = 2_000_000, FORGET = 60_000_000;

    private interface Ready {
        void ready() throws IOException;
    }

    /** What has gone out and come in since the start; bytes without the headers of UDP, TCP and IP. */
    public record Traffic(long datagramsSent, long connectionsOpened, long bytesSent, long bytesReceived) {}

    private final String address;
    private final LongSupplier core;
    private final LongSupplier now;
    private final EventSink log;
    private final BadMessageLog notes;
    private final Selector selector;
    private final DatagramChannel udp;
    private final ServerSocketChannel tcp;
    private final ByteBuffer in = ByteBuffer.allocateDirect(65_536);
    private final Map<String, Lane> lanes = new ConcurrentHashMap<>();
    private final Queue<Lane> due = new ConcurrentLinkedQueue<>();
    private final Set<Stream> streams = new HashSet<>();
    private final AtomicBoolean waiting = new AtomicBoolean();
    private final Thread thread = new Thread(this::run, "wire");
    private Predicate<Hello> kin;
    private Consumer<Object> receive;
    private long flushAt;
    private long swept;
    private int held;
    private volatile boolean closed;
    private volatile long datagrams, connections, sent, received;

    /** Binds IP:PORT; nothing is received before {@link #start}. The clock counts microseconds and never steps. */
    public SocketTransport(String address, LongSupplier core, LongSupplier now, EventSink log) {
        this.address = address;
        this.core = core;
        this.now = now;
        this.log = log;
        notes = new BadMessageLog(log, now);
        try {
            selector = Selector.open();
            udp = DatagramChannel.open();
            udp.setOption(StandardSocketOptions.SO_RCVBUF, 1 << 20);
            udp.bind(place(address)).configureBlocking(false);
            udp.register(selector, SelectionKey.OP_READ, (Ready) this::datagrams);
            tcp = ServerSocketChannel.open().setOption(StandardSocketOptions.SO_REUSEADDR, true);
            tcp.bind(place(address), CONNECTIONS).configureBlocking(false);
            tcp.register(selector, SelectionKey.OP_ACCEPT, (Ready) this::accept);
        } catch (IOException e) {
            throw new UncheckedIOException(address + ": " + e.getMessage(), e);
        }
    }

    /** Begins to hand over what arrives; greetings of another core only if they are kin. */
    public void start(Predicate<Hello> kin, Consumer<Object> receive) {
        this.kin = kin;
        this.receive = receive;
        thread.setDaemon(true);
        thread.start();
    }

    private static InetSocketAddress place(String a) {
        var at = a.lastIndexOf(':');
        return new InetSocketAddress(a.substring(0, at), Integer.parseInt(a.substring(at + 1)));
    }

    @Override
    public void send(String to, Object message) {
        lanes.computeIfAbsent(to, Lane::new).add(Codec.encodeTagged(message));
        if (waiting.compareAndSet(false, true) && Thread.currentThread() != thread) selector.wakeup();
    }

    public Traffic traffic() {
        return new Traffic(datagrams, connections, sent, received);
    }

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
            log.logEvent(Event.INTERNAL_ERROR, "wire: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        while (!closed) {
            try {
                turn();
            } catch (IOException | RuntimeException e) {
                if (!closed) log.logEvent(Event.INTERNAL_ERROR, "wire: " + e);
            }
        }
        List.copyOf(streams).forEach(Stream::end);
    }

    private void turn() throws IOException {
        selector.select(k -> ready(k), waiting.get() ? LINGER : streams.isEmpty() ? 0 : IDLE);
        var t = now.getAsLong();
        for (var s : List.copyOf(streams)) if (t >= s.until) s.end();
        if (!waiting.get()) return;
        if (flushAt == 0) flushAt = t + LINGER * 1_000;
        if (t < flushAt) return;
        flushAt = 0;
        waiting.set(false);
        for (var l = due.poll(); l != null; l = due.poll()) l.flush(t);
        if (t - swept > FORGET) sweep(t);
    }

    private void sweep(long t) {
        swept = t;
        lanes.values().removeIf(l -> l.idle(t));
    }

    private void ready(SelectionKey k) {
        var s = k.attachment() instanceof Stream x ? x : null;
        try {
            if (s != null) s.ready();
            else ((Ready) k.attachment()).ready();
        } catch (IOException e) {
            if (s != null) s.end();
        }
    }

    private void datagrams() throws IOException {
        for (var i = 0; i < BURST; i++) {
            in.clear();
            var from = udp.receive(in);
            if (from == null) return;
            in.flip();
            var b = new byte[in.remaining()];
            in.get(b);
            take(b, from);
        }
    }

    private void accept() throws IOException {
        for (var c = tcp.accept(); c != null; c = tcp.accept()) {
            if (streams.size() < CONNECTIONS * 2) new Incoming(c);
            else c.close();
        }
    }

    private void take(byte[] b, SocketAddress from) {
        received += b.length;
        try {
            var f = Frame.read(b);
            var mine = core.getAsLong();
            var foreign = f.core() != 0 && mine != 0 && f.core() != mine;
            for (var m : f.messages()) hand(m, foreign, f, from);
        } catch (BadMessageException e) {
            notes.bad(e.getMessage() + " from " + from);
        }
    }

    private void hand(byte[] b, boolean foreign, Frame f, SocketAddress from) {
        var m = Codec.decodeTagged(b);
        if (foreign && !(m instanceof Hello h && h.from != null && kin.test(h))) {
            notes.bad("core " + Long.toHexString(f.core()) + " from " + from);
            return;
        }
        hand(m);
    }

    private void hand(Object m) {
        try {
            receive.accept(m);
        } catch (RuntimeException e) {
            log.logEvent(Event.INTERNAL_ERROR, m.getClass().getSimpleName() + ": " + e);
        }
    }

    private final class Lane {
        private final String to;
        private final InetSocketAddress place;
        private final Deque<byte[]> queue = new ArrayDeque<>();
        private final Deque<byte[]> large = new ArrayDeque<>();
        private final AtomicBoolean marked = new AtomicBoolean();
        private int bytes;
        private long used;
        private Outgoing open;

        Lane(String to) {
            this.to = to;
            place = place(to);
            used = now.getAsLong();
        }

        void add(byte[] m) {
            synchronized (this) {
                queue.add(m);
                bytes += m.length;
                while (queue.size() + large.size() > WAITING || bytes > WAITING_BYTES)
                    bytes -= (large.isEmpty() ? queue : large).poll().length;
            }
            mark();
        }

        private void mark() {
            if (marked.compareAndSet(false, true)) due.add(this);
        }

        private synchronized boolean laden() {
            return !large.isEmpty();
        }

        synchronized boolean idle(long t) {
            return t - used > FORGET && queue.isEmpty() && large.isEmpty() && open == null;
        }

        void flush(long t) {
            marked.set(false);
            used = t;
            if (to.equals(address)) {
                for (var m = next(queue); m != null; m = next(queue)) hand(Codec.decodeTagged(m));
                return;
            }
            for (var some = small(); !some.isEmpty(); some = small()) datagram(some);
            if (open == null) open();
        }

        private synchronized byte[] next(Deque<byte[]> from) {
            var m = from.poll();
            if (m != null) bytes -= m.length;
            return m;
        }

        private synchronized List<byte[]> small() {
            var some = new ArrayList<byte[]>();
            var n = Frame.HEAD;
            while (!queue.isEmpty()) {
                var m = queue.peek();
                if (Frame.HEAD + Frame.room(m) > Frame.DATAGRAM) {
                    squeeze(queue.poll());
                    continue;
                }
                n += Frame.room(m);
                if (n > Frame.DATAGRAM) break;
                some.add(next(queue));
            }
            return some;
        }

        private void squeeze(byte[] m) {
            var one = m.length < 16 * Frame.DATAGRAM ? Frame.of(core.getAsLong(), List.of(m)) : m;
            if (one == m || one.length > Frame.DATAGRAM) {
                large.add(m);
                return;
            }
            bytes -= m.length;
            send(one);
        }

        private void datagram(List<byte[]> some) {
            send(Frame.of(core.getAsLong(), some));
        }

        private void send(byte[] frame) {
            try {
                udp.send(ByteBuffer.wrap(frame), place);
                datagrams++;
                sent += frame.length;
            } catch (IOException | RuntimeException e) {
                notes.bad("a datagram to " + to + ": " + e);
            }
        }

        private void open() {
            if (!laden() || connections() >= CONNECTIONS) return;
            var some = new ArrayList<byte[]>();
            for (var n = 0; n < BATCH && laden(); n += some.get(some.size() - 1).length) some.add(next(large));
            try {
                open = new Outgoing(this, Frame.of(core.getAsLong(), some));
            } catch (IOException | RuntimeException e) {
                open = null;
            }
        }

        private long connections() {
            return streams.stream().filter(s -> s instanceof Outgoing).count();
        }

        void over() {
            open = null;
            for (var l : lanes.values()) if (l.laden()) l.mark();
            if (!due.isEmpty()) waiting.set(true);
        }
    }

    private abstract class Stream {
        final SocketChannel channel;
        long until;

        Stream(SocketChannel channel, long patience) throws IOException {
            this.channel = channel;
            until = now.getAsLong() + patience;
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            streams.add(this);
        }

        abstract void ready() throws IOException;

        void progress() {
            until = now.getAsLong() + PATIENCE;
        }

        void end() {
            if (!streams.remove(this)) return;
            try {
                channel.close();
            } catch (IOException e) {
                notes.bad("close: " + e);
            }
        }
    }

    private final class Outgoing extends Stream {
        private final Lane lane;
        private final ByteBuffer out;
        private final SelectionKey key;

        Outgoing(Lane lane, byte[] frame) throws IOException {
            super(SocketChannel.open(), CONNECT);
            this.lane = lane;
            out = ByteBuffer.allocate(4 + frame.length)
                    .putInt(frame.length)
                    .put(frame)
                    .flip();
            connections++;
            key = channel.register(selector, SelectionKey.OP_CONNECT, this);
            try {
                if (channel.connect(lane.place)) key.interestOps(SelectionKey.OP_WRITE);
            } catch (IOException e) {
                streams.remove(this);
                channel.close();
                throw e;
            }
        }

        @Override
        void ready() throws IOException {
            if (key.isConnectable()) {
                channel.finishConnect();
                progress();
            }
            if (out.hasRemaining()) write();
            else if (key.isReadable()) end();
        }

        private void write() throws IOException {
            var n = channel.write(out);
            sent += n;
            if (n > 0) progress();
            key.interestOps(out.hasRemaining() ? SelectionKey.OP_WRITE : SelectionKey.OP_READ);
        }

        @Override
        void end() {
            super.end();
            lane.over();
        }
    }

    private final class Incoming extends Stream {
        private final ByteBuffer size = ByteBuffer.allocate(4);
        private ByteBuffer body;
        private int whole;

        Incoming(SocketChannel c) throws IOException {
            super(c, PATIENCE);
            c.register(selector, SelectionKey.OP_READ, this);
        }

        @Override
        void ready() throws IOException {
            var n = channel.read(body == null ? size : body);
            if (n < 0) {
                end();
                return;
            }
            progress();
            if (body == null && !size.hasRemaining()) begin();
            else if (body != null && body.position() == whole) finish();
            else if (body != null && !body.hasRemaining()) grow();
        }

        private void begin() throws IOException {
            whole = size.flip().getInt();
            if (whole < Frame.HEAD || whole > Frame.MOST) throw new IOException("a frame of " + whole + " bytes");
            body = ByteBuffer.allocate(Math.min(whole, 64 << 10));
            held += body.capacity();
        }

        private void grow() throws IOException {
            var more = Math.min(whole, body.capacity() * 2);
            if (held + more - body.capacity() > HELD) throw new IOException("too much arrives at once");
            held += more - body.capacity();
            body = ByteBuffer.allocate(more).put(body.flip());
        }

        private void finish() throws IOException {
            var b = body.array();
            held -= b.length;
            body = null;
            size.clear();
            channel.write(ByteBuffer.wrap(new byte[] {1}));
            take(b, channel.getRemoteAddress());
        }

        @Override
        void end() {
            if (body != null) held -= body.capacity();
            body = null;
            super.end();
        }
    }
}
