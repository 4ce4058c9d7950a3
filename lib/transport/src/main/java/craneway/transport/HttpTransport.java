package craneway.transport;

import craneway.http.AsyncHttpClient;
import craneway.http.HeaderNames;
import craneway.state.message.Codec;
import io.undertow.client.ClientConnection;
import io.undertow.util.HeaderMap;
import io.undertow.util.Methods;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;

public final class HttpTransport implements Transport {
    private static final int MOST = 4_000, MOST_BYTES = 64 << 20, BATCH_BYTES = 1 << 20;
    private static final long CONNECT_MILLIS = 500, PATIENCE = 2_000_000;

    private final AsyncHttpClient caller;
    private final LongSupplier core;
    private final LongSupplier now;
    private final Map<String, Lane> lanes = new ConcurrentHashMap<>();

    public HttpTransport(AsyncHttpClient caller, LongSupplier core, LongSupplier now) {
        this.caller = caller;
        this.core = core;
        this.now = now;
    }

    @Override
    public void send(String address, Object message) {
        lanes.computeIfAbsent(address, Lane::new).send(Codec.encodeTagged(message));
    }

    @Override
    public boolean needsTicks() {
        return true;
    }

    @Override
    public void tick() {
        for (var l : lanes.values()) l.tick();
    }

    private final class Lane implements AsyncHttpClient.ResponseListener {
        private final String address;
        private final Deque<byte[]> waiting = new ArrayDeque<>();
        private int bytes;
        private AsyncHttpClient.Call call;
        private ClientConnection kept;
        private long since;

        Lane(String address) {
            this.address = address;
        }

        synchronized void send(byte[] m) {
            waiting.add(m);
            bytes += m.length;
            while (waiting.size() > MOST || bytes > MOST_BYTES) bytes -= waiting.poll().length;
            if (call == null) next();
        }

        synchronized void tick() {
            if (call == null || now.getAsLong() - since < PATIENCE) return;
            call.cancel();
            call = null;
            kept = null;
            if (!waiting.isEmpty()) next();
        }

        private void next() {
            var b = new MessageBatch();
            var n = 0;
            while (!waiting.isEmpty() && n < BATCH_BYTES) {
                var m = waiting.poll();
                b.messages.add(m);
                n += m.length;
            }
            bytes -= n;
            since = now.getAsLong();
            var body = Codec.encode(b);
            call = caller.openPersistent(
                    kept,
                    address,
                    Methods.POST,
                    "/partner",
                    Map.of(
                            HeaderNames.WIRE,
                            HeaderNames.WIRE_VERSION,
                            HeaderNames.CORE,
                            Long.toHexString(core.getAsLong()),
                            HeaderNames.CHECKSUM,
                            HeaderNames.checksum(body)),
                    body,
                    CONNECT_MILLIS,
                    this);
        }

        private synchronized void over(boolean keep) {
            kept = keep && call != null ? call.connection() : null;
            call = null;
            if (!waiting.isEmpty()) next();
        }

        @Override
        public void onConnectFailure(String cause) {
            over(false);
        }

        @Override
        public void onHeaders(int code, HeaderMap headers) {}

        @Override
        public void onChunk(byte[] b) {}

        @Override
        public void onEnd() {
            over(true);
        }

        @Override
        public void onFailure(String cause) {
            over(false);
        }
    }
}
