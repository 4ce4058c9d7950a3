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

/** Stores on disks that are full at a restart, lose power again and again, or end in the middle of setting files aside. */
class DiskFaultTest {
    private static final Map<String, String> REGIONS = Map.of("z1", "a", "z2", "b", "z3", "c");
    private static final Set<String> WRITES = Set.of("append", "sync", "overwrite", "replace", "rename", "delete");

    private static final class Crash extends RuntimeException {}

    private static Cluster three() {
        var c = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.toleratingLosses(1, REGIONS)).stores("z1", "z2", "z3");
        assertTrue(c.until(c::owned, 10) < 8, () -> "founding: " + c.notes);
        c.run(5);
        return c;
    }

    private static boolean level(Cluster c, Cluster.Member m) {
        for (var p = 0; p < Parts.COUNT; p++) {
            var owner = c.owner(p);
            if (owner == null || m.store.replicas().length == 0) return false;
            var last = owner.store.replicas()[p].group().lastIndex();
            if (m.store.replicas()[p].group().appliedIndex() < last) return false;
        }
        return true;
    }

    @Test
    void aStoreThatRestartsWithAFullDiskStaysUpSaysSoAndCatchesUpOnceThereIsSpace() {
        for (var name : List.of("s1", "s2", "s3"))
            for (var power : List.of(true, false)) {
                var c = three();
                var m = c.get(name);
                var id = m.storeId();
                if (power) m.losePower();
                else m.crash();
                m.disk.setFull(true);
                m.start();
                c.add("r1", Node.ROUTER, "z1");
                c.run(5);
                assertTrue(c.owned(), () -> name + ": " + String.join("\n", c.notes));
                assertTrue(c.notes.stream().anyMatch(n -> n.contains(" " + name + " " + Event.DISK_WRITE_FAILED)));
                m.disk.setFull(false);
                c.run(3);
                assertEquals(id, m.storeId());
                assertTrue(level(c, m), () -> name + ": " + String.join("\n", c.notes));
            }
    }

    @Test
    void noStoreIsCalledLostHoweverOftenPowerGoes() {
        var c = three();
        var random = new Random(5);
        c.add("r1", Node.ROUTER, "z1");
        for (var i = 0; i < 60; i++) {
            var all = List.of("s1", "s2", "s3").subList(0, 1 + random.nextInt(3));
            all.forEach(n -> c.get(n).losePower());
            c.run(0.2);
            all.forEach(n -> c.get(n).start());
            c.run(random.nextDouble() * 1.5);
        }
        c.run(5);
        assertTrue(c.owned(), () -> String.join("\n", c.notes));
        assertTrue(c.notes.stream().noneMatch(n -> n.contains(Event.DATA_DIRECTORY_DAMAGED.name())));
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

    private Store store(Folder folder) {
        var self = new Node("s1", Node.STORE, "z1", "s1", 1);
        return new Store(
                port,
                folder,
                self,
                List.of(),
                new StoreOptions(1, Quorum.THREE_VOTERS, TimingProfile.LOW_TRAFFIC, p -> Runnable::run),
                new Random(now));
    }

    private void run(Store s) {
        for (var i = 0; i < 100; i++) {
            now += 20_000;
            s.tick();
        }
    }

    private static Folder crashing(SimulatedDisk disk, int at) {
        var step = new int[1];
        return (Folder)
                Proxy.newProxyInstance(Folder.class.getClassLoader(), new Class<?>[] {Folder.class}, (p, m, a) -> {
                    if (WRITES.contains(m.getName()) && step[0]++ == at) throw new Crash();
                    try {
                        return m.invoke(disk, a);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }

    /** A crash and a loss of power at any step: no start takes the rest for a store that still has its entries. */
    @Test
    void aDamagedFolderIsSetAsideWholeThoughTheProcessEndsInTheMiddleOfIt() {
        for (var step = 0; ; step++) {
            var disk = new SimulatedDisk();
            var first = store(disk);
            run(first);
            var id = first.directory().self().storeId;
            disk.corruptByte("p2.log.1", 60);
            var kept = new HashMap<String, byte[]>();
            for (var n : List.of("identity", "core", "p2.log.1")) kept.put("lost." + n, disk.read(n));
            var ended = starts(crashing(disk, step));
            disk.losePower(new Random(step));
            assertNotEquals(id, store(disk).directory().self().storeId, "step " + step);
            kept.forEach((n, b) -> assertArrayEquals(b, disk.read(n), n));
            if (ended) return;
        }
    }

    @Test
    void aSecondDamagedFolderDoesNotTakeTheFilesOfTheFirst() {
        var disk = new SimulatedDisk();
        for (var i = 0; i < 2; i++) {
            run(store(disk));
            disk.corruptByte("p2.log.1", 60);
            var damaged = disk.read("p2.log.1");
            store(disk);
            assertArrayEquals(damaged, disk.read(i == 0 ? "lost.p2.log.1" : "lost.2.p2.log.1"));
        }
    }

    private boolean starts(Folder folder) {
        try {
            store(folder);
            return true;
        } catch (Crash e) {
            return false;
        }
    }
}
