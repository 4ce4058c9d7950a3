package craneway.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.control.operator.OperatorCommands;
import craneway.control.store.Quorum;
import craneway.control.store.Store;
import craneway.control.store.StoreOptions;
import craneway.log.EventLog;
import craneway.model.unit.Parts;
import craneway.model.unit.TimingProfile;
import craneway.state.message.Messages.CommandResult;
import craneway.state.message.Node;
import craneway.state.message.Queries;
import craneway.transport.SocketTransport;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs three stores in one JVM that exchange messages over real sockets. */
class StoreClusterTest {
    private static final java.util.concurrent.atomic.AtomicInteger NEXT_PORT =
            new java.util.concurrent.atomic.AtomicInteger(25_000);

    @TempDir
    Path root;

    private final List<StoreNode> stores = new ArrayList<>();

    private final class StoreNode {
        final String address;
        final EventLog log;
        final DiskFolder disk;
        final SocketTransport transport;
        final NodeRuntime runtime;
        final Store store;
        final OperatorCommands operator;

        StoreNode(String name, String address, List<String> seeds) throws IOException {
            this.address = address;
            log = new EventLog(name);
            disk = new DiskFolder(Files.createDirectories(root.resolve(name)));
            transport = new SocketTransport(address, this::coreId, () -> System.nanoTime() / 1000, log);
            runtime = new NodeRuntime(log, 4, transport);
            var partExecutor = runtime.newSerialExecutor("parts");
            var options = new StoreOptions(3, Quorum.THREE_VOTERS, TimingProfile.LOW_TRAFFIC, p -> partExecutor);
            store = new Store(
                    runtime, disk, new Node(name, Node.STORE, "z-" + name, address, 1), seeds, options, new Random());
            operator = new OperatorCommands(runtime, store.coreClient());
            transport.start(store.directory()::hasSameOrigin, store::receive);
            runtime.schedulePeriodically(() -> {
                store.tick();
                operator.tick(runtime.now());
            });
        }

        long coreId() {
            return store == null ? 0 : store.directory().self().coreId;
        }

        CommandResult status(int part) throws Exception {
            var result = new CompletableFuture<CommandResult>();
            store.coreClient().request(part, new Queries.Status(), 20_000_000, result::complete);
            return result.get(30, TimeUnit.SECONDS);
        }
    }

    /** Returns an address whose port is below the range of ephemeral ports and free for both UDP and TCP. */
    private static String freeAddress() throws IOException {
        while (true) {
            var port = NEXT_PORT.getAndIncrement();
            var address = new InetSocketAddress("127.0.0.1", port);
            try (var udp = new DatagramSocket(address);
                    var tcp = new java.net.ServerSocket(port, 1, address.getAddress())) {
                return "127.0.0.1:" + port;
            } catch (IOException e) {
                if (port > 26_000) throw e;
            }
        }
    }

    @AfterEach
    void close() {
        stores.forEach(node -> node.runtime.close());
        stores.forEach(node -> node.disk.release());
    }

    @Test
    void threeStoresBootstrapACoreAndAcceptAManifestOverSockets() throws Exception {
        var seeds = List.of(freeAddress(), freeAddress(), freeAddress());
        for (var address : seeds) stores.add(new StoreNode("s" + (stores.size() + 1), address, seeds));
        for (var part = 0; part < Parts.PART_COUNT; part++)
            assertEquals(0, stores.get(part % 3).status(part).kind);
        var manifest = Files.readString(Path.of("../../docs/examples/maticar.json"));
        var version = new CompletableFuture<Long>();
        stores.get(1)
                .operator
                .putManifest(
                        0,
                        manifest,
                        result ->
                                version.complete(result.isRight() ? result.get().version() : -1L));
        assertTrue(version.get(30, TimeUnit.SECONDS) > 0);
        for (var node : stores) assertTrue(node.transport.traffic().datagramsSent() > 0);
    }
}
