package craneway.process;

import craneway.api.operator.OperatorHandler;
import craneway.api.operator.UsageJson;
import craneway.api.platform.ReadinessHandler;
import craneway.control.operator.OperatorCommands;
import craneway.data.router.Router;
import craneway.gateway.request.CompletionHandler;
import craneway.gateway.runner.RunnerHandler;
import craneway.log.EventLog;
import craneway.model.event.Event;
import craneway.state.message.Node;
import craneway.transport.PeerHandler;
import io.undertow.server.HttpHandler;
import java.security.SecureRandom;

/**
 * A stand-alone router process: accepts completion requests of clients and announcements of runners, and offers the
 * operator API, readiness checks and the peer endpoint, each on an address of its own.
 */
public final class RouterProcess implements AutoCloseable {
    /** Each request in flight blocks a worker thread (see {@link CompletionHandler}). */
    private static final int WORKER_THREADS = 400;

    private static final long MAX_REQUEST_BODY_BYTES = 8L << 20;
    private static final long MAX_ANNOUNCEMENT_BODY_BYTES = 64 << 10;
    private static final long MAX_MANIFEST_BODY_BYTES = 32L << 20;

    /** How long a router that is shutting down still accepts requests while load balancers see that it is not ready. */
    private static final long NOT_READY_PERIOD_MICROS = 2_200_000;

    /** The pause between stopping the servers and closing all connections, in which the last responses are sent. */
    private static final long LAST_RESPONSES_PERIOD_MICROS = 500_000;

    /** How long a router that is shutting down waits for open response streams to end. */
    private static final long STREAM_DRAIN_TIMEOUT_MICROS = 60_000_000;

    private final NodeRuntime runtime;
    private final Router router;
    private final OperatorCommands operator;

    /** Starts the router and all its servers. */
    public RouterProcess(StartupSettings settings, EventLog log) {
        runtime = new NodeRuntime(log, WORKER_THREADS, () -> coreId());
        var self = Node.ofNewProcess(
                settings.name, Node.ROUTER, settings.zone, settings.peerAddress, new SecureRandom().nextLong());
        router = new Router(runtime, self, settings.seedAddresses, new SecureRandom());
        operator = new OperatorCommands(runtime, router.coreClient());
        var forwardedRequests =
                new CompletionHandler(router, runtime.httpClient(), runtime::now, log, "/transaction", true);
        var peerMessages = new PeerHandler(this::coreId, router.directory()::hasSameOrigin, router::receive, log);
        HttpHandler peerEndpoint =
                exchange -> (exchange.getRequestPath().equals("/transaction") ? forwardedRequests : peerMessages)
                        .handleRequest(exchange);
        runtime.listen(settings.peerAddress, peerEndpoint, 80L << 20);
        runtime.listen(
                settings.clientAddress,
                new CompletionHandler(router, runtime.httpClient(), runtime::now, log, "/v1/chat/completions", false),
                MAX_REQUEST_BODY_BYTES);
        runtime.listen(settings.runnerAddress, new RunnerHandler(router), MAX_ANNOUNCEMENT_BODY_BYTES);
        runtime.listen(
                settings.operatorAddress,
                new OperatorHandler(
                        settings.name,
                        operator,
                        () -> ProcessMetrics.render(router),
                        after -> UsageJson.of(
                                settings.name,
                                router.requestExecutor().usageLog(),
                                after,
                                System.currentTimeMillis() * 1000 - runtime.now()),
                        null),
                MAX_MANIFEST_BODY_BYTES);
        runtime.listen(settings.readinessAddress, new ReadinessHandler(router::isReady), MAX_ANNOUNCEMENT_BODY_BYTES);
        runtime.schedulePeriodically(() -> {
            router.tick();
            operator.tick(runtime.now());
        });
        log.logEvent(
                Event.STARTED,
                "router zone " + settings.zone + " requester " + settings.clientAddress + " partner "
                        + settings.peerAddress);
    }

    private long coreId() {
        return router == null ? 0 : router.directory().self().coreId;
    }

    /** Returns the router that this process runs. */
    public Router router() {
        return router;
    }

    /** Whether a newer process with the same name has replaced this one. */
    public boolean isSuperseded() {
        return router.membership().isSuperseded();
    }

    /**
     * Shuts down gracefully: reports not ready, then refuses new requests and waits for open streams to end, leaves the
     * core, and closes. Takes at most about 63 s.
     */
    public void shutDownGracefully() throws InterruptedException {
        runtime.logEvent(Event.STOPPING, router.requestExecutor().openRequests() + " transactions open");
        router.markUnready();
        pause(NOT_READY_PERIOD_MICROS);
        router.requestExecutor().stopAccepting();
        var deadline = runtime.now() + STREAM_DRAIN_TIMEOUT_MICROS;
        while (router.requestExecutor().openRequests() > 0 && runtime.now() < deadline) pause(20_000);
        router.membership().leave(runtime.now());
        runtime.stopListening();
        pause(LAST_RESPONSES_PERIOD_MICROS);
        close();
        runtime.logEvent(Event.STOPPED, "router");
    }

    private static void pause(long durationMicros) throws InterruptedException {
        Thread.sleep(durationMicros / 1000);
    }

    /** Closes the process at once, without a graceful shutdown. */
    @Override
    public void close() {
        runtime.close();
    }
}
