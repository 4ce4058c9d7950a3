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

/** How often the control plane looks through all runners and members while nothing happens. */
class IdleScanRateTest {
    private static final int RUNNER_COUNT = 5_000;

    /** A map that counts how often somebody goes through its values. */
    private static final class ScanCountingMap<V> extends TreeMap<String, V> {
        int scanCount;

        ScanCountingMap(TreeMap<String, V> all) {
            super(all);
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
        var text = Files.readString(Path.of(
                IdleScanRateTest.class.getResource("/craneway/sim/maticar.json").toURI()));
        cluster = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.THREE_VOTERS);
        cluster.addStores("z1", "z2", "z3").addRouters(1);
        cluster.runUntil(cluster::allPartsHaveLeaders, 10);
        cluster.member("s1").operator.putManifest(0, text, r -> {});
        cluster.runFor(6);
        var s = cluster.member("r1")
                .router
                .membership()
                .view()
                .manifest()
                .services()
                .values()
                .iterator()
                .next();
        serviceName = s.name();
        cellName = s.cells().get(0).name();
    }

    private void announceRunners(int n) {
        var o = cluster.leaderOf(Parts.partOf(serviceName));
        o.setDiskHung(true);
        for (var i = 0; i < n; i++) {
            var r = new Commands.RunnerPut();
            r.service = serviceName;
            r.runner = "run-" + i;
            r.address = "10.0.0.1:80";
            r.cell = cellName;
            r.slots = 4;
            r.incarnation = 1;
            cluster.member("s1").store.coreClient().request(Parts.partOf(serviceName), r, 800_000, x -> {});
        }
        cluster.runFor(0.02);
        o.setDiskHung(false);
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
    void manyRunnersAreLookedThroughLessOften() {
        announceRunners(RUNNER_COUNT);
        var all = new ScanCountingMap<>(serviceRow().runners);
        serviceRow().runners = all;
        cluster.runFor(1);
        assertEquals(RUNNER_COUNT, all.size());
        assertTrue(all.scanCount > 0 && all.scanCount < 40, () -> all.scanCount + " looks a second");
    }

    @Test
    void oneOfManyRunnersThatFallsSilentIsDarkInTime() {
        announceRunners(RUNNER_COUNT);
        var took = cluster.runUntil(() -> serviceRow().runners.values().stream().noneMatch(Rows.Runner::isUp), 6);
        assertTrue(took < 3.2, () -> took + " s");
    }

    @Test
    void aRouterMeetsRunnersWhenTheirRowChanges() {
        announceRunners(50);
        cluster.runFor(1);
        var s = cluster.member("r1").router.membership().view().services().get(serviceName);
        var all = new ScanCountingMap<>(s.runners);
        s.runners = all;
        cluster.runFor(0.5);
        assertSame(s, cluster.member("r1").router.membership().view().services().get(serviceName));
        assertTrue(all.scanCount <= 1, () -> all.scanCount + " looks a second");
    }

    @Test
    void manyMembersAreLookedThroughLessOften() {
        cluster.addRouters(300);
        cluster.runFor(4);
        var rows = cluster.leaderOf(Parts.MANIFEST_PART)
                .store
                .replicas()[Parts.MANIFEST_PART]
                .records()
                .rows();
        var all = new ScanCountingMap<>(rows.members);
        rows.members = all;
        cluster.runFor(1);
        assertTrue(all.scanCount > 5 && all.scanCount < 25, () -> all.scanCount + " looks a second");
    }
}
