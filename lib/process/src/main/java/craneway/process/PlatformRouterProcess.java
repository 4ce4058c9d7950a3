package craneway.process;

import craneway.data.router.Router;
import craneway.gateway.proxy.ProtocolNames;
import craneway.gateway.proxy.ProxyServer;
import craneway.log.EventLog;
import craneway.model.event.Event;
import craneway.model.node.NodeSettings;
import craneway.model.unit.TimingProfile;
import craneway.state.message.Node;
import craneway.transport.SocketTransport;
import java.security.SecureRandom;

/**
 * A router process on a platform that starts and stops it. It takes part in the core like {@link RouterProcess}, but
 * proxies requests with {@link ProxyServer}, which blocks no thread.
 */
public final class PlatformRouterProcess implements AutoCloseable {
    private static final int IO_THREADS = 1;
    private static final int WORKER_THREADS = 2;
    private static final int TICK_THREADS = 1;
    private static final int TICK_INTERVAL_MILLIS = 100;

    /** How long a router that is shutting down serves new requests, until clients have learned of its leave. */
    private static final long MAX_SERVING_PERIOD_MICROS = 5_000_000;

    /** The part of the shutdown grace that is left unused, so that the process ends before the platform kills it. */
    private static final long GRACE_MARGIN_MICROS = 500_000;

    /** The pause between reporting not ready to the other processes and leaving the core. */
    private static final long NOT_READY_PERIOD_MICROS = 200_000;

    private final NodeSettings node;
    private final NodeRuntime runtime;
    private final Router router;
    private final ProxyServer server;

    /**
     * Starts the router and its proxy server.
     *
     * @param names the platform's names of headers and paths
     */
    public PlatformRouterProcess(NodeSettings node, ProtocolNames names, EventLog log) {
        this.node = node;
        var socketTransport =
                new SocketTransport(node.peerAddress(), this::coreId, () -> System.nanoTime() / 1000, log);
        runtime = new NodeRuntime(log, IO_THREADS, WORKER_THREADS, TICK_THREADS, socketTransport);
        var self = Node.ofNewProcess(
                node.name(), Node.ROUTER, node.zone(), node.peerAddress(), new SecureRandom().nextLong());
        self.clientAddress = node.clientAddress();
        router = new Router(runtime, self, node.seedAddresses(), TimingProfile.LOW_TRAFFIC, new SecureRandom());
        socketTransport.start(router.directory()::hasSameOrigin, router::receive);
        server = new ProxyServer(
                runtime::now, router.membership()::view, node, names, log, this::isReady, runtime::send);
        router.setPrefillListener(server::receiveNotice);
        router.setSilenceListener(server::receiveNotice);
        runtime.schedulePeriodically(router::tick, TICK_INTERVAL_MILLIS);
        log.logEvent(
                Event.STARTED,
                "router zone " + node.zone() + " requester " + node.clientAddress() + " partner " + node.peerAddress());
    }

    private long coreId() {
        return router == null ? 0 : router.directory().self().coreId;
    }

    private boolean isReady() {
        return router.membership().view().manifest() != null
                && router.directory().self().serving;
    }

    /** Whether a newer process with the same name has replaced this one. */
    public boolean isSuperseded() {
        return router.membership().isSuperseded();
    }

    /**
     * Shuts down gracefully within the shutdown grace of the settings: leaves the core, keeps serving new requests
     * until clients have learned of the leave, then stops listening and waits for the open requests.
     */
    public void shutDownGracefully() throws InterruptedException {
        var startedAt = runtime.now();
        runtime.logEvent(Event.STOPPING, server.openRequestCount() + " requests open");
        server.startDraining();
        router.markUnready();
        pause(NOT_READY_PERIOD_MICROS);
        router.membership().leave(runtime.now());
        var servingUntil = startedAt
                + Math.min(MAX_SERVING_PERIOD_MICROS, node.tolerances().shutdownGrace() * 6 / 10);
        while (runtime.now() < servingUntil) pause(20_000);
        server.stopListening();
        var deadline = startedAt + node.tolerances().shutdownGrace() - GRACE_MARGIN_MICROS;
        while (server.unansweredConnectionCount() > 0 && runtime.now() < deadline) pause(20_000);
        close();
        runtime.logEvent(Event.STOPPED, "router");
    }

    private static void pause(long durationMicros) throws InterruptedException {
        Thread.sleep(durationMicros / 1000);
    }

    /** Closes the process at once, without a graceful shutdown. */
    @Override
    public void close() {
        server.close();
        runtime.close();
    }
}
