package craneway.gateway.proxy;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.ImmediatePooledByteBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.IoUtils;

/**
 * Watches whether the client of a request that was read whole still waits for its answer. A reset says that it has gone. An
 * end of its bytes alone does not: it may have closed its sending side only (RFC 9293, 3.6). So an interim response, which
 * every client of HTTP/1.1 has to skip (RFC 9110, 15.2), goes out where no answer has begun: one that has closed answers it
 * with a reset, and the next one can't be written. The pause between them doubles. Behind the begin of an answer, the answer's
 * own bytes do this. One I/O thread.
 */
final class ClientPresence {
    private enum State {
        /** Its bytes have not ended. */
        WAITS,
        /** Its bytes have ended; it may still read. */
        SENDING_ENDED,
        /** It sent more behind its request, which nobody reads yet; an end behind that is not seen. */
        PIPELINES,
        GONE
    }

    /** While nothing has ended, only each second look reads. */
    private static final int EACH = 2;

    /** Looks between the first interim response and the next. */
    private static final int FIRST_PAUSE = 2;

    private static final byte[] INTERIM = "HTTP/1.1 102 Processing\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private final HttpServerExchange exchange;
    private final HttpServerConnection connection;
    private State state;
    private int looks;
    private int probeAt;

    ClientPresence(HttpServerExchange exchange) {
        this.exchange = exchange;
        connection = exchange.getConnection() instanceof HttpServerConnection h ? h : null;
        state = connection == null ? State.PIPELINES : State.WAITS;
    }

    /** Looks, without waiting; true once the client has gone. Its connection is closed then. */
    boolean gone() {
        looks++;
        if (state == State.WAITS && looks % EACH != 0) return false;
        if (state == State.WAITS || state == State.SENDING_ENDED) look();
        return state == State.GONE;
    }

    private void look() {
        try {
            if (connection.getExtraBytes() != null) state = State.PIPELINES;
            else read();
        } catch (IOException e) {
            state = State.GONE;
            IoUtils.safeClose(connection);
        }
    }

    private void read() throws IOException {
        var one = ByteBuffer.allocate(1);
        var n = connection.getOriginalSourceConduit().read(one);
        if (n > 0) {
            connection.ungetRequestBytes(new ImmediatePooledByteBuffer(one.flip()));
            state = State.PIPELINES;
        } else if (n < 0 && state == State.WAITS) {
            state = State.SENDING_ENDED;
            looks = 0;
        }
        if (state == State.SENDING_ENDED && looks >= probeAt) probe();
    }

    private void probe() throws IOException {
        probeAt = Math.max(FIRST_PAUSE, 2 * looks);
        if (exchange.isResponseStarted() || !exchange.isHttp11()) return;
        connection.getOriginalSinkConduit().write(ByteBuffer.wrap(INTERIM));
    }
}
