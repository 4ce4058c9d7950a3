package craneway.sim;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.control.node.Port;
import craneway.control.store.Quorum;
import craneway.control.store.Store;
import craneway.control.store.StoreOptions;
import craneway.model.event.Event;
import craneway.model.unit.Parts;
import craneway.model.unit.TimingProfile;
import craneway.state.disk.Folder;
import craneway.state.message.Node;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Stores whose disk is full at a restart, that lose power repeatedly, or that crash while they move the files of a
 * damaged folder aside.
 */
class DiskFaultTest {
    private static final Map<String, String> REGION_BY_ZONE = Map.of("z1", "a", "z2", "b", "z3", "c");
    private static final Set<String> WRITE_METHODS =
            Set.of("append", "sync", "overwrite", "replace", "rename", "delete");

    /** Thrown by a simulated disk where the process ends. */
    private static final class Crash extends RuntimeException {}

    private static Cluster threeStores() {
        var cluster = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.toleratingLosses(1, REGION_BY_ZONE))
                .addStores("z1", "z2", "z3");
        assertTrue(
                cluster.runUntil(cluster::allPartsHaveLeaders, 10) < 8,
                () -> "not founded in time: " + cluster.eventLog);
        cluster.runFor(5);
        return cluster;
    }

    private static boolean isCaughtUp(Cluster cluster, Cluster.Member member) {
        for (var part = 0; part < Parts.PART_COUNT; part++) {
            var leader = cluster.leaderOf(part);
            if (leader == null || member.store.replicas().length == 0) return false;
            var lastIndex = leader.store.replicas()[part].group().lastIndex();
            if (member.store.replicas()[part].group().appliedIndex() < lastIndex) return false;
        }
        return true;
    }

    @Test
    void aStoreRestartedWithAFullDiskLogsItAndCatchesUpOnceThereIsSpace() {
        for (var name : List.of("s1", "s2", "s3"))
            for (var losesPower : List.of(true, false)) {
                var cluster = threeStores();
                var store = cluster.member(name);
                var storeId = store.storeId();
                if (losesPower) store.losePower();
                else store.crash();
                store.disk.setFull(true);
                store.start();
                cluster.addMember("r1", Node.ROUTER, "z1");
                cluster.runFor(5);
                assertTrue(cluster.allPartsHaveLeaders(), () -> name + ": " + String.join("\n", cluster.eventLog));
                assertTrue(cluster.eventLog.stream()
                        .anyMatch(event -> event.contains(" " + name + " " + Event.DISK_WRITE_FAILED)));
                store.disk.setFull(false);
                cluster.runFor(3);
                assertEquals(storeId, store.storeId());
                assertTrue(isCaughtUp(cluster, store), () -> name + ": " + String.join("\n", cluster.eventLog));
            }
    }

    @Test
    void repeatedPowerLossNeverCountsAsADamagedDataDirectory() {
        var cluster = threeStores();
        var random = new Random(5);
        cluster.addMember("r1", Node.ROUTER, "z1");
        for (var i = 0; i < 60; i++) {
            var failedStores = List.of("s1", "s2", "s3").subList(0, 1 + random.nextInt(3));
            failedStores.forEach(name -> cluster.member(name).losePower());
            cluster.runFor(0.2);
            failedStores.forEach(name -> cluster.member(name).start());
            cluster.runFor(random.nextDouble() * 1.5);
        }
        cluster.runFor(5);
        assertTrue(cluster.allPartsHaveLeaders(), () -> String.join("\n", cluster.eventLog));
        assertTrue(cluster.eventLog.stream().noneMatch(event -> event.contains(Event.DATA_DIRECTORY_DAMAGED.name())));
    }

    private long now = 1_000_000;
    private final Port port = new Port() {
        @Override
        public long now() {
            return now;
        }

        @Override
        public void send(String address, Object message) {}

        @Override
        public void logEvent(Event e, String detail) {}
    };

    private Store newStore(Folder folder) {
        var self = new Node("s1", Node.STORE, "z1", "s1", 1);
        return new Store(
                port,
                folder,
                self,
                List.of(),
                new StoreOptions(1, Quorum.THREE_VOTERS, TimingProfile.LOW_TRAFFIC, part -> Runnable::run),
                new Random(now));
    }

    private void runStore(Store store) {
        for (var i = 0; i < 100; i++) {
            now += 20_000;
            store.tick();
        }
    }

    /** A folder that throws {@link Crash} instead of doing its write number {@code crashStep}, counted from 0. */
    private static Folder crashingFolder(SimulatedDisk disk, int crashStep) {
        var nextStep = new int[1];
        return (Folder) Proxy.newProxyInstance(
                Folder.class.getClassLoader(), new Class<?>[] {Folder.class}, (proxy, method, arguments) -> {
                    if (WRITE_METHODS.contains(method.getName()) && nextStep[0]++ == crashStep) throw new Crash();
                    try {
                        return method.invoke(disk, arguments);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }

    /**
     * After a crash and a power loss at any step, the next start must not take the remaining files for an intact store.
     */
    @Test
    void aDamagedFolderIsMovedAsideCompletelyThoughTheProcessCrashesMeanwhile() {
        for (var step = 0; ; step++) {
            var disk = new SimulatedDisk();
            var damagedStore = newStore(disk);
            runStore(damagedStore);
            var oldStoreId = damagedStore.directory().self().storeId;
            disk.corruptByte("p2.log.1", 60);
            var expectedFiles = new HashMap<String, byte[]>();
            for (var name : List.of("identity", "core", "p2.log.1")) expectedFiles.put("lost." + name, disk.read(name));
            var completed = startsWithoutCrash(crashingFolder(disk, step));
            disk.losePower(new Random(step));
            assertNotEquals(oldStoreId, newStore(disk).directory().self().storeId, "step " + step);
            expectedFiles.forEach((name, bytes) -> assertArrayEquals(bytes, disk.read(name), name));
            if (completed) return;
        }
    }

    @Test
    void aSecondDamagedFolderDoesNotOverwriteTheFilesOfTheFirst() {
        var disk = new SimulatedDisk();
        for (var i = 0; i < 2; i++) {
            runStore(newStore(disk));
            disk.corruptByte("p2.log.1", 60);
            var damaged = disk.read("p2.log.1");
            newStore(disk);
            assertArrayEquals(damaged, disk.read(i == 0 ? "lost.p2.log.1" : "lost.2.p2.log.1"));
        }
    }

    private boolean startsWithoutCrash(Folder folder) {
        try {
            newStore(folder);
            return true;
        } catch (Crash e) {
            return false;
        }
    }
}
