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

/** A store that is told to stop leads nothing and stays until its successor counts, or until the others hold all it holds. */
class PlannedLeaveTest {
    private static final double SHUTDOWN_GRACE_SECONDS = 6.5;

    private static Cluster threeStores() {
        var c = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.THREE_VOTERS).addStores("z1", "z2", "z3");
        c.runUntil(c::allPartsHaveLeaders, 10);
        c.runFor(5);
        return c;
    }

    private static long putManifest(Cluster c) throws IOException {
        var resource = PlannedLeaveTest.class.getResource("/craneway/sim/maticar.json");
        var text = Files.readString(Path.of(resource.getPath()));
        var version = new long[1];
        c.leaderOf(0)
                .operator
                .putManifest(0, text, r -> version[0] = r.isRight() ? r.get().version() : -1);
        c.runUntil(() -> version[0] != 0, 10);
        assertTrue(version[0] > 0, () -> String.join("\n", c.eventLog));
        return version[0];
    }

    /** What the process does at SIGTERM, and the seconds it took. */
    private static double stopGracefully(Cluster c, Cluster.Member m) {
        var took = c.runUntil(() -> !m.store.continuePlannedLeave(), SHUTDOWN_GRACE_SECONDS);
        m.store.membership().leave(c.sim.now());
        c.runFor(0.5);
        m.crash();
        return took;
    }

    private static Cluster.Member memberExcept(Cluster c, Cluster.Member... not) {
        return c.members.values().stream()
                .filter(m -> !java.util.List.of(not).contains(m))
                .findFirst()
                .orElseThrow();
    }

    private static void assertManifestKept(Cluster c, long version) {
        assertTrue(c.runUntil(() -> c.leaderOf(0) != null, 6) < 3, () -> String.join("\n", c.eventLog));
        assertEquals(version, c.leaderOf(0).store.replicas()[0].records().rows().manifest.version);
    }

    @Test
    void aPlannedReplacementAndALossRightAfterItKeepAllThatWasAcknowledged() throws IOException {
        for (var seed = 0; seed < 10; seed++) {
            var c = threeStores();
            c.runFor(seed * 0.037);
            if (seed > 4) c.oneWayDelayMicros = 35_000;
            var version = putManifest(c);
            var leader = c.leaderOf(0);
            var leaver = seed % 2 == 0 ? leader : memberExcept(c, leader);
            var spare = c.addMember("s4", Node.STORE, leaver.zone);
            c.runFor(1.5);
            var took = stopGracefully(c, leaver);
            assertTrue(took < 5, () -> took + " s\n" + String.join("\n", c.eventLog));
            for (var p = 0; p < Parts.COUNT; p++) {
                var part = p;
                var voters = c.voterNames(p);
                assertTrue(voters.contains("s4") && !voters.contains(leaver.name), () -> "part " + part + voters);
            }
            leaver.loseDisk();
            memberExcept(c, leaver, spare).loseDisk();
            assertManifestKept(c, version);
        }
    }

    @Test
    void aLeaverStaysWhileAnotherVoterLacksWhatItHolds() throws IOException {
        var c = threeStores();
        var leader = c.leaderOf(0);
        var leaver = memberExcept(c, leader);
        var away = memberExcept(c, leader, leaver);
        c.blockedPaths.add(leader.name + ">" + away.name);
        c.blockedPaths.add(away.name + ">" + leader.name);
        var version = putManifest(c);
        c.sim.after(3 * Cluster.MICROS_PER_SECOND, c.blockedPaths::clear);
        var took = stopGracefully(c, leaver);
        leaver.loseDisk();
        leader.loseDisk();
        assertTrue(took > 2.9, () -> "left after " + took + " s");
        var log = away.store.replicas()[0].group();
        assertTrue(log.lastIndex() > 1, () -> "holds " + log.lastIndex() + " entries");
        assertEquals(version, away.store.replicas()[0].records().rows().manifest.version);
    }

    @Test
    void withoutASpareAStoreThatStopsIsGoneSoon() throws IOException {
        for (var leads : new boolean[] {true, false}) {
            var c = threeStores();
            var version = putManifest(c);
            var leader = c.leaderOf(0);
            var took = stopGracefully(c, leads ? leader : memberExcept(c, leader));
            assertTrue(took < 2.5, () -> took + " s\n" + String.join("\n", c.eventLog));
            assertManifestKept(c, version);
        }
    }

    @Test
    void allStoresToldToStopTogetherAreGoneWithinTheGrace() {
        var c = threeStores();
        for (var i = 0; i < SHUTDOWN_GRACE_SECONDS * 10; i++) {
            var up = c.members.values().stream().filter(m -> m.running).toList();
            for (var m : up) if (!m.store.continuePlannedLeave()) m.crash();
            c.runFor(0.1);
        }
        assertTrue(c.members.values().stream().noneMatch(m -> m.running));
    }
}
