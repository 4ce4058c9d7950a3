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

class WireCoreTest {
    private static final java.util.concurrent.atomic.AtomicInteger PORT =
            new java.util.concurrent.atomic.AtomicInteger(25_000);

    @TempDir
    Path root;

    private final List<One> ones = new ArrayList<>();

    private final class One {
        final String address;
        final EventLog log;
        final DiskFolder disk;
        final SocketTransport wire;
        final NodeRuntime host;
        final Store store;
        final OperatorCommands operator;

        One(String name, String address, List<String> seeds) throws IOException {
            this.address = address;
            log = new EventLog(name);
            disk = new DiskFolder(Files.createDirectories(root.resolve(name)));
            wire = new SocketTransport(address, this::core, () -> System.nanoTime() / 1000, log);
            host = new NodeRuntime(log, 4, wire);
            var part = host.newSerialExecutor("parts");
            var rules = new StoreOptions(3, Quorum.THREE_VOTERS, TimingProfile.LOW_TRAFFIC, p -> part);
            store = new Store(
                    host, disk, new Node(name, Node.STORE, "z-" + name, address, 1), seeds, rules, new Random());
            operator = new OperatorCommands(host, store.coreClient());
            wire.start(store.directory()::hasSameOrigin, store::receive);
            host.schedulePeriodically(() -> {
                store.tick();
                operator.tick(host.now());
            });
        }

        long core() {
            return store == null ? 0 : store.directory().self().coreId;
        }

        CommandResult status(int part) throws Exception {
            var f = new CompletableFuture<CommandResult>();
            store.coreClient().request(part, new Queries.Status(), 20_000_000, f::complete);
            return f.get(30, TimeUnit.SECONDS);
        }
    }

    /** A port below the range of outgoing connections, free for both UDP and TCP. */
    private static String freeAddress() throws IOException {
        while (true) {
            var p = PORT.getAndIncrement();
            var at = new InetSocketAddress("127.0.0.1", p);
            try (var s = new DatagramSocket(at);
                    var t = new java.net.ServerSocket(p, 1, at.getAddress())) {
                return "127.0.0.1:" + p;
            } catch (IOException e) {
                if (p > 26_000) throw e;
            }
        }
    }

    @AfterEach
    void close() {
        ones.forEach(o -> o.host.close());
        ones.forEach(o -> o.disk.release());
    }

    @Test
    void threeStoresFoundACoreAndTakeAManifestOverWires() throws Exception {
        var seeds = List.of(freeAddress(), freeAddress(), freeAddress());
        for (var a : seeds) ones.add(new One("s" + (ones.size() + 1), a, seeds));
        for (var p = 0; p < Parts.COUNT; p++) assertEquals(0, ones.get(p % 3).status(p).kind);
        var text = Files.readString(Path.of("../../docs/examples/maticar.json"));
        var taken = new CompletableFuture<Long>();
        ones.get(1)
                .operator
                .putManifest(0, text, r -> taken.complete(r.isRight() ? r.get().version() : -1L));
        assertTrue(taken.get(30, TimeUnit.SECONDS) > 0);
        for (var o : ones) assertTrue(o.wire.traffic().datagramsSent() > 0);
    }
}
