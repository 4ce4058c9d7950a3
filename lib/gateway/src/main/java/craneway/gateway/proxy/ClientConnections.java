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
 * The clients' connections: closes one that rests for the limit, or whose head is not complete within its limit, by the
 * steady clock. A connection with a request under way is never closed here. One I/O thread.
 */
final class ClientConnections {
    private enum State {
        /** No byte of a request has come. */
        RESTING,
        /** A head has begun. */
        HEAD,
        /** A request is under way. */
        BUSY
    }

    /** A look that comes this late finds the process frozen meanwhile: what came then has not been read yet. */
    private static final long LATE = 1_500_000;

    private final LongSupplier now;
    private final Map<StreamConnection, Watched> all = new IdentityHashMap<>();
    private long looked;
    private volatile long looks;

    ClientConnections(LongSupplier now) {
        this.now = now;
    }

    /** Watches a connection that has just been accepted. */
    void opened(StreamConnection c) {
        var w = new Watched(now.getAsLong());
        all.put(c, w);
        c.getSourceChannel().setConduit(new FirstByte(c.getSourceChannel().getConduit(), w));
    }

    /** A request has come whole as far as its head. */
    void begun(HttpServerExchange x) {
        if (!(x.getConnection() instanceof HttpServerConnection h)) return;
        var w = all.get(h.getChannel());
        if (w == null) return;
        w.state = State.BUSY;
        x.addExchangeCompleteListener(w);
    }

    /** Closes what has rested, or kept its head waiting, for as long as the limits allow. */
    void look(Limits limits) {
        var t = now.getAsLong();
        var late = t - looked > LATE;
        looked = t;
        for (var e : new ArrayList<>(all.entrySet())) {
            var c = e.getKey();
            if (!c.isOpen()) all.remove(c);
            else if (!late && limits != null && e.getValue().due(limits, t)) {
                all.remove(c);
                IoUtils.safeClose(c);
            }
        }
        looks++;
    }

    /** How many open connections carry a request that is not answered whole. */
    int busy() {
        var n = 0;
        for (var e : all.entrySet()) if (e.getKey().isOpen() && e.getValue().state == State.BUSY) n++;
        return n;
    }

    /** How many looks are done. */
    long looks() {
        return looks;
    }

    /** What is known of one connection; it hears when each of its exchanges is complete. */
    private final class Watched implements ExchangeCompletionListener {
        private State state = State.RESTING;
        private long since;

        Watched(long since) {
            this.since = since;
        }

        void byteCame() {
            if (state != State.RESTING) return;
            state = State.HEAD;
            since = now.getAsLong();
        }

        boolean due(Limits limits, long t) {
            return switch (state) {
                case RESTING -> limits.idleTimeout() > 0 && t - since >= limits.idleTimeout();
                case HEAD -> limits.headerTimeout() > 0 && t - since >= limits.headerTimeout();
                case BUSY -> false;
            };
        }

        @Override
        public void exchangeEvent(HttpServerExchange x, NextListener next) {
            state = State.RESTING;
            since = now.getAsLong();
            next.proceed();
        }
    }

    private static final class FirstByte extends AbstractStreamSourceConduit<StreamSourceConduit> {
        private final Watched watched;

        FirstByte(StreamSourceConduit next, Watched watched) {
            super(next);
            this.watched = watched;
        }

        @Override
        public int read(ByteBuffer b) throws IOException {
            var n = next.read(b);
            if (n > 0) watched.byteCame();
            return n;
        }
    }
}
