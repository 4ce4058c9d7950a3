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

/** The router on a platform that starts it: control as ever, the whole request path without blocking threads. */
public final class PlatformRouterProcess implements AutoCloseable {
    private static final int IO = 1, THREADS = 2, TICKS = 1, TICK = 100;
    private static final long LINGER = 5_000_000, MARGIN = 500_000, TELL = 200_000;

    private final NodeSettings node;
    private final NodeRuntime host;
    private final Router router;
    private final ProxyServer server;

    public PlatformRouterProcess(NodeSettings node, ProtocolNames names, EventLog log) {
        this.node = node;
        var wire = new SocketTransport(node.peerAddress(), this::core, () -> System.nanoTime() / 1000, log);
        host = new NodeRuntime(log, IO, THREADS, TICKS, wire);
        var self = Node.ofNewProcess(
                node.name(), Node.ROUTER, node.zone(), node.peerAddress(), new SecureRandom().nextLong());
        self.clientAddress = node.clientAddress();
        router = new Router(host, self, node.seedAddresses(), TimingProfile.LOW_TRAFFIC, new SecureRandom());
        wire.start(router.directory()::hasSameOrigin, router::receive);
        server = new ProxyServer(host::now, router.membership()::view, node, names, log, this::ready, host::send);
        router.setPrefillListener(server::receiveNotice);
        router.setSilenceListener(server::receiveNotice);
        host.schedulePeriodically(router::tick, TICK);
        log.logEvent(
                Event.STARTED,
                "router zone " + node.zone() + " requester " + node.clientAddress() + " partner " + node.peerAddress());
    }

    private long core() {
        return router == null ? 0 : router.directory().self().coreId;
    }

    private boolean ready() {
        return router.membership().view().manifest() != null
                && router.directory().self().serving;
    }

    public boolean isSuperseded() {
        return router.membership().isSuperseded();
    }

    /** Serves what comes until requesters have heard of the leave, then ends what is open; done within the grace. */
    public void shutDownGracefully() throws InterruptedException {
        var began = host.now();
        host.logEvent(Event.STOPPING, server.openRequestCount() + " requests open");
        server.startDraining();
        router.markUnready();
        pause(TELL);
        router.membership().leave(host.now());
        var serve = began + Math.min(LINGER, node.tolerances().shutdownGrace() * 6 / 10);
        while (host.now() < serve) pause(20_000);
        server.stopListening();
        var until = began + node.tolerances().shutdownGrace() - MARGIN;
        while (server.unansweredConnectionCount() > 0 && host.now() < until) pause(20_000);
        close();
        host.logEvent(Event.STOPPED, "router");
    }

    private static void pause(long micros) throws InterruptedException {
        Thread.sleep(micros / 1000);
    }

    @Override
    public void close() {
        server.close();
        host.close();
    }
}
