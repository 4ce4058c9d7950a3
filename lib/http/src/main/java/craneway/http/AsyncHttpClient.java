package craneway.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * An asynchronous HTTP client with backpressure.
 *
 * <p>Instances are safe for several threads. Callbacks run on I/O threads and must not block.
 */
public final class AsyncHttpClient {
    /**
     * Receives the response to one call. Exactly one of {@link #onConnectFailure}, {@link #onEnd} and {@link
     * #onFailure} ends the call; if the call is cancelled, none of them is called.
     */
    public interface ResponseListener {
        /** Called if no connection was made, so that the request was certainly not sent. */
        void onConnectFailure(String cause);

        /** Called once with the status code and headers of the response. */
        void onHeaders(int code, HeaderMap headers);

        /** Called with each piece of the body; {@link Call#chunkConsumed} must be called once the piece is consumed. */
        void onChunk(byte[] bytes);

        /** Called when the response is complete. */
        void onEnd();

        /** Called if the call failed after a connection was made, so that the request may have been processed. */
        void onFailure(String cause);
    }

    /**
     * Reading from the connection stops when this many chunks are passed on to a {@link ResponseListener} and not
     * consumed.
     */
    private static final int MAX_UNCONSUMED_CHUNKS = 32;

    private final XnioWorker worker;
    private final ByteBufferPool pool = new DefaultByteBufferPool(false, 16 * 1024, 1000, 8);

    /** Creates a client that uses the I/O threads of this worker. */
    public AsyncHttpClient(XnioWorker worker) {
        this.worker = worker;
    }

    /** Sends a request on a new connection, which is closed after the response. */
    public Call open(
            String address,
            HttpString method,
            String path,
            Map<HttpString, String> headers,
            byte[] body,
            long connectMillis,
            ResponseListener listener) {
        var call = new Call(address, method, path, headers, body, listener, false);
        call.connect(connectMillis);
        return call;
    }

    /**
     * Sends a request on a persistent connection, which stays open after a complete response; {@link Call#connection}
     * returns it for the next request.
     *
     * @param kept the connection of an earlier call; if it is null or closed, a new connection is made
     */
    public Call openPersistent(
            ClientConnection kept,
            String address,
            HttpString method,
            String path,
            Map<HttpString, String> headers,
            byte[] body,
            long connectMillis,
            ResponseListener listener) {
        var call = new Call(address, method, path, headers, body, listener, true);
        if (kept != null && kept.isOpen()) call.runOn(kept.getIoThread(), () -> call.sendRequest(kept));
        else call.connect(connectMillis);
        return call;
    }

    /** One request and its response. */
    public final class Call {
        private final String address;
        private final HttpString method;
        private final String path;
        private final Map<HttpString, String> headers;
        private final ByteBuffer body;
        private final ResponseListener listener;
        private final AtomicBoolean finished = new AtomicBoolean();
        private final boolean keepAlive;
        private XnioIoThread ioThread = worker.getIoThread();
        private volatile boolean requestStarted;
        private volatile ClientConnection connection;
        private volatile StreamSourceChannel source;
        private int unconsumedChunks;

        Call(
                String address,
                HttpString method,
                String path,
                Map<HttpString, String> headers,
                byte[] body,
                ResponseListener listener,
                boolean keepAlive) {
            this.keepAlive = keepAlive;
            this.address = address;
            this.method = method;
            this.path = path;
            this.headers = headers;
            this.body = ByteBuffer.wrap(body);
            this.listener = listener;
        }

        void runOn(XnioIoThread thread, Runnable task) {
            ioThread = thread;
            ioThread.execute(task);
        }

        /** Returns the connection of this call, or null if it is not connected yet. */
        public ClientConnection connection() {
            return connection;
        }

        void connect(long millis) {
            var future = UndertowClient.getInstance()
                    .connect(URI.create("http://" + address), ioThread, pool, OptionMap.EMPTY);
            future.addNotifier(
                    (IoFuture<? extends ClientConnection> done, Void unused) -> {
                        if (done.getStatus() == IoFuture.Status.DONE) sendRequest(getOrNull(done));
                        else fail("cannot connect to " + address + ": " + cause(done));
                    },
                    null);
            ioThread.executeAfter(
                    () -> {
                        if (connection == null) fail("cannot connect to " + address + ": timed out");
                    },
                    millis,
                    TimeUnit.MILLISECONDS);
        }

