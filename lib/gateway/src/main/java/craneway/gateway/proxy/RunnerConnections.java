package craneway.gateway.proxy;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/** Idle connections to runners, newest first, given up before the runner would close them. One I/O thread. */
final class RunnerConnections {
    /** No time was stated: a runner states whole seconds where there are any. */
    static final long UNSTATED = -1;

    private static final long UNDER_A_SECOND = 400_000;
    private static final long MOST = 20_000_000;

    /**
     * A runner may drop a resting connection without a word, and the next bytes on it get a reset. What may run once goes
     * out only on a connection that carried an answer this recently, or on a fresh one.
     */
    private static final long KNOWN_ALIVE = 400_000;

    /** A kernel that ends a killed process may close its connections this long before the port at which it listened. */
    private static final long DEATH = 20_000;

    private static final int PER_RUNNER = 32;

    private static final OptionMap OPTIONS = OptionMap.builder()
            .set(Options.TCP_NODELAY, true)
            .set(Options.KEEP_ALIVE, true)
            .getMap();

    private record Idle(StreamConnection connection, long since, long until) {}

    private final XnioIoThread io;
    private final LongSupplier now;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(false, 8 * 1024, 200, 4);
    private final Map<String, ArrayDeque<Idle>> idle = new HashMap<>();

    RunnerConnections(XnioIoThread io, LongSupplier now) {
        this.io = io;
        this.now = now;
    }

    XnioIoThread io() {
        return io;
    }

    ByteBufferPool buffers() {
        return buffers;
    }

    /** The connection that rested shortest; null where none will do. */
    StreamConnection take(String address, boolean repeatable) {
        var q = idle.get(address);
        var t = now.getAsLong();
        while (q != null && !q.isEmpty()) {
            var i = q.peekFirst();
            var usable = i.connection.isOpen() && t < i.until;
            if (usable && !repeatable && t - i.since > KNOWN_ALIVE) return null;
            q.pollFirst();
            if (usable && quiet(i.connection)) return i.connection;
            IoUtils.safeClose(i.connection);
        }
        return null;
    }

    /** Nothing came on it while it rested, no end either: bytes that nobody asked for belong to no request. */
    private static boolean quiet(StreamConnection c) {
        try {
            return c.getSourceChannel().read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    void open(String address, BiConsumer<StreamConnection, String> then) {
        var at = address.lastIndexOf(':');
        var to = new InetSocketAddress(address.substring(0, at), Integer.parseInt(address.substring(at + 1)));
        io.openStreamConnection(to, c -> {}, OPTIONS)
                .addNotifier(
                        (IoFuture<? extends StreamConnection> x, Void v) -> io.execute(() -> opened(x, then)), null);
    }

    /** Says within this time whether anything accepts connections there; such a connection rests for a later request. */
    void alive(String address, long within, Consumer<Boolean> then) {
        var pending = new AtomicBoolean(true);
        io.executeAfter(() -> answerOnce(pending, false, then), within, TimeUnit.MICROSECONDS);
        io.executeAfter(
                () -> open(address, (connection, cause) -> {
                    if (connection != null) spare(address, connection);
                    answerOnce(pending, connection != null, then);
                }),
                DEATH,
                TimeUnit.MICROSECONDS);
    }

    private static void answerOnce(AtomicBoolean pending, boolean alive, Consumer<Boolean> then) {
        if (pending.getAndSet(false)) then.accept(alive);
    }

    private static void opened(IoFuture<? extends StreamConnection> x, BiConsumer<StreamConnection, String> then) {
        try {
            then.accept(x.get(), null);
        } catch (IOException e) {
            then.accept(null, String.valueOf(e.getMessage()));
        }
    }

    void spare(String address, StreamConnection c) {
        give(address, c, UNSTATED);
    }

    void give(String address, StreamConnection c, long keptFor) {
        if (!c.isOpen()) return;
        var q = idle.computeIfAbsent(address, k -> new ArrayDeque<>());
        var lasts = keptFor == UNSTATED ? UNDER_A_SECOND : Math.min(MOST, keptFor - Math.max(600_000, keptFor / 4));
        if (q.size() >= PER_RUNNER || lasts <= 0) IoUtils.safeClose(c);
        else rest(q, c, lasts);
    }

    private void rest(ArrayDeque<Idle> q, StreamConnection c, long lasts) {
        c.getSourceChannel().setReadListener(x -> IoUtils.safeClose(c));
        c.getSourceChannel().resumeReads();
        q.addFirst(new Idle(c, now.getAsLong(), now.getAsLong() + lasts));
    }

    void sweep() {
        var t = now.getAsLong();
        idle.values().removeIf(q -> {
            q.removeIf(i -> {
                var old = t >= i.until || !i.connection.isOpen();
                if (old) IoUtils.safeClose(i.connection);
                return old;
            });
            return q.isEmpty();
        });
    }

    void forget(String address) {
        var q = idle.remove(address);
        if (q != null) q.forEach(i -> IoUtils.safeClose(i.connection));
    }
}
