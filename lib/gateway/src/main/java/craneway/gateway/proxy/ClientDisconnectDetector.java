package craneway.gateway.proxy;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.ImmediatePooledByteBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.IoUtils;

/**
 * Detects whether the client of a completely received request has disconnected. A reset proves it. The end of the
 * client's bytes alone does not, since the client may have closed only its sending side (RFC 9293, 3.6). Therefore an
 * interim response, which every HTTP/1.1 client must skip (RFC 9110, 15.2), is sent while no response has started: a
 * client that has closed its connection replies with a reset, and the next write or read fails. The interval between
 * these probes doubles. Once a response has started, writing its own bytes reveals a disconnect. All methods run on the
 * one I/O thread.
 */
final class ClientDisconnectDetector {
    private enum State {
        /** The client's bytes have not ended. */
        CONNECTED,
        /** The client's bytes have ended, but it may still read. */
        HALF_CLOSED,
        /** The client sent more bytes after its request, which are not read yet; an end after them is not seen. */
        PIPELINING,
        DISCONNECTED
    }

    /** While the connection is open in both directions, only every second check reads from it. */
    private static final int CHECKS_PER_READ = 2;

    /** Least number of checks between the first interim response and the next. */
    private static final int MIN_CHECKS_BETWEEN_PROBES = 2;

    private static final byte[] INTERIM_RESPONSE =
            "HTTP/1.1 102 Processing\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private final HttpServerExchange exchange;
    private final HttpServerConnection connection;
    private State state;
    private int checkCount;
    private int nextProbeCheck;

    ClientDisconnectDetector(HttpServerExchange exchange) {
        this.exchange = exchange;
        connection = exchange.getConnection() instanceof HttpServerConnection h ? h : null;
        state = connection == null ? State.PIPELINING : State.CONNECTED;
    }

    /** Checks the connection without blocking; returns true once the client has disconnected. It is closed then. */
    boolean checkDisconnected() {
        checkCount++;
        if (state == State.CONNECTED && checkCount % CHECKS_PER_READ != 0) return false;
        if (state == State.CONNECTED || state == State.HALF_CLOSED) checkConnection();
        return state == State.DISCONNECTED;
    }

    private void checkConnection() {
        try {
            if (connection.getExtraBytes() != null) state = State.PIPELINING;
            else readOneByte();
        } catch (IOException e) {
            state = State.DISCONNECTED;
            IoUtils.safeClose(connection);
        }
    }

    private void readOneByte() throws IOException {
        var buffer = ByteBuffer.allocate(1);
        var byteCount = connection.getOriginalSourceConduit().read(buffer);
        if (byteCount > 0) {
            connection.ungetRequestBytes(new ImmediatePooledByteBuffer(buffer.flip()));
            state = State.PIPELINING;
        } else if (byteCount < 0 && state == State.CONNECTED) {
            state = State.HALF_CLOSED;
            checkCount = 0;
        }
        if (state == State.HALF_CLOSED && checkCount >= nextProbeCheck) sendProbe();
    }

    private void sendProbe() throws IOException {
        nextProbeCheck = Math.max(MIN_CHECKS_BETWEEN_PROBES, 2 * checkCount);
        if (exchange.isResponseStarted() || !exchange.isHttp11()) return;
        connection.getOriginalSinkConduit().write(ByteBuffer.wrap(INTERIM_RESPONSE));
    }
}