        private ClientConnection getOrNull(IoFuture<? extends ClientConnection> future) {
            try {
                return future.get();
            } catch (IOException e) {
                return null;
            }
        }

        private String cause(IoFuture<? extends ClientConnection> future) {
            return future.getStatus() == IoFuture.Status.FAILED
                    ? String.valueOf(future.getException().getMessage())
                    : "cancelled";
        }

        private void sendRequest(ClientConnection connected) {
            connection = connected;
            if (finished.get()) {
                IoUtils.safeClose(connected);
                return;
            }
            requestStarted = true;
            var request = new ClientRequest().setMethod(method).setPath(path);
            request.getRequestHeaders().put(Headers.HOST, address);
            request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.remaining());
            request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
            if (!keepAlive) request.getRequestHeaders().put(Headers.CONNECTION, "close");
            headers.forEach((name, value) -> request.getRequestHeaders().put(name, value));
            connected.sendRequest(request, new ClientCallback<>() {
                @Override
                public void completed(ClientExchange exchange) {
                    startExchange(exchange);
                }

                @Override
                public void failed(IOException e) {
                    fail(e.toString());
                }
            });
        }

        private void startExchange(ClientExchange exchange) {
            exchange.setResponseListener(new ClientCallback<>() {
                @Override
                public void completed(ClientExchange answered) {
                    receiveResponse(answered);
                }

                @Override
                public void failed(IOException e) {
                    fail(e.toString());
                }
            });
            writeBody(exchange.getRequestChannel());
        }

        private void writeBody(StreamSinkChannel channel) {
            BodyWriter.writeFully(channel, body, e -> fail(e.toString()));
        }

        private void receiveResponse(ClientExchange exchange) {
            source = exchange.getResponseChannel();
            listener.onHeaders(
                    exchange.getResponse().getResponseCode(),
                    exchange.getResponse().getResponseHeaders());
            ChannelListener<StreamSourceChannel> readListener = this::readChunks;
            source.getReadSetter().set(readListener);
            readChunks(source);
            if (!finished.get()) source.resumeReads();
        }

        private void readChunks(StreamSourceChannel channel) {
            try (var pooled = pool.allocate()) {
                var buffer = pooled.getBuffer();
                while (!finished.get()) {
                    buffer.clear();
                    var count = channel.read(buffer);
                    if (count == 0) return;
                    if (count < 0) {
                        finish();
                        return;
                    }
                    buffer.flip();
                    var bytes = new byte[buffer.remaining()];
                    buffer.get(bytes);
                    listener.onChunk(bytes);
                    if (suspendIfWindowFull(channel)) return;
                }
            } catch (IOException e) {
                fail(e.toString());
            }
        }

        private synchronized boolean suspendIfWindowFull(StreamSourceChannel channel) {
            unconsumedChunks++;
            if (unconsumedChunks < MAX_UNCONSUMED_CHUNKS) return false;
            channel.suspendReads();
            return true;
        }

        /** Reports that the listener has consumed a chunk; resumes reading if it had stopped. Safe for any thread. */
        public void chunkConsumed() {
            synchronized (this) {
                if (unconsumedChunks-- != MAX_UNCONSUMED_CHUNKS) return;
            }
            ioThread.execute(() -> {
                if (finished.get()) return;
                readChunks(source);
                synchronized (this) {
                    if (!finished.get() && unconsumedChunks < MAX_UNCONSUMED_CHUNKS) source.resumeReads();
                }
            });
        }

        private void finish() {
            if (!finished.compareAndSet(false, true)) return;
            if (!keepAlive) IoUtils.safeClose(connection);
            listener.onEnd();
        }

        private void fail(String cause) {
            if (!finished.compareAndSet(false, true)) return;
            IoUtils.safeClose(connection);
            if (requestStarted) listener.onFailure(cause);
            else listener.onConnectFailure(cause);
        }

        /**
         * Cancels the call and closes its connection. A status or a chunk that is just arriving may still reach the
         * listener. Safe for any thread.
         */
        public void cancel() {
            finished.set(true);
            ioThread.execute(() -> IoUtils.safeClose(connection));
        }
    }
}
