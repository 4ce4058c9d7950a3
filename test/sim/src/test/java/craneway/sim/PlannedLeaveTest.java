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
    private static final double GRACE = 6.5;

    private static Cluster three() {
        var c = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.THREE_VOTERS).stores("z1", "z2", "z3");
        c.until(c::owned, 10);
        c.run(5);
        return c;
    }

    private static long order(Cluster c) throws IOException {
        var resource = PlannedLeaveTest.class.getResource("/craneway/sim/maticar.json");
        var text = Files.readString(Path.of(resource.getPath()));
        var version = new long[1];
        c.owner(0)
                .operator
                .putManifest(0, text, r -> version[0] = r.isRight() ? r.get().version() : -1);
        c.until(() -> version[0] != 0, 10);
        assertTrue(version[0] > 0, () -> String.join("\n", c.notes));
        return version[0];
    }

    /** What the process does at SIGTERM, and the seconds it took. */
    private static double stop(Cluster c, Cluster.Member m) {
        var took = c.until(() -> !m.store.continuePlannedLeave(), GRACE);
        m.store.membership().leave(c.sim.now());
        c.run(0.5);
        m.crash();
        return took;
    }

    private static Cluster.Member other(Cluster c, Cluster.Member... not) {
        return c.members.values().stream()
                .filter(m -> !java.util.List.of(not).contains(m))
                .findFirst()
                .orElseThrow();
    }

    private static void holds(Cluster c, long version) {
        assertTrue(c.until(() -> c.owner(0) != null, 6) < 3, () -> String.join("\n", c.notes));
        assertEquals(version, c.owner(0).store.replicas()[0].records().rows().manifest.version);
    }

    @Test
    void aPlannedReplacementAndALossRightAfterItKeepAllThatWasAcknowledged() throws IOException {
        for (var seed = 0; seed < 10; seed++) {
            var c = three();
            c.run(seed * 0.037);
            if (seed > 4) c.delay = 35_000;
            var version = order(c);
            var leader = c.owner(0);
            var leaver = seed % 2 == 0 ? leader : other(c, leader);
            var spare = c.add("s4", Node.STORE, leaver.zone);
            c.run(1.5);
            var took = stop(c, leaver);
            assertTrue(took < 5, () -> took + " s\n" + String.join("\n", c.notes));
            for (var p = 0; p < Parts.COUNT; p++) {
                var part = p;
                var voters = c.voters(p);
                assertTrue(voters.contains("s4") && !voters.contains(leaver.name), () -> "part " + part + voters);
            }
            leaver.loseDisk();
            other(c, leaver, spare).loseDisk();
            holds(c, version);
        }
    }

    @Test
    void aLeaverStaysWhileAnotherVoterLacksWhatItHolds() throws IOException {
        var c = three();
        var leader = c.owner(0);
        var leaver = other(c, leader);
        var away = other(c, leader, leaver);
        c.cut.add(leader.name + ">" + away.name);
        c.cut.add(away.name + ">" + leader.name);
        var version = order(c);
        c.sim.scheduleAfter(3 * Cluster.SECOND, c.cut::clear);
        var took = stop(c, leaver);
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
            var c = three();
            var version = order(c);
            var leader = c.owner(0);
            var took = stop(c, leads ? leader : other(c, leader));
            assertTrue(took < 2.5, () -> took + " s\n" + String.join("\n", c.notes));
            holds(c, version);
        }
    }

    @Test
    void allStoresToldToStopTogetherAreGoneWithinTheGrace() {
        var c = three();
        for (var i = 0; i < GRACE * 10; i++) {
            var up = c.members.values().stream().filter(m -> m.up).toList();
            for (var m : up) if (!m.store.continuePlannedLeave()) m.crash();
            c.run(0.1);
        }
        assertTrue(c.members.values().stream().noneMatch(m -> m.up));
    }
}
