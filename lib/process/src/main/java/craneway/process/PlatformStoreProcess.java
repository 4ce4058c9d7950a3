package craneway.process;

import craneway.api.directory.RouterAddressHandler;
import craneway.api.directory.RouterAddresses;
import craneway.api.operator.PlatformOperatorHandler;
import craneway.api.platform.PlatformFormats;
import craneway.control.node.Port;
import craneway.control.operator.PlatformCommands;
import craneway.control.store.CoreSettings;
import craneway.control.store.Quorum;
import craneway.control.store.Store;
import craneway.control.store.StoreOptions;
import craneway.http.CallerPresence;
import craneway.log.EventLog;
import craneway.model.event.Event;
import craneway.model.node.NodeSettings;
import craneway.model.unit.Parts;
import craneway.model.unit.TimingProfile;
import craneway.state.message.Codec;
import craneway.state.message.Node;
import craneway.transport.SocketTransport;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.security.SecureRandom;

/**
 * A store process on a platform that starts and stops it: holds replicas of the parts of the core, and serves
 * operators, heartbeats of runners, and clients that look up the addresses of routers.
 */
public final class PlatformStoreProcess implements AutoCloseable {
    private static final int IO_THREADS = 2;
    private static final int WORKER_THREADS = 6;
    private static final int TICK_THREADS = 2;
    private static final long MAX_CONFIGURATION_BODY_BYTES = 32L << 20;
    private static final long MAX_LOOKUP_BODY_BYTES = 64 << 10;

    /** The part of the shutdown grace that is left unused, so that the process ends before the platform kills it. */
    private static final long GRACE_MARGIN_MICROS = 1_500_000;

    /** The free disk space below which the store takes no more log entries. */
    private static final long DISK_RESERVE_BYTES = 8L << 20;

    /** The pause before all connections are closed, in which the last responses are sent. */
    private static final long LAST_RESPONSES_PERIOD_MILLIS = 500;

    /** After this time the store forgets a runner that is leaving or gone. */
    private static final long FORGET_RUNNER_AFTER_MICROS = 60_000_000;

    private final DiskFolder disk;
    private final NodeRuntime runtime;
    private final Store store;
    private final long shutdownGrace;

    /**
     * Starts the store and all its servers. Creates the data directory if it does not exist.
     *
     * @param dialect the formats that operators, runners and clients of the platform use
     */
    public PlatformStoreProcess(NodeSettings node, PlatformFormats dialect, EventLog log) {
        createDataDirectory(node);
        shutdownGrace = node.tolerances().shutdownGrace();
        disk = new DiskFolder(node.dataDirectory(), DISK_RESERVE_BYTES);
        var socketTransport =
                new SocketTransport(node.peerAddress(), this::coreId, () -> System.nanoTime() / 1000, log);
        runtime = new NodeRuntime(log, IO_THREADS, WORKER_THREADS, TICK_THREADS, socketTransport);
        var self = Node.ofNewProcess(
                node.name(), Node.STORE, node.zone(), node.peerAddress(), new SecureRandom().nextLong());
        store = new Store(
                new LoopbackPort(node.peerAddress()),
                disk,
                self,
                node.seedAddresses(),
                storeOptions(node),
                new SecureRandom());
        socketTransport.start(store.directory()::hasSameOrigin, store::receive);
        var callerPresence = new CallerPresence(runtime::now, log);
        runtime.schedulePeriodically(callerPresence::tick);
        runtime.listen(
                node.operatorAddress(),
                new PlatformOperatorHandler(
                        dialect,
                        new PlatformCommands(store.coreClient()),
                        node.regionByZone().keySet(),
                        runtime.worker(),
                        callerPresence),
                MAX_CONFIGURATION_BODY_BYTES);
        runtime.listen(
                node.directoryAddress(),
                new RouterAddressHandler(
                        dialect,
                        new RouterAddresses(store, node.regionByZone()),
                        node.tolerances().maxTtl()),
                MAX_LOOKUP_BODY_BYTES);
        runtime.schedulePeriodically(store::tickNode);
        runtime.schedulePeriodically(this::tickParts);
        log.logEvent(
                Event.STARTED,
                "store zone " + node.zone() + " partner " + node.peerAddress() + " data " + node.dataDirectory());
    }

    private static void createDataDirectory(NodeSettings node) {
        try {
            Files.createDirectories(node.dataDirectory());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private StoreOptions storeOptions(NodeSettings node) {
        // More than two heartbeat intervals, so that one lost heartbeat does not make a runner dark.
        var darkAfterMicros = node.runnerHeartbeatInterval() * 22 / 10 + 300_000;
        var settings = new CoreSettings(
                node.seedAddresses().size(), true, node.mayBootstrap(), darkAfterMicros, FORGET_RUNNER_AFTER_MICROS);
        return new StoreOptions(
                settings,
                Quorum.toleratingLosses(node.toleratedMachineLosses(), node.regionByZone()),
                TimingProfile.LOW_TRAFFIC,
                part -> runtime.newSerialExecutor("part " + part));
    }

    /** The runtime's port, except that messages of the store to itself bypass the transport. */
    private final class LoopbackPort implements Port {
        private final String ownAddress;

        LoopbackPort(String ownAddress) {
            this.ownAddress = ownAddress;
        }

        @Override
        public long now() {
            return runtime.now();
        }

        @Override
        public void send(String address, Object message) {
            if (!address.equals(ownAddress)) {
                runtime.send(address, message);
                return;
            }
            var encoded = Codec.encodeTagged(message);
            runtime.worker().execute(() -> store.receive(Codec.decodeTagged(encoded)));
        }

        @Override
        public void logEvent(Event event, String detail) {
            runtime.logEvent(event, detail);
        }
    }

    private void tickParts() {
        for (var part = 0; part < Parts.PART_COUNT; part++) store.tickPart(part);
    }

    private long coreId() {
        return store == null ? 0 : store.directory().self().coreId;
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
     * Shuts down gracefully within the shutdown grace of the settings: transfers leadership, waits until the core no
     * longer needs this store, leaves the core, and closes.
     */
    public void shutDownGracefully() throws InterruptedException {
        runtime.logEvent(Event.STOPPING, "store");
        var deadline = runtime.now() + Math.max(0, shutdownGrace - GRACE_MARGIN_MICROS);
        while (store.continuePlannedLeave() && runtime.now() < deadline) Thread.sleep(100);
        store.membership().leave(runtime.now());
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
