package craneway.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.control.store.Quorum;
import craneway.model.unit.Parts;
import craneway.model.unit.TimingProfile;
import craneway.state.message.Commands;
import craneway.state.record.Rows;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * How often leaders and routers iterate over all runners or members while nothing changes: with thousands of rows they
 * must do so only a limited number of times per second, yet notice a silent runner in time.
 */
class IdleScanRateTest {
    private static final int RUNNER_COUNT = 5_000;

    /** A map that counts how often its values are iterated over. */
    private static final class ScanCountingMap<V> extends TreeMap<String, V> {
        int scanCount;

        ScanCountingMap(TreeMap<String, V> entries) {
            super(entries);
        }

        @Override
        public Collection<V> values() {
            scanCount++;
            return super.values();
        }
    }

    private String serviceName;
    private String cellName;
    private Cluster cluster;

    @BeforeEach
    void startCluster() throws IOException, URISyntaxException {
        var manifestText = Files.readString(Path.of(
                IdleScanRateTest.class.getResource("/craneway/sim/maticar.json").toURI()));
        cluster = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.THREE_VOTERS);
        cluster.addStores("z1", "z2", "z3").addRouters(1);
        cluster.runUntil(cluster::allPartsHaveLeaders, 10);
        cluster.member("s1").operator.putManifest(0, manifestText, r -> {});
        cluster.runFor(6);
        var service = cluster.member("r1")
                .router
                .membership()
                .view()
                .manifest()
                .services()
                .values()
                .iterator()
                .next();
        serviceName = service.name();
        cellName = service.cells().get(0).name();
    }

    private void announceRunners(int count) {
        var leader = cluster.leaderOf(Parts.partOf(serviceName));
        leader.setDiskHung(true);
        for (var i = 0; i < count; i++) {
            var put = new Commands.RunnerPut();
            put.service = serviceName;
            put.runner = "run-" + i;
            put.address = "10.0.0.1:80";
            put.cell = cellName;
            put.slots = 4;
            put.incarnation = 1;
            cluster.member("s1").store.coreClient().request(Parts.partOf(serviceName), put, 800_000, result -> {});
        }
        cluster.runFor(0.02);
        leader.setDiskHung(false);
        cluster.runFor(0.5);
    }

    private Rows.Service serviceRow() {
        return cluster.leaderOf(Parts.partOf(serviceName))
                .store
                .replicas()[Parts.partOf(serviceName)]
                .records()
                .rows()
                .services
                .get(serviceName);
    }

    @Test
    void manyRunnersAreScannedOnlySomeTimesPerSecond() {
        announceRunners(RUNNER_COUNT);
        var map = new ScanCountingMap<>(serviceRow().runners);
        serviceRow().runners = map;
        cluster.runFor(1);
        assertEquals(RUNNER_COUNT, map.size());
        assertTrue(map.scanCount > 0 && map.scanCount < 40, () -> map.scanCount + " scans in a second");
    }

    @Test
    void silentRunnersAmongManyAreMarkedDarkInTime() {
        announceRunners(RUNNER_COUNT);
        var seconds =
                cluster.runUntil(() -> serviceRow().runners.values().stream().noneMatch(Rows.Runner::isUp), 6);
        assertTrue(seconds < 3.2, () -> seconds + " s");
    }

    @Test
    void aRouterScansRunnersOnlyWhenTheirRowChanges() {
        announceRunners(50);
        cluster.runFor(1);
        var service = cluster.member("r1").router.membership().view().services().get(serviceName);
        var map = new ScanCountingMap<>(service.runners);
        service.runners = map;
        cluster.runFor(0.5);
        assertSame(
                service,
                cluster.member("r1").router.membership().view().services().get(serviceName));
        assertTrue(map.scanCount <= 1, () -> map.scanCount + " scans in a second");
    }

    @Test
    void manyMembersAreScannedOnlySomeTimesPerSecond() {
        cluster.addRouters(300);
        cluster.runFor(4);
        var rows = cluster.leaderOf(Parts.MANIFEST_PART)
                .store
                .replicas()[Parts.MANIFEST_PART]
                .records()
                .rows();
        var map = new ScanCountingMap<>(rows.members);
        rows.members = map;
        cluster.runFor(1);
        assertTrue(map.scanCount > 5 && map.scanCount < 25, () -> map.scanCount + " scans in a second");
    }
}
