package craneway.gateway.proxy;

import craneway.control.node.Membership.CoreView;
import craneway.model.event.EventSink;
import craneway.model.node.NodeSettings;
import craneway.state.message.Messages.Reading;
import craneway.state.message.Messages.Silence;
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

/** Listens for requesters and the platform's check of readiness; one I/O thread carries all requests. */
public final class ProxyServer implements AutoCloseable {
    private static final long REPLY_MILLIS = 300;

    private final XnioWorker worker;
    private final RequestContext all;
    private final ClientRequestHandler handler;
    private final ClientListener clients;
    private final Undertow readiness;
    private final AtomicBoolean closed = new AtomicBoolean();
    private volatile boolean leaving;

    /**
     * Makes a server and begins to listen.
     *
     * @param now the steady clock, microseconds
     * @param view what this node knows of the fleet
     * @param ready whether this node may count as ready
     * @param send sends a message to the peer address of another router
     */
    public ProxyServer(
            LongSupplier now,
            Supplier<CoreView> view,
            NodeSettings node,
            ProtocolNames names,
            EventSink log,
            BooleanSupplier ready,
            BiConsumer<String, Object> send) {
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
        all = new RequestContext(worker.getIoThread(), now, view, node, names, log, send);
        handler = new ClientRequestHandler(all);
        clients = new ClientListener(
                worker, address(node.clientAddress()), all.clients(), new HttpContinueReadHandler(handler));
        readiness = listen(node.readinessAddress(), x -> {
            var is = !leaving && ready.getAsBoolean() && x.getRequestPath().equals(names.readyPath());
            x.setStatusCode(is ? 200 : 503).endExchange();
        });
        all.start();
    }

    private static InetSocketAddress address(String text) {
        var at = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, at), Integer.parseInt(text.substring(at + 1)));
    }

    private Undertow listen(String address, HttpHandler h) {
        var at = address(address);
        var u = Undertow.builder()
                .setWorker(worker)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, 60_000)
                .setServerOption(UndertowOptions.ENABLE_HTTP2, false)
                .addHttpListener(at.getPort(), at.getHostString(), h)
                .build();
        u.start();
        return u;
    }

    /** A runner that another router finds silent. */
    public void receiveNotice(Silence m) {
        all.notices().add(m);
    }

    /** What another router gave a runner to read. */
    public void receiveNotice(Reading m) {
        all.notices().add(m);
    }

    /** How often what is open was looked after; for tests that move the clock. */
    public long sweepCount() {
        return all.clients().looks();
    }

    /** How many requests are open. */
    public int openRequestCount() {
        return all.open();
    }

    /** How many clients' connections carry a request whose answer has not left whole. */
    public int unansweredConnectionCount() {
        return onIoThread(all.clients()::busy);
    }

    /** Asks on the I/O thread and waits; the most there can be where that thread does not reply in time. */
    private int onIoThread(IntSupplier ask) {
        var reply = new CompletableFuture<Integer>();
        worker.getIoThread().execute(() -> reply.complete(ask.getAsInt()));
        return reply.completeOnTimeout(Integer.MAX_VALUE, REPLY_MILLIS, TimeUnit.MILLISECONDS)
                .join();
    }

    /** Is no longer ready, and has clients end their connections with their next answer. */
    public void startDraining() {
        leaving = true;
        worker.getIoThread().execute(handler::leave);
    }

    /** Takes no more connections; answers under way go on. */
    public void stopListening() {
        clients.close();
        readiness.stop();
    }

    /** Ends every connection at once; a second call does nothing. */
    @Override
    public void close() {
        if (closed.getAndSet(true)) return;
        onIoThread(() -> {
            all.close();
            return 0;
        });
        stopListening();
        worker.shutdownNow();
    }
}
