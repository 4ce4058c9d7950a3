package craneway.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.control.store.Quorum;
import craneway.model.unit.Parts;
import craneway.model.unit.TimingProfile;
import craneway.state.message.Node;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/**
 * A planned shutdown of a store: it hands over the leadership of all parts and stays until its replacement is a voter,
 * or until the other voters have all its entries, so that the loss of another disk right afterwards loses no
 * acknowledged command.
 */
class PlannedLeaveTest {
    private static final double SHUTDOWN_GRACE_SECONDS = 6.5;

    private static Cluster threeStores() {
        var cluster = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.THREE_VOTERS).addStores("z1", "z2", "z3");
        cluster.runUntil(cluster::allPartsHaveLeaders, 10);
        cluster.runFor(5);
        return cluster;
    }

    private static long putManifest(Cluster cluster) throws IOException {
        var resource = PlannedLeaveTest.class.getResource("/craneway/sim/maticar.json");
        var text = Files.readString(Path.of(resource.getPath()));
        var version = new long[1];
        cluster.leaderOf(0)
                .operator
                .putManifest(
                        0,
                        text,
                        result -> version[0] = result.isRight() ? result.get().version() : -1);
        cluster.runUntil(() -> version[0] != 0, 10);
        assertTrue(version[0] > 0, () -> String.join("\n", cluster.eventLog));
        return version[0];
    }

    /** Does what the process does at SIGTERM and returns the seconds until it left. */
    private static double stopGracefully(Cluster cluster, Cluster.Member member) {
        var leaveSeconds = cluster.runUntil(() -> !member.store.continuePlannedLeave(), SHUTDOWN_GRACE_SECONDS);
        member.store.membership().leave(cluster.sim.now());
        cluster.runFor(0.5);
        member.crash();
        return leaveSeconds;
    }

    private static Cluster.Member memberExcept(Cluster cluster, Cluster.Member... excluded) {
        return cluster.members.values().stream()
                .filter(member -> !java.util.List.of(excluded).contains(member))
                .findFirst()
                .orElseThrow();
    }

    private static void assertManifestKept(Cluster cluster, long version) {
        assertTrue(
                cluster.runUntil(() -> cluster.leaderOf(0) != null, 6) < 3, () -> String.join("\n", cluster.eventLog));
        assertEquals(version, cluster.leaderOf(0).store.replicas()[0].records().rows().manifest.version);
    }

    @Test
    void aPlannedReplacementFollowedByALostDiskKeepsAcknowledgedCommands() throws IOException {
        for (var seed = 0; seed < 10; seed++) {
            var cluster = threeStores();
            cluster.runFor(seed * 0.037);
            if (seed > 4) cluster.oneWayDelayMicros = 35_000;
            var version = putManifest(cluster);
            var leader = cluster.leaderOf(0);
            var leaver = seed % 2 == 0 ? leader : memberExcept(cluster, leader);
            var spare = cluster.addMember("s4", Node.STORE, leaver.zone);
            cluster.runFor(1.5);
            var leaveSeconds = stopGracefully(cluster, leaver);
            assertTrue(leaveSeconds < 5, () -> leaveSeconds + " s\n" + String.join("\n", cluster.eventLog));
            for (var part = 0; part < Parts.PART_COUNT; part++) {
                var reportedPart = part;
                var voters = cluster.voterNames(part);
                assertTrue(
                        voters.contains("s4") && !voters.contains(leaver.name), () -> "part " + reportedPart + voters);
            }
            leaver.loseDisk();
            memberExcept(cluster, leaver, spare).loseDisk();
            assertManifestKept(cluster, version);
        }
    }

    @Test
    void aLeavingStoreStaysWhileAnotherVoterLacksItsEntries() throws IOException {
        var cluster = threeStores();
        var leader = cluster.leaderOf(0);
        var leaver = memberExcept(cluster, leader);
        var unreachable = memberExcept(cluster, leader, leaver);
        cluster.blockedPaths.add(leader.name + ">" + unreachable.name);
        cluster.blockedPaths.add(unreachable.name + ">" + leader.name);
        var version = putManifest(cluster);
        cluster.sim.scheduleAfter(3 * Cluster.MICROS_PER_SECOND, cluster.blockedPaths::clear);
        var leaveSeconds = stopGracefully(cluster, leaver);
        leaver.loseDisk();
        leader.loseDisk();
        assertTrue(leaveSeconds > 2.9, () -> "left after " + leaveSeconds + " s");
        var group = unreachable.store.replicas()[0].group();
        assertTrue(group.lastIndex() > 1, () -> "holds " + group.lastIndex() + " entries");
        assertEquals(version, unreachable.store.replicas()[0].records().rows().manifest.version);
    }

    @Test
    void withoutAReplacementALeavingStoreStopsSoon() throws IOException {
        for (var leaderLeaves : new boolean[] {true, false}) {
            var cluster = threeStores();
            var version = putManifest(cluster);
            var leader = cluster.leaderOf(0);
            var leaveSeconds = stopGracefully(cluster, leaderLeaves ? leader : memberExcept(cluster, leader));
            assertTrue(leaveSeconds < 2.5, () -> leaveSeconds + " s\n" + String.join("\n", cluster.eventLog));
            assertManifestKept(cluster, version);
        }
    }

    @Test
    void allStoresThatLeaveTogetherStopWithinTheGracePeriod() {
        var cluster = threeStores();
        for (var i = 0; i < SHUTDOWN_GRACE_SECONDS * 10; i++) {
            var runningStores = cluster.members.values().stream()
                    .filter(member -> member.running)
                    .toList();
            for (var member : runningStores) if (!member.store.continuePlannedLeave()) member.crash();
            cluster.runFor(0.1);
        }
        assertTrue(cluster.members.values().stream().noneMatch(member -> member.running));
    }
}
