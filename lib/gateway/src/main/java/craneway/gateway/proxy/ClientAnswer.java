package craneway.gateway.proxy;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.channels.StreamSinkChannel;

/** The answer to one requester: head, bytes as they come, an end or a visible cut. One I/O thread. */
final class ClientAnswer {
    private static final int MOST = 64 * 1024;

    private final HttpServerExchange x;
    private final Runnable gone;
    private final ArrayDeque<ByteBuffer> waiting = new ArrayDeque<>();
    private StreamSinkChannel channel;
    private Runnable drained;
    private long bytes;
    private boolean endsByClose;
    private boolean ending;
    private boolean over;

    ClientAnswer(HttpServerExchange x, Runnable gone) {
        this.x = x;
        this.gone = gone;
    }

    boolean begun() {
        return channel != null;
    }

    void head(int status, HeaderMap headers) {
        x.setStatusCode(status);
        ForwardedHeaders.copy(headers, x.getResponseHeaders());
        frame();
        channel = x.getResponseChannel();
        channel.getWriteSetter().set((ChannelListener<StreamSinkChannel>) c -> pump());
    }

    /**
     * An answer without a length goes out in chunks even where its connection ends with it: left to itself, Undertow would
     * end it by the close alone, and any cut would look like its end. HTTP/1.0 has no chunks, so that a cut is a reset there.
     */
    private void frame() {
        if (x.getResponseHeaders().contains(Headers.CONTENT_LENGTH)) return;
        if (x.isHttp11()) x.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
        else endsByClose = true;
    }

    /** Copies what it cannot write at once; true while the requester keeps up. */
    boolean write(ByteBuffer b) {
        if (over) return true;
        try {
            while (waiting.isEmpty() && b.hasRemaining()) if (channel.write(b) <= 0) break;
            if (!b.hasRemaining()) {
                if (waiting.isEmpty() && !channel.flush()) channel.resumeWrites();
                return true;
            }
            var copy = ByteBuffer.allocate(b.remaining());
            copy.put(b).flip();
            waiting.add(copy);
            bytes += copy.remaining();
            channel.resumeWrites();
            return bytes < MOST;
        } catch (IOException e) {
            lost();
            return true;
        }
    }

    void whenDrained(Runnable r) {
        drained = r;
    }

    void end() {
        ending = true;
        pump();
    }

    private void pump() {
        if (over) return;
        try {
            while (!waiting.isEmpty()) {
                var b = waiting.peek();
                var n = channel.write(b);
                if (n <= 0) {
                    channel.resumeWrites();
                    return;
                }
                bytes -= n;
                if (!b.hasRemaining()) waiting.poll();
            }
            if (ending) channel.shutdownWrites();
            if (!channel.flush()) {
                channel.resumeWrites();
                return;
            }
            channel.suspendWrites();
            if (ending) over = true;
            else if (drained != null) drained.run();
        } catch (IOException e) {
            lost();
        }
    }

    private void lost() {
        if (over) return;
        over = true;
        IoUtils.safeClose(x.getConnection());
        gone.run();
    }

    /** Breaks the answer off so that it looks broken off. */
    void cut() {
        if (over) return;
        over = true;
        if (endsByClose) reset();
        IoUtils.safeClose(x.getConnection());
    }

    private void reset() {
        try {
            ((HttpServerConnection) x.getConnection()).getChannel().setOption(Options.CLOSE_ABORT, true);
        } catch (IOException e) {
            // the connection has ended already
        }
    }

    /** An answer of this router's own. */
    void own(int status, String retryAfter, String text) {
        if (over) return;
        over = true;
        x.setStatusCode(status);
        if (retryAfter != null) x.getResponseHeaders().put(Headers.RETRY_AFTER, retryAfter);
        x.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        x.getResponseSender().send(text);
    }
}
