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

class CoreFailoverTest {
    private static final Map<String, String> REGIONS =
            Map.of("z1", "a", "z2", "b", "z3", "c", "z4", "a", "z5", "b", "z6", "c");

    private static Cluster threeStores() {
        var c = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.toleratingLosses(1, REGIONS)).addStores("z1", "z2", "z3");
        assertTrue(c.runUntil(c::allPartsHaveLeaders, 10) < 8, () -> "founding: " + c.eventLog);
        c.runFor(5);
        return c;
    }

    private static Cluster sixStores() {
        var c = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.toleratingLosses(2, REGIONS));
        c.addStores("z1", "z2", "z3");
        c.runUntil(c::allPartsHaveLeaders, 10);
        c.addMember("s4", Node.STORE, "z4");
        c.addMember("s5", Node.STORE, "z5");
        c.addMember("s6", Node.STORE, "z6");
        c.runFor(12);
        return c;
    }

    private static void assertBelow(double most, double is, Cluster c) {
        assertTrue(is < most, () -> is + " s; " + String.join("\n", c.eventLog));
    }

    @Test
    void allPartsGatherAtOneOwner() {
        var c = threeStores();
        for (var p = 1; p < Parts.COUNT; p++) assertEquals(c.leaderOf(0).name, c.leaderOf(p).name);
    }

    @Test
    void aLostOwnerIsReplacedSoon() {
        for (var seed = 0; seed < 20; seed++) {
            var c = threeStores();
            c.runFor(seed * 0.037);
            var o = c.leaderOf(0);
            o.crash();
            assertBelow(1.6, c.runUntil(() -> c.allPartsLedByOtherThan(o), 5), c);
        }
    }

    private static final long LONG_DELAY_MICROS = 35_000;

    private static void switchPower(Cluster c, boolean on) {
        for (var m : c.members.values()) {
            if (!on) m.losePower();
            else c.sim.after((long) (c.sim.random.nextDouble() * 160_000), m::start);
        }
    }

    @Test
    void storesThatAllStartAgainElectOneOwnerAtOnce() {
        for (var seed = 0; seed < 30; seed++) {
            var c = threeStores();
            c.oneWayDelayMicros = LONG_DELAY_MICROS;
            c.runFor(4 + seed * 0.037);
            switchPower(c, false);
            c.runFor(1.4);
            switchPower(c, true);
            c.runFor(0.16);
            assertBelow(0.55, c.runUntil(c::allPartsHaveLeaders, 5), c);
            var o = c.leaderOf(0);
            assertTrue(c.allPartsLedBy(o), () -> String.join("\n", c.eventLog));
            c.runFor(6);
            assertTrue(c.allPartsLedBy(o), () -> String.join("\n", c.eventLog));
            assertEquals(
                    Parts.COUNT,
                    c.eventLog.stream()
                            .filter(n -> n.contains(" LEADER ") && secondsSince(n, c) < 6.8)
                            .count(),
                    () -> String.join("\n", c.eventLog));
        }
    }

    private static double secondsSince(String note, Cluster c) {
        return c.sim.now() / 1e6 - Long.parseLong(note.substring(0, note.indexOf(' '))) / 1e3;
    }

    @Test
    void twoOfThreeThatStartAgainElectAnOwnerOnceAnOldLeaseIsOver() {
        for (var seed = 0; seed < 20; seed++) {
            var c = threeStores();
            c.oneWayDelayMicros = LONG_DELAY_MICROS;
            c.runFor(seed * 0.037);
            switchPower(c, false);
            c.runFor(0.7);
            for (var m : c.members.values()) if (!m.name.equals("s" + (1 + seed % 3))) m.start();
            assertBelow(1.2, c.runUntil(c::allPartsHaveLeaders, 5), c);
        }
    }

    @Test
    void aStoreThatStartsAgainDisturbsNoOwner() {
        for (var seed = 0; seed < 20; seed++) {
            var c = threeStores();
            c.oneWayDelayMicros = LONG_DELAY_MICROS;
            c.runFor(4);
            var o = c.leaderOf(0);
            var m = c.members.values().stream()
                    .filter(x -> x != o)
                    .skip(seed % 2)
                    .findFirst()
                    .get();
            m.crash();
            c.runFor(0.3 + seed * 0.01);
            m.start();
            for (var i = 0; i < 60; i++) {
                c.runFor(0.02);
                assertTrue(c.allPartsLedBy(o), () -> String.join("\n", c.eventLog));
            }
        }
    }

    @Test
    void anOwnerWhoseDiskHangsIsReplacedAndGoesOnSayingHello() {
        var c = threeStores();
        var o = c.leaderOf(0);
        o.setDiskHung(true);
        assertBelow(1.6, c.runUntil(() -> c.allPartsLedByOtherThan(o), 5), c);
        c.runFor(4);
        var other = c.members.values().stream().filter(m -> m != o).findFirst().get();
        assertTrue(other.store.directory().wasHeardRecently(o.name, c.sim.now()));
        o.setDiskHung(false);
        c.runFor(3);
        assertTrue(c.allPartsHaveLeaders());
    }

    @Test
    void anOwnerWhoseDiskIsFullIsReplacedAndDoesNotComeBackWhileItIs() {
        var c = threeStores();
        var o = c.leaderOf(0);
        o.disk.full(true);
        c.addMember("r1", Node.ROUTER, "z1");
        assertBelow(2.0, c.runUntil(() -> c.allPartsLedByOtherThan(o), 6), c);
        for (var i = 0; i < 100; i++) {
            c.runFor(0.1);
            assertTrue(c.allPartsLedByOtherThan(o), () -> String.join("\n", c.eventLog));
        }
    }

    @Test
    void aStoreBackWithoutItsDiskVotesAgainSoon() {
        for (var name : Set.of("s1", "s2", "s3")) {
            var c = threeStores();
            var m = c.member(name);
            var old = m.storeId();
            m.loseDisk();
            c.runFor(0.7);
            m.start();
            assertNotEquals(old, m.storeId());
            assertBelow(3.5, c.runUntil(() -> c.isVoterOfAllParts(m, 3), 10), c);
        }
    }

    @Test
    void aStoreBackWithoutItsDiskVotesAgainSoonThoughItsClockWentBack() {
        var c = threeStores();
        var m = c.member("s2");
        m.loseDisk();
        m.legacyClockOffsetMillis = -20_000;
        c.runFor(0.7);
        m.start();
        assertBelow(3.5, c.runUntil(() -> c.isVoterOfAllParts(m, 3), 10), c);
    }

    @Test
    void anEmptyStoreReplacesARemovedOneOfItsZone() {
        var c = threeStores();
        c.member("s2").crash();
        c.runFor(1);
        var s = c.addMember("s9", Node.STORE, "z2");
        assertBelow(6, c.runUntil(() -> c.isVoterOfAllParts(s, 3), 20), c);
    }

    @Test
    void aStoreReplacedWhileAwayIsTakenBackWhenItIsNeeded() {
        var c = threeStores();
        var spare = c.addMember("s4", Node.STORE, "z1");
        c.runFor(2);
        c.member("s1").crash();
        assertBelow(6, c.runUntil(() -> c.isVoterOfAllParts(spare, 3), 20), c);
        c.member("s1").start();
        c.runFor(3);
        spare.crash();
        assertBelow(6, c.runUntil(() -> c.isVoterOfAllParts(c.member("s1"), 3), 20), c);
    }

    @Test
    void aDelayedRenewalOfAnOldLifeCondemnsNobody() {
        var c = threeStores();
        var m = c.member("s2");
        var d = c.leaderOf(0).store.directory();
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
        var c = sixStores();
        for (var p = 0; p < Parts.COUNT; p++) {
            var voters = c.voterNames(p);
            assertEquals(5, voters.size(), () -> String.join("\n", c.eventLog));
            var region = new int[3];
            for (var v : voters) region[c.member(v).zone.charAt(1) % 3]++;
            for (var n : region) assertTrue(n <= 2, () -> voters.toString());
        }
    }

    @Test
    void sixFoundersSettleOnFiveVoters() {
        var c = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.toleratingLosses(2, REGIONS));
        c.founderCount = 6;
        c.addStores("z1", "z2", "z3", "z4", "z5", "z6");
        assertBelow(12, c.runUntil(() -> c.allPartsHaveLeaders() && allPartsHaveFiveVoters(c), 20), c);
    }

    @Test
    void aLostRegionLeavesAMajority() {
        for (var region : Set.of("a", "b", "c")) {
            var c = sixStores();
            c.members.values().stream()
                    .filter(m -> REGIONS.get(m.zone).equals(region))
                    .forEach(Cluster.Member::crash);
            assertBelow(
                    2,
                    c.runUntil(
                            () -> c.allPartsHaveLeaders() && c.members.values().stream().noneMatch(m -> !m.running && c.leaderOf(0) == m),
                            10),
                    c);
            c.runFor(8);
            assertTrue(c.allPartsHaveLeaders());
        }
    }

    @Test
    void twoLostDisksOfFiveVotersAreMadeUpFor() {
        var c = sixStores();
        var voters = c.voterNames(0).stream().sorted().limit(2).toList();
        voters.forEach(v -> c.member(v).loseDisk());
        c.runFor(0.7);
        voters.forEach(v -> c.member(v).start());
        assertBelow(6, c.runUntil(() -> allPartsHaveFiveVoters(c), 20), c);
    }

    @Test
    void whatWasAcknowledgedOutlivesALostDiskAndPowerLossOfAllOthers() throws Exception {
        var text = Files.readString(
                Path.of(CoreFailoverTest.class.getResource("/craneway/sim/maticar.json").toURI()));
        for (var i = 0; i < 3; i++) {
            var c = threeStores();
            var version = new long[1];
            c.member("s1")
                    .operator
                    .putManifest(
                            0, text, r -> version[0] = r.isRight() ? r.get().version() : -1);
            c.runUntil(() -> version[0] != 0, 10);
            assertTrue(version[0] > 0, () -> String.join("\n", c.eventLog));
            var victim = c.member("s" + (i + 1));
            for (var m : c.members.values()) {
                if (m == victim) m.loseDisk();
                else m.losePower();
            }
            c.runFor(0.5);
            c.members.values().forEach(Cluster.Member::start);
            assertBelow(4, c.runUntil(() -> c.leaderOf(0) != null, 15), c);
            assertEquals(version[0], c.leaderOf(0).store.replicas()[0].records().rows().manifest.version);
            assertBelow(5, c.runUntil(() -> c.isVoterOfAllParts(victim, 3), 15), c);
        }
    }

    @Test
    void whatWasAcknowledgedOutlivesTwoLostDisksOfSixAndPowerLossOfAllOthers() throws Exception {
        var text = Files.readString(
                Path.of(CoreFailoverTest.class.getResource("/craneway/sim/maticar.json").toURI()));
        var c = sixStores();
        var last = 0L;
        for (var round = 0; round < 12; round++) {
            var version = new long[1];
            var changed =
                    text.replaceFirst("\"claimRetentionMs\": \\d+", "\"claimRetentionMs\": " + (3_600_000 + round));
            c.member("s" + (1 + round % 6))
                    .operator
                    .putManifest(
                            last,
                            changed,
                            r -> version[0] = r.isRight() ? r.get().version() : -1);
            c.runUntil(() -> version[0] != 0, 20);
            var is = round;
            assertTrue(version[0] > last, () -> "round " + is + ": " + version[0] + "\n" + String.join("\n", c.eventLog));
            last = version[0];
            var lost = new HashSet<>(List.of("s" + (1 + c.sim.random.nextInt(6)), "s" + (1 + c.sim.random.nextInt(6))));
            for (var m : c.members.values()) {
                if (lost.contains(m.name)) m.loseDisk();
                else m.losePower();
            }
            c.runFor(0.3 + c.sim.random.nextDouble());
            c.members.values().forEach(Cluster.Member::start);
            assertBelow(4, c.runUntil(() -> c.leaderOf(0) != null, 15), c);
            assertEquals(last, c.leaderOf(0).store.replicas()[0].records().rows().manifest.version);
            assertBelow(6, c.runUntil(() -> allPartsHaveFiveVoters(c), 15), c);
        }
    }

    private static boolean allPartsHaveFiveVoters(Cluster c) {
        for (var p = 0; p < Parts.COUNT; p++)
            if (c.leaderOf(p) == null || c.voterNames(p).size() != 5 || c.voterNames(p).contains("?")) return false;
        return true;
    }

    @Test
    void lostDatagramsAreMadeUpFor() {
        var c = threeStores();
        c.lossRate = 0.05;
        c.addRouters(6);
        c.runFor(10);
        var o = c.leaderOf(0);
        assertNotNull(o);
        var lapses = c.eventLog.stream().filter(n -> n.contains("LEADERSHIP_LOST")).count();
        c.runFor(30);
        assertEquals(
                lapses,
                c.eventLog.stream().filter(n -> n.contains("LEADERSHIP_LOST")).count(),
                () -> String.join("\n", c.eventLog));
        for (var m : c.members.values())
            if (m.router != null) assertTrue(m.router.membership().view().hasLease(0, c.sim.now()), m.name);
    }

    @Test
    void aNodeRestartedWithItsClockBackIsNotStaleForEver() {
        var c = threeStores();
        c.addRouters(2);
        c.runFor(3);
        for (var n : Set.of("r1", "s3")) {
            var m = c.member(n);
            m.crash();
            m.legacyClockOffsetMillis = -3_600_000;
            c.runFor(1);
            m.start();
            c.runFor(4);
            var v = m.store == null ? m.router.membership() : m.store.membership();
            assertFalse(v.isSuperseded());
            assertTrue(v.view().hasLease(0, c.sim.now()), () -> n + "\n" + String.join("\n", c.eventLog));
        }
    }

    @Test
    void aClockThatWentBackBeforeTheFoundingDoesNotHoldItUp() {
        var c = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.THREE_VOTERS);
        c.addMember("s1", Node.STORE, "z1");
        c.addMember("s2", Node.STORE, "z2");
        c.runFor(2);
        var m = c.member("s2");
        m.crash();
        m.legacyClockOffsetMillis = -60_000;
        m.start();
        c.runFor(5);
        c.addMember("s3", Node.STORE, "z3");
        assertBelow(8, c.runUntil(c::allPartsHaveLeaders, 30), c);
    }
}
