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

/**
 * A stand-alone store process: holds replicas of the parts of the core on disk, and offers the operator API, readiness
 * checks and the peer endpoint, each on an address of its own.
 */
public final class StoreProcess implements AutoCloseable {
    private static final int WORKER_THREADS = 24;
    private static final long MAX_MANIFEST_BODY_BYTES = 32L << 20;
    private static final long MAX_READINESS_BODY_BYTES = 64 << 10;

    /** How long a store that is shutting down keeps running while the platform's checks see that it is not ready. */
    private static final long NOT_READY_PERIOD_MICROS = 2_200_000;

    /** How long a store that is shutting down waits until the core no longer needs it. */
    private static final long LEAVE_TIMEOUT_MICROS = 8_000_000;

    /** The pause between stopping the servers and closing all connections, in which the last responses are sent. */
    private static final long LAST_RESPONSES_PERIOD_MILLIS = 500;

    private final DiskFolder disk;
    private final NodeRuntime runtime;
    private final Store store;
    private volatile boolean stopping;

    /** Starts the store and all its servers. */
    public StoreProcess(StartupSettings settings, EventLog log) {
        disk = new DiskFolder(settings.dataDirectory);
        runtime = new NodeRuntime(log, WORKER_THREADS, () -> coreId());
        var self = Node.ofNewProcess(
                settings.name, Node.STORE, settings.zone, settings.peerAddress, new SecureRandom().nextLong());
        store = new Store(runtime, disk, self, settings.seedAddresses, settings.founderCount, new SecureRandom());
        var operator = new OperatorCommands(runtime, store.coreClient());
        runtime.listen(
                settings.peerAddress,
                new PeerHandler(this::coreId, store.directory()::hasSameOrigin, store::receive, log),
                80L << 20);
        runtime.listen(
                settings.operatorAddress,
                new OperatorHandler(settings.name, operator, () -> ProcessMetrics.render(store), null, store),
                MAX_MANIFEST_BODY_BYTES);
        runtime.listen(settings.readinessAddress, new ReadinessHandler(this::isReady), MAX_READINESS_BODY_BYTES);
        runtime.schedulePeriodically(() -> {
            store.tickNode();
            operator.tick(runtime.now());
        });
        for (var p = 0; p < Parts.PART_COUNT; p++) {
            var part = p;
            runtime.schedulePeriodically(() -> store.tickPart(part));
        }
        log.logEvent(
                Event.STARTED,
                "store zone " + settings.zone + " partner " + settings.peerAddress + " data " + settings.dataDirectory);
    }

    private long coreId() {
        return store == null ? 0 : store.directory().self().coreId;
    }

    private boolean isReady() {
        return !stopping
                && store.replicas().length > 0
                && store.membership().view().hasLease(0, runtime.now());
    }

    /** Returns the store that this process runs. */
    public Store store() {
        return store;
    }

    /** Whether a newer process with the same name has replaced this one. */
    public boolean isSuperseded() {
        return store.membership().isSuperseded();
    }

    /**
     * Shuts down gracefully: reports not ready, transfers leadership, waits until the core no longer needs this store
     * or a timeout of 8 s has passed, leaves the core, and closes.
     */
    public void shutDownGracefully() throws InterruptedException {
        runtime.logEvent(Event.STOPPING, "store");
        stopping = true;
        Thread.sleep(NOT_READY_PERIOD_MICROS / 1000);
        var deadline = runtime.now() + LEAVE_TIMEOUT_MICROS;
        while (store.continuePlannedLeave() && runtime.now() < deadline) Thread.sleep(100);
        store.membership().leave(runtime.now());
        runtime.stopListening();
        Thread.sleep(LAST_RESPONSES_PERIOD_MILLIS);
        close();
        runtime.logEvent(Event.STOPPED, "store");
    }

    /** Closes the process at once, without a graceful shutdown, and releases the data directory. */
    @Override
    public void close() {
        runtime.close();
        disk.release();
    }
}
