package craneway.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.control.store.Quorum;
import craneway.data.runner.Announcement;
import craneway.model.unit.TimingProfile;
import craneway.state.message.Node;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * How soon routers have the newest manifest, service rows and leases after their own restart, a power loss of all
 * members or the loss of the leader. The one-way network delay is 35 ms.
 */
class RouterViewFreshnessTest {
    private static final int ROUTER_COUNT = 9;

    private String manifestText;
    private Cluster cluster;
    private long version;

    @BeforeEach
    void startCluster() throws IOException, URISyntaxException {
        manifestText = Files.readString(Path.of(RouterViewFreshnessTest.class
                .getResource("/craneway/sim/maticar.json")
                .toURI()));
        cluster = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.THREE_VOTERS);
        cluster.oneWayDelayMicros = 35_000;
        cluster.addStores("z1", "z2", "z3").addRouters(ROUTER_COUNT);
        cluster.runUntil(cluster::allPartsHaveLeaders, 10);
        putManifest();
        cluster.runFor(5);
    }

    private void putManifest() {
        var previousVersion = version;
        cluster.member("s1")
                .operator
                .putManifest(
                        previousVersion,
                        manifestText.replaceFirst(
                                "\"claimRetentionMs\": \\d+", "\"claimRetentionMs\": " + (3_600_000 + previousVersion)),
                        result -> version = result.isRight() ? result.get().version() : -1);
        cluster.runUntil(() -> version != previousVersion, 5);
        assertTrue(version > previousVersion, this::eventLog);
    }

    private String eventLog() {
        return String.join("\n", cluster.eventLog);
    }

    private List<Cluster.Member> routers() {
        return cluster.members.values().stream()
                .filter(member -> member.router != null)
                .toList();
    }

    private void assertBelow(double maxSeconds, double seconds) {
        assertTrue(seconds < maxSeconds, () -> seconds + " s; " + eventLog());
    }

    @Test
    void aRestartedRouterHasACurrentViewSoon() {
        for (var i = 0; i < 30; i++) {
            var router = cluster.member("r" + (1 + i % ROUTER_COUNT));
            router.crash();
            cluster.runFor(0.5 + i * 0.037);
            router.start();
            assertBelow(0.3, cluster.runUntil(() -> cluster.isRouterCurrent(router, version), 5));
        }
    }

    @Test
    void aNewRouterHasACurrentViewAndIsReportedAsServingSoon() {
        var router = cluster.addMember("r99", Node.ROUTER, "z2");
        assertBelow(0.3, cluster.runUntil(() -> cluster.isRouterCurrent(router, version), 5));
        assertBelow(0.3, cluster.runUntil(() -> router.router.directory().self().serving, 5));
    }

    @Test
    void allRoutersAreCurrentSoonAfterAPowerLoss() {
        for (var i = 0; i < 20; i++) {
            cluster.members.values().forEach(Cluster.Member::losePower);
            cluster.runFor(1.4);
            for (var member : cluster.members.values())
                cluster.sim.scheduleAfter((long) (cluster.sim.random.nextDouble() * 160_000), member::start);
            cluster.runFor(0.16);
            assertBelow(0.8, cluster.runUntil(() -> cluster.allRoutersCurrent(version), 8));
            cluster.runFor(5);
        }
    }

    @Test
    void routersKeepTheirViewAndGetUpdatesAgainSoonAfterTheLeaderIsLost() {
        for (var i = 0; i < 12; i++) {
            var leader = cluster.leaderOf(0);
            if (i % 3 == 0) leader.crash();
            else if (i % 3 == 1) leader.setDiskHung(true);
            else cluster.members.keySet().forEach(name -> blockPaths(leader.name, name));
            for (var check = 0; check < 70; check++) {
                cluster.runFor(0.02);
                for (var router : routers())
                    assertEquals(version, router.router.membership().view().manifestRow().version);
                for (var router : routers())
                    assertNotNull(router.router.membership().view().manifest());
                for (var router : routers())
                    assertEquals(
                            router.router
                                    .membership()
                                    .view()
                                    .manifest()
                                    .services()
                                    .keySet(),
                            router.router.membership().view().services().keySet());
            }
            var previousVersion = version;
            var other = cluster.members.values().stream()
                    .filter(member -> member.store != null && member != leader)
                    .findFirst()
                    .get();
            other.operator.putManifest(
                    previousVersion,
                    manifestText.replaceFirst("\"claimRetentionMs\": \\d+", "\"claimRetentionMs\": " + (3_700_000 + i)),
                    result -> version = result.isRight() ? result.get().version() : -1);
            cluster.runUntil(() -> version != previousVersion, 5);
            assertTrue(version > previousVersion, this::eventLog);
            assertBelow(0.5, cluster.runUntil(() -> cluster.allRoutersCurrent(version), 5));
            if (i % 3 == 0) leader.start();
            else if (i % 3 == 1) leader.setDiskHung(false);
            else cluster.blockedPaths.clear();
            cluster.runFor(6);
        }
    }

    @Test
    void aNewLeaderDoesNotMarkAnAnnouncingRunnerAsDark() {
        var manifest = cluster.member("r1").router.membership().view().manifest();
        var service = manifest.services().values().iterator().next();
        for (var i = 0; i < 6; i++) {
            for (var round = 0; round < 6; round++) {
                announceRunner(service.name(), service.cells().get(0).name());
                cluster.runFor(1.2);
            }
            var leader = cluster.leaderOf(0);
            leader.crash();
            cluster.runFor(1.2);
            for (var round = 0; round < 3; round++) {
                announceRunner(service.name(), service.cells().get(0).name());
                cluster.runFor(1.2);
            }
            leader.start();
        }
        assertTrue(cluster.eventLog.stream().noneMatch(event -> event.contains("RUNNER_DARK")), this::eventLog);
    }

    private void announceRunner(String service, String cell) {
        cluster.member("r1")
                .router
                .announceRunner(new Announcement(service, "run-1", "10.0.0.1:80", cell, 4, 1, false, 0), result -> {});
    }

    private void blockPaths(String first, String second) {
        if (first.equals(second)) return;
        cluster.blockedPaths.add(first + ">" + second);
        cluster.blockedPaths.add(second + ">" + first);
    }
}
