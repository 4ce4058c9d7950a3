package craneway.process;

import craneway.api.operator.OperatorHandler;
import craneway.api.platform.ReadinessHandler;
import craneway.control.operator.OperatorCommands;
import craneway.control.store.Store;
import craneway.log.EventLog;
import craneway.model.event.Event;
import craneway.model.unit.Parts;
import craneway.state.message.Node;
import craneway.transport.PeerHandler;
import java.security.SecureRandom;

public final class StoreProcess implements AutoCloseable {
    private static final int THREADS = 24;
    private static final long MANIFEST_BODY = 32L << 20,
            SMALL = 64 << 10,
            READINESS = 2_200_000,
            GRACE = 8_000_000,
            LAST_REPLIES = 500;

    private final DiskFolder disk;
    private final NodeRuntime host;
    private final Store store;
    private volatile boolean stopping;

    public StoreProcess(StartupSettings s, EventLog log) {
        disk = new DiskFolder(s.dataDirectory);
        host = new NodeRuntime(log, THREADS, () -> core());
        var self = Node.ofNewProcess(s.name, Node.STORE, s.zone, s.peerAddress, new SecureRandom().nextLong());
        store = new Store(host, disk, self, s.seedAddresses, s.founderCount, new SecureRandom());
        var operator = new OperatorCommands(host, store.coreClient());
        host.listen(
                s.peerAddress,
                new PeerHandler(this::core, store.directory()::hasSameOrigin, store::receive, log),
                80L << 20);
        host.listen(
                s.operatorAddress, new OperatorHandler(s.name, operator, () -> Metrics.of(store), null, store), MANIFEST_BODY);
        host.listen(s.readinessAddress, new ReadinessHandler(this::ready), SMALL);
        host.schedulePeriodically(() -> {
            store.tickNode();
            operator.tick(host.now());
        });
        for (var p = 0; p < Parts.COUNT; p++) {
            var part = p;
            host.schedulePeriodically(() -> store.tickPart(part));
        }
        log.logEvent(Event.STARTED, "store zone " + s.zone + " partner " + s.peerAddress + " data " + s.dataDirectory);
    }

    private long core() {
        return store == null ? 0 : store.directory().self().coreId;
    }

    private boolean ready() {
        return !stopping
                && store.replicas().length > 0
                && store.membership().view().hasLease(0, host.now());
    }

    public Store store() {
        return store;
    }

    public boolean isSuperseded() {
        return store.membership().isSuperseded();
    }

    public void shutDownGracefully() throws InterruptedException {
        host.logEvent(Event.STOPPING, "store");
        stopping = true;
        Thread.sleep(READINESS / 1000);
        var until = host.now() + GRACE;
        while (store.continuePlannedLeave() && host.now() < until) Thread.sleep(100);
        store.membership().leave(host.now());
        host.stopListening();
        Thread.sleep(LAST_REPLIES);
        close();
        host.logEvent(Event.STOPPED, "store");
    }

    @Override
    public void close() {
        host.close();
        disk.release();
    }
}
