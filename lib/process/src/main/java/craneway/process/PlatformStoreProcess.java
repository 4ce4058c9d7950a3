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

/** A store on a platform: keeps the core and serves operators, runners and requesters that ask where to go. */
public final class PlatformStoreProcess implements AutoCloseable {
    private static final int IO = 2, THREADS = 6, TICKS = 2;
    private static final long CONFIGURATION = 32L << 20,
            SMALL = 64 << 10,
            MARGIN = 1_500_000,
            RESERVE = 8L << 20,
            LAST_REPLIES = 500,
            FORGOTTEN = 60_000_000;

    private final DiskFolder disk;
    private final NodeRuntime host;
    private final Store store;
    private final long grace;

    public PlatformStoreProcess(NodeSettings node, PlatformFormats dialect, EventLog log) {
        made(node);
        grace = node.tolerances().shutdownGrace();
        disk = new DiskFolder(node.dataDirectory(), RESERVE);
        var wire = new SocketTransport(node.peerAddress(), this::core, () -> System.nanoTime() / 1000, log);
        host = new NodeRuntime(log, IO, THREADS, TICKS, wire);
        var self = Node.ofNewProcess(
                node.name(), Node.STORE, node.zone(), node.peerAddress(), new SecureRandom().nextLong());
        store = new Store(
                new Near(node.peerAddress()), disk, self, node.seedAddresses(), rules(node), new SecureRandom());
        wire.start(store.directory()::hasSameOrigin, store::receive);
        var callers = new CallerPresence(host::now, log);
        host.schedulePeriodically(callers::tick);
        host.listen(
                node.operatorAddress(),
                new PlatformOperatorHandler(
                        dialect,
                        new PlatformCommands(store.coreClient()),
                        node.regionByZone().keySet(),
                        host.worker(),
                        callers),
                CONFIGURATION);
        host.listen(
                node.directoryAddress(),
                new RouterAddressHandler(
                        dialect,
                        new RouterAddresses(store, node.regionByZone()),
                        node.tolerances().maxTtl()),
                SMALL);
        host.schedulePeriodically(store::tickNode);
        host.schedulePeriodically(this::tickParts);
        log.logEvent(
                Event.STARTED,
                "store zone " + node.zone() + " partner " + node.peerAddress() + " data " + node.dataDirectory());
    }

    private static void made(NodeSettings node) {
        try {
            Files.createDirectories(node.dataDirectory());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private StoreOptions rules(NodeSettings node) {
        var dark = node.runnerHeartbeatInterval() * 22 / 10 + 300_000;
        var settings = new CoreSettings(node.seedAddresses().size(), true, node.mayBootstrap(), dark, FORGOTTEN);
        return new StoreOptions(
                settings,
                Quorum.toleratingLosses(node.toleratedMachineLosses(), node.regionByZone()),
                TimingProfile.LOW_TRAFFIC,
                p -> host.newSerialExecutor("part " + p));
    }

    /** Messages of this store to itself need no wire. */
    private final class Near implements Port {
        private final String self;

        Near(String self) {
            this.self = self;
        }

        @Override
        public long now() {
            return host.now();
        }

        @Override
        public void send(String address, Object message) {
            if (!address.equals(self)) {
                host.send(address, message);
                return;
            }
            var b = Codec.encodeTagged(message);
            host.worker().execute(() -> store.receive(Codec.decodeTagged(b)));
        }

        @Override
        public void logEvent(Event e, String detail) {
            host.logEvent(e, detail);
        }
    }

    private void tickParts() {
        for (var p = 0; p < Parts.COUNT; p++) store.tickPart(p);
    }

    private long core() {
        return store == null ? 0 : store.directory().self().coreId;
    }

    public Store store() {
        return store;
    }

    public boolean isSuperseded() {
        return store.membership().isSuperseded();
    }

    /** Hands over what this store leads, stays while it is needed, and ends, within the grace. */
    public void shutDownGracefully() throws InterruptedException {
        host.logEvent(Event.STOPPING, "store");
        var until = host.now() + Math.max(0, grace - MARGIN);
        while (store.continuePlannedLeave() && host.now() < until) Thread.sleep(100);
        store.membership().leave(host.now());
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
