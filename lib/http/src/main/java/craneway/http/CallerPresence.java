package craneway.http;

import craneway.control.operator.PauseGuard;
import craneway.model.event.Event;
import craneway.model.event.EventSink;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.util.function.LongSupplier;

/** Tells of an order that was read whether its caller can still be waiting for the answer. */
public final class CallerPresence {
    private static final AttachmentKey<PauseGuard.Connection> CONNECTION =
            AttachmentKey.create(PauseGuard.Connection.class);

    private final LongSupplier now;
    private final EventSink log;
    private final PauseGuard guard;

    /** Callers by this steady clock; refusals are told to the log. */
    public CallerPresence(LongSupplier now, EventSink log) {
        this.now = now;
        this.log = log;
        guard = new PauseGuard(now.getAsLong());
    }

    /** The steady clock, in microseconds. */
    public long now() {
        return now.getAsLong();
    }

    /** To be called every 20 ms or so, by a thread that waits for nothing else. */
    public void tick() {
        guard.tick(now());
    }

    /** Whether the order that was begun to be read then has a caller; to be called by the connection's I/O thread. */
    public boolean mayBeWaiting(HttpServerExchange x, long began, long at) {
        var admitted = guard.admits(connection(x), began, at);
        if (admitted && !closed(x)) return true;
        log.logEvent(
                Event.STALE_CALL,
                x.getRequestMethod() + " " + x.getRequestPath()
                        + (admitted ? ": the connection is closed" : ": this process stood still"));
        return false;
    }

    private static PauseGuard.Connection connection(HttpServerExchange x) {
        var c = x.getConnection();
        var known = c.getAttachment(CONNECTION);
        if (known != null) return known;
        var made = new PauseGuard.Connection();
        c.putAttachment(CONNECTION, made);
        return made;
    }

    /** Looks behind the request for the connection's end; what it finds of a next request is given back. */
    private static boolean closed(HttpServerExchange x) {
        if (!x.getConnection().isOpen()) return true;
        if (!(x.getConnection() instanceof HttpServerConnection c)) return false;
        if (!x.isRequestComplete() || c.getExtraBytes() != null) return false;
        var behind = c.getByteBufferPool().allocate();
        try {
            var n = c.getOriginalSourceConduit().read(behind.getBuffer());
            if (n > 0) {
                behind.getBuffer().flip();
                c.ungetRequestBytes(behind);
                return false;
            }
            behind.close();
            return n < 0;
        } catch (IOException e) {
            behind.close();
            return true;
        }
    }
}
