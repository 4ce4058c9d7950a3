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

public final class AsyncHttpClient {
    public interface ResponseListener {
        void onConnectFailure(String cause);

        void onHeaders(int code, HeaderMap headers);

        void onChunk(byte[] b);

        void onEnd();

        void onFailure(String cause);
    }

    private static final int WINDOW = 32;

    private final XnioWorker worker;
    private final ByteBufferPool pool = new DefaultByteBufferPool(false, 16 * 1024, 1000, 8);

    public AsyncHttpClient(XnioWorker worker) {
        this.worker = worker;
    }

    public Call open(
            String address,
            HttpString method,
            String path,
            Map<HttpString, String> headers,
            byte[] body,
            long connectMillis,
            ResponseListener sink) {
        var c = new Call(address, method, path, headers, body, sink, false);
        c.connect(connectMillis);
        return c;
    }

    public Call openPersistent(
            ClientConnection kept,
            String address,
            HttpString method,
            String path,
            Map<HttpString, String> headers,
            byte[] body,
            long connectMillis,
            ResponseListener sink) {
        var c = new Call(address, method, path, headers, body, sink, true);
        if (kept != null && kept.isOpen()) c.io(kept.getIoThread(), () -> c.connected(kept));
        else c.connect(connectMillis);
        return c;
    }

    public final class Call {
        private final String address;
        private final HttpString method;
        private final String path;
        private final Map<HttpString, String> headers;
        private final ByteBuffer body;
        private final ResponseListener sink;
        private final AtomicBoolean over = new AtomicBoolean();
        private final boolean keep;
        private XnioIoThread io = worker.getIoThread();
        private volatile boolean sent;
        private volatile ClientConnection connection;
        private volatile StreamSourceChannel source;
        private int untaken;

        Call(
                String address,
                HttpString method,
                String path,
                Map<HttpString, String> headers,
                byte[] body,
                ResponseListener sink,
                boolean keep) {
            this.keep = keep;
            this.address = address;
            this.method = method;
            this.path = path;
            this.headers = headers;
            this.body = ByteBuffer.wrap(body);
            this.sink = sink;
        }

        void io(XnioIoThread thread, Runnable then) {
            io = thread;
            io.execute(then);
        }

        public ClientConnection connection() {
            return connection;
        }

        void connect(long millis) {
            var f = UndertowClient.getInstance().connect(URI.create("http://" + address), io, pool, OptionMap.EMPTY);
            f.addNotifier(
                    (IoFuture<? extends ClientConnection> x, Void v) -> {
                        if (x.getStatus() == IoFuture.Status.DONE) connected(uncheckedGet(x));
                        else fail("connect to " + address + ": " + cause(x));
                    },
                    null);
            io.executeAfter(
                    () -> {
                        if (connection == null) fail("connect to " + address + ": timed out");
                    },
                    millis,
                    TimeUnit.MILLISECONDS);
        }

        private ClientConnection uncheckedGet(IoFuture<? extends ClientConnection> f) {
            try {
                return f.get();
            } catch (IOException e) {
                return null;
            }
        }

        private String cause(IoFuture<? extends ClientConnection> f) {
            return f.getStatus() == IoFuture.Status.FAILED
                    ? String.valueOf(f.getException().getMessage())
                    : "cancelled";
        }

        private void connected(ClientConnection c) {
            connection = c;
            if (over.get()) {
                IoUtils.safeClose(c);
                return;
            }
            sent = true;
            var r = new ClientRequest().setMethod(method).setPath(path);
            r.getRequestHeaders().put(Headers.HOST, address);
            r.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.remaining());
            r.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
            if (!keep) r.getRequestHeaders().put(Headers.CONNECTION, "close");
            headers.forEach((k, v) -> r.getRequestHeaders().put(k, v));
            c.sendRequest(r, new ClientCallback<>() {
                @Override
                public void completed(ClientExchange x) {
                    exchange(x);
                }

                @Override
                public void failed(IOException e) {
                    fail(e.toString());
                }
            });
        }

        private void exchange(ClientExchange x) {
            x.setResponseListener(new ClientCallback<>() {
                @Override
                public void completed(ClientExchange y) {
                    answered(y);
                }

                @Override
                public void failed(IOException e) {
                    fail(e.toString());
                }
            });
            write(x.getRequestChannel());
        }

        private void write(StreamSinkChannel ch) {
            BodyWriter.all(ch, body, e -> fail(e.toString()));
        }

        private void answered(ClientExchange x) {
            source = x.getResponseChannel();
            sink.onHeaders(x.getResponse().getResponseCode(), x.getResponse().getResponseHeaders());
            ChannelListener<StreamSourceChannel> l = this::read;
            source.getReadSetter().set(l);
            read(source);
            if (!over.get()) source.resumeReads();
        }

        private void read(StreamSourceChannel ch) {
            try (var p = pool.allocate()) {
                var b = p.getBuffer();
                while (!over.get()) {
                    b.clear();
                    var n = ch.read(b);
                    if (n == 0) return;
                    if (n < 0) {
                        end();
                        return;
                    }
                    b.flip();
                    var x = new byte[b.remaining()];
                    b.get(x);
                    sink.onChunk(x);
                    if (full(ch)) return;
                }
            } catch (IOException e) {
                fail(e.toString());
            }
        }

        private synchronized boolean full(StreamSourceChannel ch) {
            untaken++;
            if (untaken < WINDOW) return false;
            ch.suspendReads();
            return true;
        }

        public void chunkConsumed() {
            synchronized (this) {
                if (untaken-- != WINDOW) return;
            }
            io.execute(() -> {
                if (over.get()) return;
                read(source);
                synchronized (this) {
                    if (!over.get() && untaken < WINDOW) source.resumeReads();
                }
            });
        }

        private void end() {
            if (!over.compareAndSet(false, true)) return;
            if (!keep) IoUtils.safeClose(connection);
            sink.onEnd();
        }

        private void fail(String cause) {
            if (!over.compareAndSet(false, true)) return;
            IoUtils.safeClose(connection);
            if (sent) sink.onFailure(cause);
            else sink.onConnectFailure(cause);
        }

        public void cancel() {
            over.set(true);
            io.execute(() -> IoUtils.safeClose(connection));
        }
    }
}
