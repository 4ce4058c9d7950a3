package craneway.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.control.store.Quorum;
import craneway.model.unit.Parts;
import craneway.model.unit.TimingProfile;
import craneway.state.message.Node;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class CoreTest {
    private static final Map<String, String> REGIONS =
            Map.of("z1", "a", "z2", "b", "z3", "c", "z4", "a", "z5", "b", "z6", "c");

    private static Cluster three() {
        var c = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.toleratingLosses(1, REGIONS)).stores("z1", "z2", "z3");
        assertTrue(c.until(c::owned, 10) < 8, () -> "founding: " + c.notes);
        c.run(5);
        return c;
    }

    private static Cluster six() {
        var c = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.toleratingLosses(2, REGIONS));
        c.stores("z1", "z2", "z3");
        c.until(c::owned, 10);
        c.add("s4", Node.STORE, "z4");
        c.add("s5", Node.STORE, "z5");
        c.add("s6", Node.STORE, "z6");
        c.run(12);
        return c;
    }

    private static void under(double most, double is, Cluster c) {
        assertTrue(is < most, () -> is + " s; " + String.join("\n", c.notes));
    }

    @Test
    void allPartsGatherAtOneOwner() {
        var c = three();
        for (var p = 1; p < Parts.COUNT; p++) assertEquals(c.owner(0).name, c.owner(p).name);
    }

    @Test
    void aLostOwnerIsReplacedSoon() {
        for (var seed = 0; seed < 20; seed++) {
            var c = three();
            c.run(seed * 0.037);
            var o = c.owner(0);
            o.crash();
            under(1.6, c.until(() -> c.ownedBut(o), 5), c);
        }
    }

    private static final long FAR = 35_000;

    private static void lights(Cluster c, boolean on) {
        for (var m : c.members.values()) {
            if (!on) m.losePower();
            else c.sim.scheduleAfter((long) (c.sim.random.nextDouble() * 160_000), m::start);
        }
    }

    @Test
    void storesThatAllStartAgainElectOneOwnerAtOnce() {
        for (var seed = 0; seed < 30; seed++) {
            var c = three();
            c.delay = FAR;
            c.run(4 + seed * 0.037);
            lights(c, false);
            c.run(1.4);
            lights(c, true);
            c.run(0.16);
            under(0.55, c.until(c::owned, 5), c);
            var o = c.owner(0);
            assertTrue(c.ownedBy(o), () -> String.join("\n", c.notes));
            c.run(6);
            assertTrue(c.ownedBy(o), () -> String.join("\n", c.notes));
            assertEquals(
                    Parts.COUNT,
                    c.notes.stream()
                            .filter(n -> n.contains(" LEADER ") && since(n, c) < 6.8)
                            .count(),
                    () -> String.join("\n", c.notes));
        }
    }

    private static double since(String note, Cluster c) {
        return c.sim.now() / 1e6 - Long.parseLong(note.substring(0, note.indexOf(' '))) / 1e3;
    }

    @Test
    void twoOfThreeThatStartAgainElectAnOwnerOnceAnOldLeaseIsOver() {
        for (var seed = 0; seed < 20; seed++) {
            var c = three();
            c.delay = FAR;
            c.run(seed * 0.037);
            lights(c, false);
            c.run(0.7);
            for (var m : c.members.values()) if (!m.name.equals("s" + (1 + seed % 3))) m.start();
            under(1.2, c.until(c::owned, 5), c);
        }
    }

    @Test
    void aStoreThatStartsAgainDisturbsNoOwner() {
        for (var seed = 0; seed < 20; seed++) {
            var c = three();
            c.delay = FAR;
            c.run(4);
            var o = c.owner(0);
            var m = c.members.values().stream()
                    .filter(x -> x != o)
                    .skip(seed % 2)
                    .findFirst()
                    .get();
            m.crash();
            c.run(0.3 + seed * 0.01);
            m.start();
            for (var i = 0; i < 60; i++) {
                c.run(0.02);
                assertTrue(c.ownedBy(o), () -> String.join("\n", c.notes));
            }
        }
    }

    @Test
    void anOwnerWhoseDiskHangsIsReplacedAndGoesOnSayingHello() {
        var c = three();
        var o = c.owner(0);
        o.hang(true);
        under(1.6, c.until(() -> c.ownedBut(o), 5), c);
        c.run(4);
        var other = c.members.values().stream().filter(m -> m != o).findFirst().get();
        assertTrue(other.store.directory().wasHeardRecently(o.name, c.sim.now()));
        o.hang(false);
        c.run(3);
        assertTrue(c.owned());
    }

    @Test
    void anOwnerWhoseDiskIsFullIsReplacedAndDoesNotComeBackWhileItIs() {
        var c = three();
        var o = c.owner(0);
        o.disk.setFull(true);
        c.add("r1", Node.ROUTER, "z1");
        under(2.0, c.until(() -> c.ownedBut(o), 6), c);
        for (var i = 0; i < 100; i++) {
            c.run(0.1);
            assertTrue(c.ownedBut(o), () -> String.join("\n", c.notes));
        }
    }

    @Test
    void aStoreBackWithoutItsDiskVotesAgainSoon() {
        for (var name : Set.of("s1", "s2", "s3")) {
            var c = three();
            var m = c.get(name);
            var old = m.storeId();
            m.loseDisk();
            c.run(0.7);
            m.start();
            assertNotEquals(old, m.storeId());
            under(3.5, c.until(() -> c.votesEverywhere(m, 3), 10), c);
        }
    }

    @Test
    void aStoreBackWithoutItsDiskVotesAgainSoonThoughItsClockWentBack() {
        var c = three();
        var m = c.get("s2");
        m.loseDisk();
        m.wall = -20_000;
        c.run(0.7);
        m.start();
        under(3.5, c.until(() -> c.votesEverywhere(m, 3), 10), c);
    }

    @Test
    void anEmptyStoreReplacesARemovedOneOfItsZone() {
        var c = three();
        c.get("s2").crash();
        c.run(1);
        var s = c.add("s9", Node.STORE, "z2");
        under(6, c.until(() -> c.votesEverywhere(s, 3), 20), c);
    }

    @Test
    void aStoreReplacedWhileAwayIsTakenBackWhenItIsNeeded() {
        var c = three();
        var spare = c.add("s4", Node.STORE, "z1");
        c.run(2);
        c.get("s1").crash();
        under(6, c.until(() -> c.votesEverywhere(spare, 3), 20), c);
        c.get("s1").start();
        c.run(3);
        spare.crash();
        under(6, c.until(() -> c.votesEverywhere(c.get("s1"), 3), 20), c);
    }

    @Test
    void aDelayedRenewalOfAnOldLifeCondemnsNobody() {
        var c = three();
        var m = c.get("s2");
        var d = c.owner(0).store.directory();
        var old = m.store.directory().self().with(1, true);
        old.storeId = 77;
        d.recordReplacement(m.store.directory().self(), old);
        assertFalse(d.isDiskLost(m.storeId()));
        assertFalse(d.isDiskLost(77));
        d.recordReplacement(old, m.store.directory().self());
        assertTrue(d.isDiskLost(77));
    }

    @Test
    void fiveOfSixVoteSpreadOverRegions() {
        var c = six();
        for (var p = 0; p < Parts.COUNT; p++) {
            var voters = c.voters(p);
            assertEquals(5, voters.size(), () -> String.join("\n", c.notes));
            var region = new int[3];
            for (var v : voters) region[c.get(v).zone.charAt(1) % 3]++;
            for (var n : region) assertTrue(n <= 2, () -> voters.toString());
        }
    }

    @Test
    void sixFoundersSettleOnFiveVoters() {
        var c = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.toleratingLosses(2, REGIONS));
        c.founders = 6;
        c.stores("z1", "z2", "z3", "z4", "z5", "z6");
        under(12, c.until(() -> c.owned() && fiveLive(c), 20), c);
    }

    @Test
    void aLostRegionLeavesAMajority() {
        for (var region : Set.of("a", "b", "c")) {
            var c = six();
            c.members.values().stream()
                    .filter(m -> REGIONS.get(m.zone).equals(region))
                    .forEach(Cluster.Member::crash);
            under(
                    2,
                    c.until(
                            () -> c.owned() && c.members.values().stream().noneMatch(m -> !m.up && c.owner(0) == m),
                            10),
                    c);
            c.run(8);
            assertTrue(c.owned());
        }
    }

    @Test
    void twoLostDisksOfFiveVotersAreMadeUpFor() {
        var c = six();
        var voters = c.voters(0).stream().sorted().limit(2).toList();
        voters.forEach(v -> c.get(v).loseDisk());
        c.run(0.7);
        voters.forEach(v -> c.get(v).start());
        under(6, c.until(() -> fiveLive(c), 20), c);
    }

    @Test
    void whatWasAcknowledgedOutlivesALostDiskAndPowerLossOfAllOthers() throws Exception {
        var text = Files.readString(
                Path.of(CoreTest.class.getResource("/craneway/sim/maticar.json").toURI()));
        for (var i = 0; i < 3; i++) {
            var c = three();
            var version = new long[1];
            c.get("s1")
                    .operator
                    .putManifest(
                            0, text, r -> version[0] = r.isRight() ? r.get().version() : -1);
            c.until(() -> version[0] != 0, 10);
            assertTrue(version[0] > 0, () -> String.join("\n", c.notes));
            var victim = c.get("s" + (i + 1));
            for (var m : c.members.values()) {
                if (m == victim) m.loseDisk();
                else m.losePower();
            }
            c.run(0.5);
            c.members.values().forEach(Cluster.Member::start);
            under(4, c.until(() -> c.owner(0) != null, 15), c);
            assertEquals(version[0], c.owner(0).store.replicas()[0].records().rows().manifest.version);
            under(5, c.until(() -> c.votesEverywhere(victim, 3), 15), c);
        }
    }

    @Test
    void whatWasAcknowledgedOutlivesTwoLostDisksOfSixAndPowerLossOfAllOthers() throws Exception {
        var text = Files.readString(
                Path.of(CoreTest.class.getResource("/craneway/sim/maticar.json").toURI()));
        var c = six();
        var last = 0L;
        for (var round = 0; round < 12; round++) {
            var version = new long[1];
            var changed =
                    text.replaceFirst("\"claimRetentionMs\": \\d+", "\"claimRetentionMs\": " + (3_600_000 + round));
            c.get("s" + (1 + round % 6))
                    .operator
                    .putManifest(
                            last,
                            changed,
                            r -> version[0] = r.isRight() ? r.get().version() : -1);
            c.until(() -> version[0] != 0, 20);
            var is = round;
            assertTrue(version[0] > last, () -> "round " + is + ": " + version[0] + "\n" + String.join("\n", c.notes));
            last = version[0];
            var lost = new HashSet<>(List.of("s" + (1 + c.sim.random.nextInt(6)), "s" + (1 + c.sim.random.nextInt(6))));
            for (var m : c.members.values()) {
                if (lost.contains(m.name)) m.loseDisk();
                else m.losePower();
            }
            c.run(0.3 + c.sim.random.nextDouble());
            c.members.values().forEach(Cluster.Member::start);
            under(4, c.until(() -> c.owner(0) != null, 15), c);
            assertEquals(last, c.owner(0).store.replicas()[0].records().rows().manifest.version);
            under(6, c.until(() -> fiveLive(c), 15), c);
        }
    }

    private static boolean fiveLive(Cluster c) {
        for (var p = 0; p < Parts.COUNT; p++)
            if (c.owner(p) == null || c.voters(p).size() != 5 || c.voters(p).contains("?")) return false;
        return true;
    }

    @Test
    void lostDatagramsAreMadeUpFor() {
        var c = three();
        c.lost = 0.05;
        c.routers(6);
        c.run(10);
        var o = c.owner(0);
        assertNotNull(o);
        var lapses = c.notes.stream().filter(n -> n.contains("LEADERSHIP_LOST")).count();
        c.run(30);
        assertEquals(
                lapses,
                c.notes.stream().filter(n -> n.contains("LEADERSHIP_LOST")).count(),
                () -> String.join("\n", c.notes));
        for (var m : c.members.values())
            if (m.router != null) assertTrue(m.router.membership().view().hasLease(0, c.sim.now()), m.name);
    }

    @Test
    void aNodeRestartedWithItsClockBackIsNotStaleForEver() {
        var c = three();
        c.routers(2);
        c.run(3);
        for (var n : Set.of("r1", "s3")) {
            var m = c.get(n);
            m.crash();
            m.wall = -3_600_000;
            c.run(1);
            m.start();
            c.run(4);
            var v = m.store == null ? m.router.membership() : m.store.membership();
            assertFalse(v.isSuperseded());
            assertTrue(v.view().hasLease(0, c.sim.now()), () -> n + "\n" + String.join("\n", c.notes));
        }
    }

    @Test
    void aClockThatWentBackBeforeTheFoundingDoesNotHoldItUp() {
        var c = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.THREE_VOTERS);
        c.add("s1", Node.STORE, "z1");
        c.add("s2", Node.STORE, "z2");
        c.run(2);
        var m = c.get("s2");
        m.crash();
        m.wall = -60_000;
        m.start();
        c.run(5);
        c.add("s3", Node.STORE, "z3");
        under(8, c.until(c::owned, 30), c);
    }
}
