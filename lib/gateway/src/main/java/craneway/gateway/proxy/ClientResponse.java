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

/**
 * Writes the response to one client: a head, then bytes as they arrive, then either a regular end or an abort that the
 * client can detect. All methods run on the one I/O thread.
 */
final class ClientResponse {
    private static final int MAX_QUEUED_BYTES = 64 * 1024;

    private final HttpServerExchange exchange;
    private final Runnable onDisconnect;
    private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
    private StreamSinkChannel channel;
    private Runnable onDrained;
    private long queuedBytes;
    private boolean endsByClose;
    private boolean endRequested;
    private boolean finished;

    ClientResponse(HttpServerExchange exchange, Runnable onDisconnect) {
        this.exchange = exchange;
        this.onDisconnect = onDisconnect;
    }

    /** Whether the head of a runner's response was started. */
    boolean isStarted() {
        return channel != null;
    }

    /** Starts the response with the status and the end-to-end headers of a runner's response. */
    void start(int status, HeaderMap headers) {
        exchange.setStatusCode(status);
        ForwardedHeaders.copy(headers, exchange.getResponseHeaders());
        chooseFraming();
        channel = exchange.getResponseChannel();
        channel.getWriteSetter().set((ChannelListener<StreamSinkChannel>) c -> writeQueued());
    }

    /**
     * A response without a length is sent in chunks, even if its connection is closed after it: by default, Undertow
     * would end it by the close alone, and every abort would look like a regular end. HTTP/1.0 has no chunks, so there
     * an abort resets the connection.
     */
    private void chooseFraming() {
        if (exchange.getResponseHeaders().contains(Headers.CONTENT_LENGTH)) return;
        if (exchange.isHttp11())
            exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
        else endsByClose = true;
    }

    /**
     * Writes bytes of the body; those that cannot be written at once are copied and queued.
     *
     * @return false if {@link #MAX_QUEUED_BYTES} or more are queued, so that the caller should pause
     */
    boolean write(ByteBuffer data) {
        if (finished) return true;
        try {
            while (queue.isEmpty() && data.hasRemaining()) if (channel.write(data) <= 0) break;
            if (!data.hasRemaining()) {
                if (queue.isEmpty() && !channel.flush()) channel.resumeWrites();
                return true;
            }
            var copy = ByteBuffer.allocate(data.remaining());
            copy.put(data).flip();
            queue.add(copy);
            queuedBytes += copy.remaining();
            channel.resumeWrites();
            return queuedBytes < MAX_QUEUED_BYTES;
        } catch (IOException e) {
            handleDisconnect();
            return true;
        }
    }

    /** Sets the action to run each time the queue has been written. */
    void whenDrained(Runnable action) {
        onDrained = action;
    }

    /** Ends the response as complete, once the queue has been written. */
    void end() {
        endRequested = true;
        writeQueued();
    }

    private void writeQueued() {
        if (finished) return;
        try {
            while (!queue.isEmpty()) {
                var buffer = queue.peek();
                var byteCount = channel.write(buffer);
                if (byteCount <= 0) {
                    channel.resumeWrites();
                    return;
                }
                queuedBytes -= byteCount;
                if (!buffer.hasRemaining()) queue.poll();
            }
            if (endRequested) channel.shutdownWrites();
            if (!channel.flush()) {
                channel.resumeWrites();
                return;
            }
            channel.suspendWrites();
            if (endRequested) finished = true;
            else if (onDrained != null) onDrained.run();
        } catch (IOException e) {
            handleDisconnect();
        }
    }

    private void handleDisconnect() {
        if (finished) return;
        finished = true;
        IoUtils.safeClose(exchange.getConnection());
        onDisconnect.run();
    }

    /** Aborts the response so that the client sees that it is incomplete. */
    void abort() {
        if (finished) return;
        finished = true;
        if (endsByClose) resetOnClose();
        IoUtils.safeClose(exchange.getConnection());
    }

    private void resetOnClose() {
        try {
            ((HttpServerConnection) exchange.getConnection()).getChannel().setOption(Options.CLOSE_ABORT, true);
        } catch (IOException e) {
            // the connection is closed already
        }
    }

    /** Sends a complete JSON response of this router's own. */
    void sendOwn(int status, String retryAfter, String json) {
        if (finished) return;
        finished = true;
        exchange.setStatusCode(status);
        if (retryAfter != null) exchange.getResponseHeaders().put(Headers.RETRY_AFTER, retryAfter);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(json);
    }
}
