package craneway.http;

import craneway.control.operator.PauseGuard;
import craneway.model.event.Event;
import craneway.model.event.EventSink;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.util.function.LongSupplier;

/**
 * Decides whether the caller of a request that has just been read can still be waiting for the response. A caller that
 * has closed its connection, or that sent the request while this process was frozen, may have sent the same request to
 * another node and a reverse one after it. Safe for several threads.
 */
public final class CallerPresence {
    private static final AttachmentKey<PauseGuard.Connection> CONNECTION =
            AttachmentKey.create(PauseGuard.Connection.class);

    private final LongSupplier now;
    private final EventSink log;
    private final PauseGuard guard;

    /**
     * Creates the check.
     *
     * @param now a monotonic clock, in microseconds
     * @param log receives an event for each request whose caller may have given up
     */
    public CallerPresence(LongSupplier now, EventSink log) {
        this.now = now;
        this.log = log;
        guard = new PauseGuard(now.getAsLong());
    }

    /** Returns the time of the monotonic clock, in microseconds. */
    public long now() {
        return now.getAsLong();
    }

    /** Must be called about every 20 ms by a thread that never blocks, so that a longer gap shows a frozen process. */
    public void tick() {
        guard.tick(now());
    }

    /**
     * Returns whether the caller of a request may still be waiting, and logs an event if not. Must be called by the I/O
     * thread of the connection.
     *
     * @param startedAt when reading the request began, in microseconds
     * @param currentTime the current time, in microseconds
     */
    public boolean mayBeWaiting(HttpServerExchange exchange, long startedAt, long currentTime) {
        var admitted = guard.admits(guardStateOf(exchange), startedAt, currentTime);
        if (admitted && !isConnectionClosed(exchange)) return true;
        log.logEvent(
                Event.STALE_CALL,
                exchange.getRequestMethod() + " " + exchange.getRequestPath()
                        + (admitted ? ": the caller closed its connection" : ": this process was frozen"));
        return false;
    }

    private static PauseGuard.Connection guardStateOf(HttpServerExchange exchange) {
        var connection = exchange.getConnection();
        var known = connection.getAttachment(CONNECTION);
        if (known != null) return known;
        var created = new PauseGuard.Connection();
        connection.putAttachment(CONNECTION, created);
        return created;
    }

    /**
     * Returns whether the caller has closed the connection. Reads past the request to find out; the bytes of a
     * following request are put back into the connection.
     */
    private static boolean isConnectionClosed(HttpServerExchange exchange) {
        if (!exchange.getConnection().isOpen()) return true;
        if (!(exchange.getConnection() instanceof HttpServerConnection connection)) return false;
        if (!exchange.isRequestComplete() || connection.getExtraBytes() != null) return false;
        var nextBytes = connection.getByteBufferPool().allocate();
        try {
            var count = connection.getOriginalSourceConduit().read(nextBytes.getBuffer());
            if (count > 0) {
                nextBytes.getBuffer().flip();
                connection.ungetRequestBytes(nextBytes);
                return false;
            }
            nextBytes.close();
            return count < 0;
        } catch (IOException e) {
            nextBytes.close();
            return true;
        }
    }
}
