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

public final class RouterProcess implements AutoCloseable {
    private static final int THREADS = 400;
    private static final long BODY = 8L << 20,
            ANNOUNCE_BODY = 64 << 10,
            MANIFEST_BODY = 32L << 20,
            READINESS = 2_200_000,
            LAST_REPLIES = 500_000,
            STREAMS = 60_000_000;

    private final NodeRuntime host;
    private final Router router;
    private final OperatorCommands operator;

    public RouterProcess(StartupSettings s, EventLog log) {
        host = new NodeRuntime(log, THREADS, () -> core());
        var self = Node.ofNewProcess(s.name, Node.ROUTER, s.zone, s.peerAddress, new SecureRandom().nextLong());
        router = new Router(host, self, s.seedAddresses, new SecureRandom());
        operator = new OperatorCommands(host, router.coreClient());
        var forwarded = new CompletionHandler(router, host.httpClient(), host::now, log, "/transaction", true);
        var partner = new PeerHandler(this::core, router.directory()::hasSameOrigin, router::receive, log);
        HttpHandler both = x -> (x.getRequestPath().equals("/transaction") ? forwarded : partner).handleRequest(x);
        host.listen(s.peerAddress, both, 80L << 20);
        host.listen(
                s.clientAddress,
                new CompletionHandler(router, host.httpClient(), host::now, log, "/v1/chat/completions", false),
                BODY);
        host.listen(s.runnerAddress, new RunnerHandler(router), ANNOUNCE_BODY);
        host.listen(
                s.operatorAddress,
                new OperatorHandler(
                        s.name,
                        operator,
                        () -> Metrics.of(router),
                        after -> UsageJson.of(
                                s.name,
                                router.requestExecutor().usageLog(),
                                after,
                                System.currentTimeMillis() * 1000 - host.now()),
                        null),
                MANIFEST_BODY);
        host.listen(s.readinessAddress, new ReadinessHandler(router::isReady), ANNOUNCE_BODY);
        host.schedulePeriodically(() -> {
            router.tick();
            operator.tick(host.now());
        });
        log.logEvent(
                Event.STARTED, "router zone " + s.zone + " requester " + s.clientAddress + " partner " + s.peerAddress);
    }

    private long core() {
        return router == null ? 0 : router.directory().self().coreId;
    }

    public Router router() {
        return router;
    }

    public boolean isSuperseded() {
        return router.membership().isSuperseded();
    }

    public void shutDownGracefully() throws InterruptedException {
        host.logEvent(Event.STOPPING, router.requestExecutor().openRequests() + " transactions open");
        router.markUnready();
        pause(READINESS);
        router.requestExecutor().stopAccepting();
        var until = host.now() + STREAMS;
        while (router.requestExecutor().openRequests() > 0 && host.now() < until) pause(20_000);
        router.membership().leave(host.now());
        host.stopListening();
        pause(LAST_REPLIES);
        close();
        host.logEvent(Event.STOPPED, "router");
    }

    private static void pause(long micros) throws InterruptedException {
        Thread.sleep(micros / 1000);
    }

    @Override
    public void close() {
        host.close();
    }
}
