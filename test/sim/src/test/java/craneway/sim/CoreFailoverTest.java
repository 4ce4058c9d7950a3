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

/**
 * Bootstrap, failover, restarts and membership changes of a core of three or six stores. Checks how soon every part has
 * a leader and its voters again, that acknowledged configurations survive, and that nodes whose clock went back are not
 * shut out.
 */
class CoreFailoverTest {
    private static final Map<String, String> REGION_BY_ZONE =
            Map.of("z1", "a", "z2", "b", "z3", "c", "z4", "a", "z5", "b", "z6", "c");

    private static Cluster threeStores() {
        var cluster = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.toleratingLosses(1, REGION_BY_ZONE))
                .addStores("z1", "z2", "z3");
        assertTrue(
                cluster.runUntil(cluster::allPartsHaveLeaders, 10) < 8,
                () -> "not founded in time: " + cluster.eventLog);
        cluster.runFor(5);
        return cluster;
    }

    private static Cluster sixStores() {
        var cluster = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.toleratingLosses(2, REGION_BY_ZONE));
        cluster.addStores("z1", "z2", "z3");
        cluster.runUntil(cluster::allPartsHaveLeaders, 10);
        cluster.addMember("s4", Node.STORE, "z4");
        cluster.addMember("s5", Node.STORE, "z5");
        cluster.addMember("s6", Node.STORE, "z6");
        cluster.runFor(12);
        return cluster;
    }

    private static void assertBelow(double maxSeconds, double seconds, Cluster cluster) {
        assertTrue(seconds < maxSeconds, () -> seconds + " s; " + String.join("\n", cluster.eventLog));
    }

    @Test
    void allPartsAreLedByOneStore() {
        var cluster = threeStores();
        for (var part = 1; part < Parts.PART_COUNT; part++)
            assertEquals(cluster.leaderOf(0).name, cluster.leaderOf(part).name);
    }

    @Test
    void aCrashedLeaderIsReplacedWithinTwoSeconds() {
        for (var seed = 0; seed < 20; seed++) {
            var cluster = threeStores();
            cluster.runFor(seed * 0.037);
            var leader = cluster.leaderOf(0);
            leader.crash();
            assertBelow(1.6, cluster.runUntil(() -> cluster.allPartsLedByOtherThan(leader), 5), cluster);
        }
    }

    /** The one-way network delay between distant zones. */
    private static final long LONG_DELAY_MICROS = 35_000;

    /** Cuts the power of all members, or starts them all within 160 ms. */
    private static void switchPower(Cluster cluster, boolean on) {
        for (var member : cluster.members.values()) {
            if (!on) member.losePower();
            else cluster.sim.scheduleAfter((long) (cluster.sim.random.nextDouble() * 160_000), member::start);
        }
    }

    @Test
    void storesThatRestartTogetherElectOneLeaderOfAllPartsAtOnce() {
        for (var seed = 0; seed < 30; seed++) {
            var cluster = threeStores();
            cluster.oneWayDelayMicros = LONG_DELAY_MICROS;
            cluster.runFor(4 + seed * 0.037);
            switchPower(cluster, false);
            cluster.runFor(1.4);
            switchPower(cluster, true);
            cluster.runFor(0.16);
            assertBelow(0.55, cluster.runUntil(cluster::allPartsHaveLeaders, 5), cluster);
            var leader = cluster.leaderOf(0);
            assertTrue(cluster.allPartsLedBy(leader), () -> String.join("\n", cluster.eventLog));
            cluster.runFor(6);
            assertTrue(cluster.allPartsLedBy(leader), () -> String.join("\n", cluster.eventLog));
            assertEquals(
                    Parts.PART_COUNT,
                    cluster.eventLog.stream()
                            .filter(event -> event.contains(" LEADER ") && secondsSince(event, cluster) < 6.8)
                            .count(),
                    () -> String.join("\n", cluster.eventLog));
        }
    }

    private static double secondsSince(String event, Cluster cluster) {
        return cluster.sim.now() / 1e6 - Long.parseLong(event.substring(0, event.indexOf(' '))) / 1e3;
    }

    @Test
    void twoOfThreeRestartedStoresElectALeaderOnceTheOldLeaseHasExpired() {
        for (var seed = 0; seed < 20; seed++) {
            var cluster = threeStores();
            cluster.oneWayDelayMicros = LONG_DELAY_MICROS;
            cluster.runFor(seed * 0.037);
            switchPower(cluster, false);
            cluster.runFor(0.7);
            for (var member : cluster.members.values()) if (!member.name.equals("s" + (1 + seed % 3))) member.start();
            assertBelow(1.2, cluster.runUntil(cluster::allPartsHaveLeaders, 5), cluster);
        }
    }

    @Test
    void aRestartedFollowerDoesNotDisturbTheLeader() {
        for (var seed = 0; seed < 20; seed++) {
            var cluster = threeStores();
            cluster.oneWayDelayMicros = LONG_DELAY_MICROS;
            cluster.runFor(4);
            var leader = cluster.leaderOf(0);
            var follower = cluster.members.values().stream()
                    .filter(member -> member != leader)
                    .skip(seed % 2)
                    .findFirst()
                    .get();
            follower.crash();
            cluster.runFor(0.3 + seed * 0.01);
            follower.start();
            for (var i = 0; i < 60; i++) {
                cluster.runFor(0.02);
                assertTrue(cluster.allPartsLedBy(leader), () -> String.join("\n", cluster.eventLog));
            }
        }
    }

    @Test
    void aLeaderWithAHungDiskIsReplacedAndKeepsSendingHellos() {
        var cluster = threeStores();
        var leader = cluster.leaderOf(0);
        leader.setDiskHung(true);
        assertBelow(1.6, cluster.runUntil(() -> cluster.allPartsLedByOtherThan(leader), 5), cluster);
        cluster.runFor(4);
        var follower = cluster.members.values().stream()
                .filter(member -> member != leader)
                .findFirst()
                .get();
        assertTrue(follower.store.directory().wasHeardRecently(leader.name, cluster.sim.now()));
        leader.setDiskHung(false);
        cluster.runFor(3);
        assertTrue(cluster.allPartsHaveLeaders());
    }

    @Test
    void aLeaderWithAFullDiskIsReplacedAndNotReelectedWhileItIsFull() {
        var cluster = threeStores();
        var leader = cluster.leaderOf(0);
        leader.disk.setFull(true);
        cluster.addMember("r1", Node.ROUTER, "z1");
        assertBelow(2.0, cluster.runUntil(() -> cluster.allPartsLedByOtherThan(leader), 6), cluster);
        for (var i = 0; i < 100; i++) {
            cluster.runFor(0.1);
            assertTrue(cluster.allPartsLedByOtherThan(leader), () -> String.join("\n", cluster.eventLog));
        }
    }

    @Test
    void aStoreThatLostItsDiskBecomesAVoterAgain() {
        for (var name : Set.of("s1", "s2", "s3")) {
            var cluster = threeStores();
            var store = cluster.member(name);
            var oldStoreId = store.storeId();
            store.loseDisk();
            cluster.runFor(0.7);
            store.start();
            assertNotEquals(oldStoreId, store.storeId());
            assertBelow(3.5, cluster.runUntil(() -> cluster.isVoterOfAllParts(store, 3), 10), cluster);
        }
    }

    @Test
    void aStoreThatLostItsDiskBecomesAVoterAgainThoughItsClockWentBack() {
        var cluster = threeStores();
        var store = cluster.member("s2");
        store.loseDisk();
        store.legacyClockOffsetMillis = -20_000;
        cluster.runFor(0.7);
        store.start();
        assertBelow(3.5, cluster.runUntil(() -> cluster.isVoterOfAllParts(store, 3), 10), cluster);
    }

    @Test
    void anEmptyStoreReplacesACrashedOneOfItsZone() {
        var cluster = threeStores();
        cluster.member("s2").crash();
        cluster.runFor(1);
        var replacement = cluster.addMember("s9", Node.STORE, "z2");
        assertBelow(6, cluster.runUntil(() -> cluster.isVoterOfAllParts(replacement, 3), 20), cluster);
    }

    @Test
    void aStoreReplacedDuringAnOutageBecomesAVoterAgainWhenNeeded() {
        var cluster = threeStores();
        var spare = cluster.addMember("s4", Node.STORE, "z1");
        cluster.runFor(2);
        cluster.member("s1").crash();
        assertBelow(6, cluster.runUntil(() -> cluster.isVoterOfAllParts(spare, 3), 20), cluster);
        cluster.member("s1").start();
        cluster.runFor(3);
        spare.crash();
        assertBelow(6, cluster.runUntil(() -> cluster.isVoterOfAllParts(cluster.member("s1"), 3), 20), cluster);
    }

    @Test
    void aDelayedRenewalOfAnEarlierIncarnationMarksNoNewerDiskAsLost() {
        var cluster = threeStores();
        var member = cluster.member("s2");
        var directory = cluster.leaderOf(0).store.directory();
        var earlier = member.store.directory().self().with(1, true);
        earlier.storeId = 77;
        directory.recordReplacement(member.store.directory().self(), earlier);
        assertFalse(directory.isDiskLost(member.storeId()));
        assertFalse(directory.isDiskLost(77));
        directory.recordReplacement(earlier, member.store.directory().self());
        assertTrue(directory.isDiskLost(77));
    }

    @Test
    void fiveOfSixStoresVoteSpreadOverRegions() {
        var cluster = sixStores();
        for (var part = 0; part < Parts.PART_COUNT; part++) {
            var voters = cluster.voterNames(part);
            assertEquals(5, voters.size(), () -> String.join("\n", cluster.eventLog));
            var votersPerRegion = new int[3];
            for (var voter : voters) votersPerRegion[cluster.member(voter).zone.charAt(1) % 3]++;
            for (var count : votersPerRegion) assertTrue(count <= 2, () -> voters.toString());
        }
    }

    @Test
    void sixFoundersSettleOnFiveVoters() {
        var cluster = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.toleratingLosses(2, REGION_BY_ZONE));
        cluster.founderCount = 6;
        cluster.addStores("z1", "z2", "z3", "z4", "z5", "z6");
        assertBelow(
                12,
                cluster.runUntil(() -> cluster.allPartsHaveLeaders() && allPartsHaveFiveVoters(cluster), 20),
                cluster);
    }

    @Test
    void aLostRegionLeavesAMajority() {
        for (var region : Set.of("a", "b", "c")) {
            var cluster = sixStores();
            cluster.members.values().stream()
                    .filter(member -> REGION_BY_ZONE.get(member.zone).equals(region))
                    .forEach(Cluster.Member::crash);
            assertBelow(
                    2,
                    cluster.runUntil(
                            () -> cluster.allPartsHaveLeaders()
                                    && cluster.members.values().stream()
                                            .noneMatch(member -> !member.running && cluster.leaderOf(0) == member),
                            10),
                    cluster);
            cluster.runFor(8);
            assertTrue(cluster.allPartsHaveLeaders());
        }
    }

    @Test
    void twoOfFiveVotersThatLostTheirDisksBecomeVotersAgain() {
        var cluster = sixStores();
        var voters = cluster.voterNames(0).stream().sorted().limit(2).toList();
        voters.forEach(voter -> cluster.member(voter).loseDisk());
        cluster.runFor(0.7);
        voters.forEach(voter -> cluster.member(voter).start());
        assertBelow(6, cluster.runUntil(() -> allPartsHaveFiveVoters(cluster), 20), cluster);
    }

    @Test
    void anAcknowledgedConfigurationSurvivesALostDiskAndPowerLossOfAllOthers() throws Exception {
        var manifestText = Files.readString(Path.of(
                CoreFailoverTest.class.getResource("/craneway/sim/maticar.json").toURI()));
        for (var i = 0; i < 3; i++) {
            var cluster = threeStores();
            var version = new long[1];
            cluster.member("s1")
                    .operator
                    .putManifest(
                            0,
                            manifestText,
                            result ->
                                    version[0] = result.isRight() ? result.get().version() : -1);
            cluster.runUntil(() -> version[0] != 0, 10);
            assertTrue(version[0] > 0, () -> String.join("\n", cluster.eventLog));
            var storeWithoutDisk = cluster.member("s" + (i + 1));
            for (var member : cluster.members.values()) {
                if (member == storeWithoutDisk) member.loseDisk();
                else member.losePower();
            }
            cluster.runFor(0.5);
            cluster.members.values().forEach(Cluster.Member::start);
            assertBelow(4, cluster.runUntil(() -> cluster.leaderOf(0) != null, 15), cluster);
            assertEquals(
                    version[0],
                    cluster.leaderOf(0).store.replicas()[0].records().rows().manifest.version);
            assertBelow(5, cluster.runUntil(() -> cluster.isVoterOfAllParts(storeWithoutDisk, 3), 15), cluster);
        }
    }

    @Test
    void acknowledgedConfigurationsSurviveTwoLostDisksOfSixAndPowerLossOfAllOthers() throws Exception {
        var manifestText = Files.readString(Path.of(
                CoreFailoverTest.class.getResource("/craneway/sim/maticar.json").toURI()));
        var cluster = sixStores();
        var lastVersion = 0L;
        for (var round = 0; round < 12; round++) {
            var version = new long[1];
            var changedManifest = manifestText.replaceFirst(
                    "\"claimRetentionMs\": \\d+", "\"claimRetentionMs\": " + (3_600_000 + round));
            cluster.member("s" + (1 + round % 6))
                    .operator
                    .putManifest(
                            lastVersion,
                            changedManifest,
                            result ->
                                    version[0] = result.isRight() ? result.get().version() : -1);
            cluster.runUntil(() -> version[0] != 0, 20);
            var currentRound = round;
            assertTrue(
                    version[0] > lastVersion,
                    () -> "round " + currentRound + ": " + version[0] + "\n" + String.join("\n", cluster.eventLog));
            lastVersion = version[0];
            var storesWithoutDisk = new HashSet<>(
                    List.of("s" + (1 + cluster.sim.random.nextInt(6)), "s" + (1 + cluster.sim.random.nextInt(6))));
            for (var member : cluster.members.values()) {
                if (storesWithoutDisk.contains(member.name)) member.loseDisk();
                else member.losePower();
            }
            cluster.runFor(0.3 + cluster.sim.random.nextDouble());
            cluster.members.values().forEach(Cluster.Member::start);
            assertBelow(4, cluster.runUntil(() -> cluster.leaderOf(0) != null, 15), cluster);
            assertEquals(
                    lastVersion,
                    cluster.leaderOf(0).store.replicas()[0].records().rows().manifest.version);
            assertBelow(6, cluster.runUntil(() -> allPartsHaveFiveVoters(cluster), 15), cluster);
        }
    }

    private static boolean allPartsHaveFiveVoters(Cluster cluster) {
        for (var part = 0; part < Parts.PART_COUNT; part++)
            if (cluster.leaderOf(part) == null
                    || cluster.voterNames(part).size() != 5
                    || cluster.voterNames(part).contains("?")) return false;
        return true;
    }

    @Test
    void lostMessagesCauseNoLossOfLeadershipOrLeases() {
        var cluster = threeStores();
        cluster.lossRate = 0.05;
        cluster.addRouters(6);
        cluster.runFor(10);
        var leader = cluster.leaderOf(0);
        assertNotNull(leader);
        var leadershipLosses = cluster.eventLog.stream()
                .filter(event -> event.contains("LEADERSHIP_LOST"))
                .count();
        cluster.runFor(30);
        assertEquals(
                leadershipLosses,
                cluster.eventLog.stream()
                        .filter(event -> event.contains("LEADERSHIP_LOST"))
                        .count(),
                () -> String.join("\n", cluster.eventLog));
        for (var member : cluster.members.values())
            if (member.router != null)
                assertTrue(member.router.membership().view().hasLease(0, cluster.sim.now()), member.name);
    }

    @Test
    void aNodeRestartedWithItsClockSetBackIsNotSuperseded() {
        var cluster = threeStores();
        cluster.addRouters(2);
        cluster.runFor(3);
        for (var name : Set.of("r1", "s3")) {
            var member = cluster.member(name);
            member.crash();
            member.legacyClockOffsetMillis = -3_600_000;
            cluster.runFor(1);
            member.start();
            cluster.runFor(4);
            var membership = member.store == null ? member.router.membership() : member.store.membership();
            assertFalse(membership.isSuperseded());
            assertTrue(
                    membership.view().hasLease(0, cluster.sim.now()),
                    () -> name + "\n" + String.join("\n", cluster.eventLog));
        }
    }

    @Test
    void aClockThatWentBackBeforeTheBootstrapDoesNotDelayIt() {
        var cluster = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.THREE_VOTERS);
        cluster.addMember("s1", Node.STORE, "z1");
        cluster.addMember("s2", Node.STORE, "z2");
        cluster.runFor(2);
        var store = cluster.member("s2");
        store.crash();
        store.legacyClockOffsetMillis = -60_000;
        store.start();
        cluster.runFor(5);
        cluster.addMember("s3", Node.STORE, "z3");
        assertBelow(8, cluster.runUntil(cluster::allPartsHaveLeaders, 30), cluster);
    }
}
