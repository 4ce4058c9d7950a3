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

/**
 * Sends messages as HTTP requests: for each address one request at a time, over a persistent connection, with all
 * messages that have queued up meanwhile. The messages of a failed request are lost. {@link PeerHandler} receives them.
 */
public final class HttpTransport implements Transport {
    /** Beyond this many queued messages for one address, the oldest are dropped. */
    private static final int MAX_QUEUED_MESSAGES = 4_000;

    /** Beyond this many queued bytes for one address, the oldest messages are dropped. */
    private static final int MAX_QUEUED_BYTES = 64 << 20;

    /** A batch of this size takes no further message. */
    private static final int BATCH_BYTES = 1 << 20;

    private static final long CONNECT_TIMEOUT_MILLIS = 500;
    private static final long REQUEST_TIMEOUT_MICROS = 2_000_000;

    private final AsyncHttpClient httpClient;
    private final LongSupplier coreId;
    private final LongSupplier clock;
    private final Map<String, PeerQueue> queues = new ConcurrentHashMap<>();

    /**
     * Creates a transport.
     *
     * @param coreId the id of the core that this process belongs to, 0 while it belongs to none
     * @param clock the steady clock, in microseconds
     */
    public HttpTransport(AsyncHttpClient httpClient, LongSupplier coreId, LongSupplier clock) {
        this.httpClient = httpClient;
        this.coreId = coreId;
        this.clock = clock;
    }

    @Override
    public void send(String address, Object message) {
        queues.computeIfAbsent(address, PeerQueue::new).send(Codec.encodeTagged(message));
    }

    @Override
    public boolean needsTicks() {
        return true;
    }

    /** Cancels each request that has had no response for 2 s, and sends the messages queued behind it. */
    @Override
    public void tick() {
        for (var queue : queues.values()) queue.tick();
    }

    /** The messages that wait for one address, and the request to it that is in flight, if any. */
    private final class PeerQueue implements AsyncHttpClient.ResponseListener {
        private final String address;
        private final Deque<byte[]> queued = new ArrayDeque<>();
        private int queuedBytes;
        private AsyncHttpClient.Call inFlight;
        private ClientConnection idleConnection;
        private long sentAt;

        PeerQueue(String address) {
            this.address = address;
        }

        synchronized void send(byte[] message) {
            queued.add(message);
            queuedBytes += message.length;
            while (queued.size() > MAX_QUEUED_MESSAGES || queuedBytes > MAX_QUEUED_BYTES)
                queuedBytes -= queued.poll().length;
            if (inFlight == null) sendBatch();
        }

        synchronized void tick() {
            if (inFlight == null || clock.getAsLong() - sentAt < REQUEST_TIMEOUT_MICROS) return;
            inFlight.cancel();
            inFlight = null;
            idleConnection = null;
            if (!queued.isEmpty()) sendBatch();
        }

        private void sendBatch() {
            var batch = new MessageBatch();
            var batchBytes = 0;
            while (!queued.isEmpty() && batchBytes < BATCH_BYTES) {
                var message = queued.poll();
                batch.messages.add(message);
                batchBytes += message.length;
            }
            queuedBytes -= batchBytes;
            sentAt = clock.getAsLong();
            var body = Codec.encode(batch);
            inFlight = httpClient.openPersistent(
                    idleConnection,
                    address,
                    Methods.POST,
                    "/partner",
                    Map.of(
                            HeaderNames.WIRE,
                            HeaderNames.WIRE_VERSION,
                            HeaderNames.CORE,
                            Long.toHexString(coreId.getAsLong()),
                            HeaderNames.CHECKSUM,
                            HeaderNames.checksum(body)),
                    body,
                    CONNECT_TIMEOUT_MILLIS,
                    this);
        }

        private synchronized void finish(boolean keepConnection) {
            idleConnection = keepConnection && inFlight != null ? inFlight.connection() : null;
            inFlight = null;
            if (!queued.isEmpty()) sendBatch();
        }

        @Override
        public void onConnectFailure(String cause) {
            finish(false);
        }

        @Override
        public void onHeaders(int code, HeaderMap headers) {}

        @Override
        public void onChunk(byte[] bytes) {}

        @Override
        public void onEnd() {
            finish(true);
        }

        @Override
        public void onFailure(String cause) {
            finish(false);
        }
    }
}
