package craneway.gateway.proxy;

import craneway.model.manifest.Manifest.Limits;
import io.undertow.server.ExchangeCompletionListener;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Tracks the clients' connections and closes those that are idle for longer than the limit, or whose request head is
 * not complete within its limit, by the steady clock. A connection with a request in flight is never closed here. All
 * methods run on the one I/O thread, except {@link #sweepCount()}. Times are microseconds.
 */
final class ClientConnections {
    private enum State {
        /** No byte of a request has arrived. */
        IDLE,
        /** A request head has begun. */
        READING_HEAD,
        /** A request is in flight. */
        BUSY
    }

    /**
     * If a sweep comes this long after the previous one, the process was frozen in between: bytes that arrived
     * meanwhile have not been read yet, so nothing is closed.
     */
    private static final long FREEZE_THRESHOLD_MICROS = 1_500_000;

    private final LongSupplier clock;
    private final Map<StreamConnection, TrackedConnection> connections = new IdentityHashMap<>();
    private long lastSweepAt;
    private volatile long sweepCount;

    ClientConnections(LongSupplier clock) {
        this.clock = clock;
    }

    /** Starts to track a connection that has just been accepted. */
    void track(StreamConnection connection) {
        var tracked = new TrackedConnection(clock.getAsLong());
        connections.put(connection, tracked);
        connection
                .getSourceChannel()
                .setConduit(new FirstByteDetector(connection.getSourceChannel().getConduit(), tracked));
    }

    /** Records that the head of a request is complete, so that its connection is busy until the exchange ends. */
    void markBusy(HttpServerExchange exchange) {
        if (!(exchange.getConnection() instanceof HttpServerConnection h)) return;
        var tracked = connections.get(h.getChannel());
        if (tracked == null) return;
        tracked.state = State.BUSY;
        exchange.addExchangeCompleteListener(tracked);
    }

    /** Closes connections that have exceeded their limit; null limits close none. */
    void closeExpired(Limits limits) {
        var sweepTime = clock.getAsLong();
        var wasFrozen = sweepTime - lastSweepAt > FREEZE_THRESHOLD_MICROS;
        lastSweepAt = sweepTime;
        for (var entry : new ArrayList<>(connections.entrySet())) {
            var connection = entry.getKey();
            if (!connection.isOpen()) connections.remove(connection);
            else if (!wasFrozen && limits != null && entry.getValue().isExpired(limits, sweepTime)) {
                connections.remove(connection);
                IoUtils.safeClose(connection);
            }
        }
        sweepCount++;
    }

    /** The number of open connections with a request whose response is not complete. */
    int countBusy() {
        var count = 0;
        for (var entry : connections.entrySet())
            if (entry.getKey().isOpen() && entry.getValue().state == State.BUSY) count++;
        return count;
    }

    /** The number of completed sweeps; any thread may ask. */
    long sweepCount() {
        return sweepCount;
    }

    /** The state of one connection; it is notified when each of its exchanges is complete. */
    private final class TrackedConnection implements ExchangeCompletionListener {
        private State state = State.IDLE;
        private long stateSince;

        TrackedConnection(long stateSince) {
            this.stateSince = stateSince;
        }

        void handleByte() {
            if (state != State.IDLE) return;
            state = State.READING_HEAD;
            stateSince = clock.getAsLong();
        }

        boolean isExpired(Limits limits, long now) {
            return switch (state) {
                case IDLE -> limits.idleTimeout() > 0 && now - stateSince >= limits.idleTimeout();
                case READING_HEAD -> limits.headerTimeout() > 0 && now - stateSince >= limits.headerTimeout();
                case BUSY -> false;
            };
        }

        @Override
        public void exchangeEvent(HttpServerExchange exchange, NextListener next) {
            state = State.IDLE;
            stateSince = clock.getAsLong();
            next.proceed();
        }
    }

    /** Notifies the tracked connection when bytes arrive. */
    private static final class FirstByteDetector extends AbstractStreamSourceConduit<StreamSourceConduit> {
        private final TrackedConnection tracked;

        FirstByteDetector(StreamSourceConduit next, TrackedConnection tracked) {
            super(next);
            this.tracked = tracked;
        }

        @Override
        public int read(ByteBuffer buffer) throws IOException {
            var byteCount = next.read(buffer);
            if (byteCount > 0) tracked.handleByte();
            return byteCount;
        }
    }
}
