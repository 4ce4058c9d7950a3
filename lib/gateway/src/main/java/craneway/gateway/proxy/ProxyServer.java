package craneway.gateway.proxy;

import craneway.control.node.Membership.CoreView;
import craneway.model.event.EventSink;
import craneway.model.node.NodeSettings;
import craneway.state.message.Messages.PrefillNotice;
import craneway.state.message.Messages.SilenceNotice;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.handlers.HttpContinueReadHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * The HTTP proxy of a router: listens for clients and for the platform's readiness check. One I/O thread carries all
 * requests. The public methods may be called from any other thread.
 */
public final class ProxyServer implements AutoCloseable {
    private static final long IO_THREAD_REPLY_TIMEOUT_MILLIS = 300;

    private final XnioWorker worker;
    private final ProxyContext context;
    private final ClientRequestHandler requestHandler;
    private final ClientListener clientListener;
    private final Undertow readinessServer;
    private final AtomicBoolean closed = new AtomicBoolean();
    private volatile boolean draining;

    /**
     * Creates a server and starts to listen.
     *
     * @param clock the steady clock, in microseconds
     * @param currentView returns this node's newest view of the fleet
     * @param ready whether this node may report itself as ready
     * @param peerSender sends a message to the peer address of another router
     */
    public ProxyServer(
            LongSupplier clock,
            Supplier<CoreView> currentView,
            NodeSettings nodeSettings,
            ProtocolNames names,
            EventSink log,
            BooleanSupplier ready,
            BiConsumer<String, Object> peerSender) {
        try {
            worker = Xnio.getInstance()
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_IO_THREADS, 1)
                            .set(Options.WORKER_TASK_CORE_THREADS, 1)
                            .set(Options.WORKER_TASK_MAX_THREADS, 2)
                            .set(Options.TCP_NODELAY, true)
                            .getMap());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        context = new ProxyContext(worker.getIoThread(), clock, currentView, nodeSettings, names, log, peerSender);
        requestHandler = new ClientRequestHandler(context);
        clientListener = new ClientListener(
                worker,
                parseAddress(nodeSettings.clientAddress()),
                context.clientConnections(),
                new HttpContinueReadHandler(requestHandler));
        readinessServer = startReadinessServer(nodeSettings.readinessAddress(), exchange -> {
            var isReady = !draining
                    && ready.getAsBoolean()
                    && exchange.getRequestPath().equals(names.readyPath());
            exchange.setStatusCode(isReady ? 200 : 503).endExchange();
        });
        context.start();
    }

    private static InetSocketAddress parseAddress(String address) {
        var colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    private Undertow startReadinessServer(String address, HttpHandler handler) {
        var socketAddress = parseAddress(address);
        var server = Undertow.builder()
                .setWorker(worker)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, 60_000)
                .setServerOption(UndertowOptions.ENABLE_HTTP2, false)
                .addHttpListener(socketAddress.getPort(), socketAddress.getHostString(), handler)
                .build();
        server.start();
        return server;
    }

    /** Receives another router's report that a runner is silent. */
    public void receiveNotice(SilenceNotice notice) {
        context.notices().add(notice);
    }

    /** Receives another router's report of the tokens that it gave a runner to prefill. */
    public void receiveNotice(PrefillNotice notice) {
        context.notices().add(notice);
    }

    /** The number of completed sweeps over client connections; for tests that move the clock. */
    public long sweepCount() {
        return context.clientConnections().sweepCount();
    }

    /** The number of open requests. */
    public int openRequestCount() {
        return context.openCount();
    }

    /**
     * The number of client connections with a request whose response was not sent completely. Waits for the I/O thread
     * for up to {@value #IO_THREAD_REPLY_TIMEOUT_MILLIS} ms, then returns {@link Integer#MAX_VALUE}.
     */
    public int unansweredConnectionCount() {
        return askIoThread(context.clientConnections()::countBusy);
    }

    /**
     * Runs a query on the I/O thread and waits for its result; the greatest int if that thread does not reply in time.
     */
    private int askIoThread(IntSupplier query) {
        var reply = new CompletableFuture<Integer>();
        worker.getIoThread().execute(() -> reply.complete(query.getAsInt()));
        return reply.completeOnTimeout(Integer.MAX_VALUE, IO_THREAD_REPLY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .join();
    }

    /** Starts to drain: the readiness check fails, and each client connection is closed after its next response. */
    public void startDraining() {
        draining = true;
        worker.getIoThread().execute(requestHandler::startDraining);
    }

    /** Stops accepting connections; requests in flight continue. */
    public void stopListening() {
        clientListener.close();
        readinessServer.stop();
    }

    /** Closes every connection at once; a second call does nothing. */
    @Override
    public void close() {
        if (closed.getAndSet(true)) return;
        askIoThread(() -> {
            context.close();
            return 0;
        });
        stopListening();
        worker.shutdownNow();
    }
}
