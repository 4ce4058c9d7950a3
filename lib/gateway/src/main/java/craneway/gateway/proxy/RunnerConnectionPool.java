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

/**
 * Keeps idle connections to runners for reuse, most recently used first, and closes them before the runner would. All
 * methods run on the one I/O thread. Times are microseconds.
 */
final class RunnerConnectionPool {
    /**
     * The keep-alive timeout of a runner that states none. It may be below one second, since a runner can state only
     * whole seconds.
     */
    static final long NOT_STATED = -1;

    /** How long a connection is kept if its runner states no keep-alive timeout. */
    private static final long DEFAULT_IDLE_MICROS = 400_000;

    private static final long MAX_IDLE_MICROS = 20_000_000;

    /**
     * A runner may drop an idle connection without notice, and the next bytes sent on it are answered with a reset. A
     * request that must not be repeated therefore goes only on a connection that carried a response this recently, or
     * on a fresh one.
     */
    private static final long KNOWN_ALIVE_MICROS = 400_000;

    /** The kernel may close the connections of a killed process this long before its listening port. */
    private static final long LISTENER_CLOSE_LAG_MICROS = 20_000;

    private static final int MAX_IDLE_PER_RUNNER = 32;

    private static final OptionMap SOCKET_OPTIONS = OptionMap.builder()
            .set(Options.TCP_NODELAY, true)
            .set(Options.KEEP_ALIVE, true)
            .getMap();

    private record IdleConnection(StreamConnection connection, long idleSince, long expiresAt) {}

    private final XnioIoThread ioThread;
    private final LongSupplier clock;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(false, 8 * 1024, 200, 4);
    private final Map<String, ArrayDeque<IdleConnection>> idleByAddress = new HashMap<>();

    RunnerConnectionPool(XnioIoThread ioThread, LongSupplier clock) {
        this.ioThread = ioThread;
        this.clock = clock;
    }

    XnioIoThread ioThread() {
        return ioThread;
    }

    ByteBufferPool buffers() {
        return buffers;
    }

    /**
     * Removes and returns the connection that was idle for the shortest time, or null if none is usable.
     *
     * @param repeatable whether the request may be repeated; if not, only a connection that is known to be alive is
     *     usable
     */
    StreamConnection takeIdle(String address, boolean repeatable) {
        var queue = idleByAddress.get(address);
        var now = clock.getAsLong();
        while (queue != null && !queue.isEmpty()) {
            var idle = queue.peekFirst();
            var usable = idle.connection.isOpen() && now < idle.expiresAt;
            if (usable && !repeatable && now - idle.idleSince > KNOWN_ALIVE_MICROS) return null;
            queue.pollFirst();
            if (usable && hasNoInput(idle.connection)) return idle.connection;
            IoUtils.safeClose(idle.connection);
        }
        return null;
    }

    /**
     * Whether neither bytes nor an end arrived while the connection was idle. Unsolicited bytes belong to no request,
     * so the connection cannot be reused.
     */
    private static boolean hasNoInput(StreamConnection connection) {
        try {
            return connection.getSourceChannel().read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Opens a connection; the callback gets it, or null and the cause of the failure. */
    void connect(String address, BiConsumer<StreamConnection, String> callback) {
        var colon = address.lastIndexOf(':');
        var socketAddress =
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        ioThread.openStreamConnection(socketAddress, c -> {}, SOCKET_OPTIONS)
                .addNotifier(
                        (IoFuture<? extends StreamConnection> future, Void v) ->
                                ioThread.execute(() -> deliverResult(future, callback)),
                        null);
    }

    /**
     * Reports within the timeout whether the address accepts connections. The connection opened for this is kept for a
     * later request.
     */
    void probe(String address, long timeoutMicros, Consumer<Boolean> callback) {
        var pending = new AtomicBoolean(true);
        ioThread.executeAfter(() -> reportOnce(pending, false, callback), timeoutMicros, TimeUnit.MICROSECONDS);
        ioThread.executeAfter(
                () -> connect(address, (connection, cause) -> {
                    if (connection != null) addUnused(address, connection);
                    reportOnce(pending, connection != null, callback);
                }),
                LISTENER_CLOSE_LAG_MICROS,
                TimeUnit.MICROSECONDS);
    }

    private static void reportOnce(AtomicBoolean pending, boolean alive, Consumer<Boolean> callback) {
        if (pending.getAndSet(false)) callback.accept(alive);
    }

    private static void deliverResult(
            IoFuture<? extends StreamConnection> future, BiConsumer<StreamConnection, String> callback) {
        try {
            callback.accept(future.get(), null);
        } catch (IOException e) {
            callback.accept(null, String.valueOf(e.getMessage()));
        }
    }

    /** Keeps a fresh connection that carried no request. */
    void addUnused(String address, StreamConnection connection) {
        addIdle(address, connection, NOT_STATED);
    }

    /**
     * Keeps a connection for reuse until some time before its runner would close it: a quarter of the runner's
     * keep-alive timeout, at least 0.6 s. Closes it if that leaves no time or enough connections to this runner are
     * idle.
     */
    void addIdle(String address, StreamConnection connection, long keepAliveMicros) {
        if (!connection.isOpen()) return;
        var queue = idleByAddress.computeIfAbsent(address, k -> new ArrayDeque<>());
        var maxIdleMicros = keepAliveMicros == NOT_STATED
                ? DEFAULT_IDLE_MICROS
                : Math.min(MAX_IDLE_MICROS, keepAliveMicros - Math.max(600_000, keepAliveMicros / 4));
        if (queue.size() >= MAX_IDLE_PER_RUNNER || maxIdleMicros <= 0) IoUtils.safeClose(connection);
        else enqueue(queue, connection, maxIdleMicros);
    }

    private void enqueue(ArrayDeque<IdleConnection> queue, StreamConnection connection, long maxIdleMicros) {
        connection.getSourceChannel().setReadListener(channel -> IoUtils.safeClose(connection));
        connection.getSourceChannel().resumeReads();
        queue.addFirst(new IdleConnection(connection, clock.getAsLong(), clock.getAsLong() + maxIdleMicros));
    }

    /** Closes idle connections that have expired, and forgets those that are closed. */
    void closeExpired() {
        var now = clock.getAsLong();
        idleByAddress.values().removeIf(queue -> {
            queue.removeIf(idle -> {
                var expired = now >= idle.expiresAt || !idle.connection.isOpen();
                if (expired) IoUtils.safeClose(idle.connection);
                return expired;
            });
            return queue.isEmpty();
        });
    }

    /** Closes all idle connections to this address. */
    void closeIdle(String address) {
        var queue = idleByAddress.remove(address);
        if (queue != null) queue.forEach(idle -> IoUtils.safeClose(idle.connection));
    }
}
