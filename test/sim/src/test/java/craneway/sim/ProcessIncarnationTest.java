package craneway.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.control.node.Membership;
import craneway.control.store.Quorum;
import craneway.model.unit.Parts;
import craneway.model.unit.TimingProfile;
import craneway.state.message.Codec;
import craneway.state.message.Messages.Renewal;
import craneway.state.message.Messages.Renewals;
import craneway.state.message.Node;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Successive and concurrent processes under one name: restarts with a clock that was set back, late messages of an
 * earlier incarnation, and two running processes with the same name. The newest incarnation must get its leases and
 * never be superseded by an earlier one.
 */
class ProcessIncarnationTest {
    private static final Map<String, String> REGION_BY_ZONE = Map.of("z1", "a", "z2", "b", "z3", "c");

    private static Cluster threeStoresThreeRouters(TimingProfile timingProfile) {
        var cluster =
                new Cluster(timingProfile, Quorum.toleratingLosses(1, REGION_BY_ZONE)).addStores("z1", "z2", "z3");
        assertTrue(
                cluster.runUntil(cluster::allPartsHaveLeaders, 10) < 8,
                () -> "not founded in time: " + cluster.eventLog);
        cluster.addRouters(3);
        cluster.runFor(8);
        return cluster;
    }

    private static Membership membership(Cluster.Member member) {
        return member.store == null ? member.router.membership() : member.store.membership();
    }

    private static boolean holdsAllLeases(Cluster.Member member, Cluster cluster) {
        var view = membership(member).view();
        for (var part = 0; part < Parts.PART_COUNT; part++) if (!view.hasLease(part, cluster.sim.now())) return false;
        return true;
    }

    private static String eventLog(Cluster cluster) {
        return String.join("\n", cluster.eventLog);
    }

    private static Node copyOf(Node node) {
        return Codec.decode(Node.class, Codec.encode(node));
    }

    /**
     * Leaves while the leader of part 1 does not receive it, so that this part keeps the row of the ended incarnation.
     */
    private static void leaveAllButOnePart(Cluster cluster, Cluster.Member member) {
        var unreachedLeader = cluster.members.values().stream()
                .filter(candidate -> candidate != member && candidate.store != null && cluster.leaderOf(1) == candidate)
                .findFirst()
                .orElseThrow();
        cluster.blockedPaths.add(member.name + ">" + unreachedLeader.name);
        membership(member).leave(cluster.sim.now());
        cluster.runFor(4);
        member.crash();
        cluster.blockedPaths.clear();
    }

    @ParameterizedTest
    @ValueSource(longs = {0, -20_000})
    void aRouterThatLeftAllPartsButOneIsNotSupersededByItsOwnRow(long clockOffsetMillis) {
        var cluster = threeStoresThreeRouters(TimingProfile.STANDARD);
        var router = cluster.member("r1");
        leaveAllButOnePart(cluster, router);
        router.legacyClockOffsetMillis = clockOffsetMillis;
        router.start();
        cluster.runFor(4);
        assertFalse(membership(router).isSuperseded(), () -> eventLog(cluster));
        assertTrue(holdsAllLeases(router, cluster), () -> eventLog(cluster));
    }

    @ParameterizedTest
    @ValueSource(longs = {0, -20_000})
    void aStoreThatLeftAllPartsButOneBecomesAVoterAgainWithoutItsDisk(long clockOffsetMillis) {
        var cluster = threeStoresThreeRouters(TimingProfile.STANDARD);
        var store = cluster.members.values().stream()
                .filter(member ->
                        member.store != null && cluster.leaderOf(0) != member && cluster.leaderOf(1) != member)
                .findFirst()
                .orElseThrow();
        leaveAllButOnePart(cluster, store);
        store.loseDisk();
        store.legacyClockOffsetMillis = clockOffsetMillis;
        store.start();
        cluster.runFor(6);
        assertFalse(membership(store).isSuperseded(), () -> eventLog(cluster));
        assertTrue(cluster.isVoterOfAllParts(store, 3), () -> eventLog(cluster));
    }

    /**
     * Only the rows of the core know the earlier incarnation, whose disk is lost; the new one must not be taken for it.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, -20_000})
    void aStoreThatLostItsDiskBecomesAVoterAgainThoughAllStoresRestart(long clockOffsetMillis) {
        for (var name : List.of("s1", "s2", "s3")) {
            var cluster = threeStoresThreeRouters(TimingProfile.LOW_TRAFFIC);
            var storeWithoutDisk = cluster.member(name);
            for (var member : cluster.members.values()) {
                if (member == storeWithoutDisk) member.loseDisk();
                else member.losePower();
            }
            storeWithoutDisk.legacyClockOffsetMillis = clockOffsetMillis;
            cluster.runFor(0.5);
            cluster.members.values().forEach(Cluster.Member::start);
            assertTrue(cluster.runUntil(() -> cluster.leaderOf(0) != null, 15) < 4, () -> eventLog(cluster));
            assertTrue(
                    cluster.runUntil(() -> cluster.isVoterOfAllParts(storeWithoutDisk, 3), 15) < 5,
                    () -> eventLog(cluster));
        }
    }

    private static Renewals renewalsFrom(Node from, long now) {
        var renewals = new Renewals();
        renewals.from = from;
        renewals.sentAt = now;
        for (var part = 0; part < Parts.PART_COUNT; part++) {
            var renewal = new Renewal();
            renewal.part = part;
            renewals.parts.add(renewal);
        }
        return renewals;
    }

    @ParameterizedTest
    @ValueSource(longs = {0, -20_000, 20_000})
    void aLateRenewalOfAnEarlierIncarnationDoesNotSupersedeTheNewOne(long clockOffsetMillis) {
        var cluster = threeStoresThreeRouters(TimingProfile.LOW_TRAFFIC);
        var member = cluster.member("r1");
        var earlier = copyOf(member.router.directory().self());
        member.crash();
        cluster.runFor(0.5);
        member.legacyClockOffsetMillis = clockOffsetMillis;
        member.start();
        cluster.runFor(3);
        assertTrue(holdsAllLeases(member, cluster), () -> eventLog(cluster));
        cluster.leaderOf(0).store.receive(renewalsFrom(earlier, cluster.sim.now()));
        cluster.runFor(3);
        assertFalse(membership(member).isSuperseded(), () -> eventLog(cluster));
        assertTrue(holdsAllLeases(member, cluster), () -> eventLog(cluster));
    }

    @ParameterizedTest
    @ValueSource(longs = {0, -20_000})
    void aLateRenewalSentBeforeTheLeaveDoesNotSupersedeTheNewIncarnation(long clockOffsetMillis) {
        var cluster = threeStoresThreeRouters(TimingProfile.LOW_TRAFFIC);
        var member = cluster.member("r1");
        var earlier = copyOf(member.router.directory().self());
        membership(member).leave(cluster.sim.now());
        cluster.runFor(0.3);
        member.crash();
        member.legacyClockOffsetMillis = clockOffsetMillis;
        member.start();
        cluster.runFor(3);
        assertTrue(holdsAllLeases(member, cluster), () -> eventLog(cluster));
        cluster.leaderOf(0).store.receive(renewalsFrom(earlier, cluster.sim.now()));
        cluster.runFor(3);
        assertFalse(membership(member).isSuperseded(), () -> eventLog(cluster));
        assertTrue(holdsAllLeases(member, cluster), () -> eventLog(cluster));
    }

    @ParameterizedTest
    @ValueSource(longs = {0, -20_000})
    void theLeaderKnowsARestartedStoreAtOnce(long clockOffsetMillis) {
        var cluster = threeStoresThreeRouters(TimingProfile.LOW_TRAFFIC);
        var leader = cluster.leaderOf(0);
        var member = cluster.members.values().stream()
                .filter(candidate -> candidate.store != null && candidate != leader)
                .findFirst()
                .orElseThrow();
        membership(member).leave(cluster.sim.now());
        cluster.runFor(0.3);
        member.crash();
        member.legacyClockOffsetMillis = clockOffsetMillis;
        member.start();
        cluster.runFor(3);
        assertTrue(leader.store.directory().wasHeardRecently(member.name, cluster.sim.now()), () -> eventLog(cluster));
        assertEquals(
                member.store.directory().self().incarnation,
                leader.store.directory().nodeByName(member.name).incarnation);
    }

    /**
     * Two processes with one name at different addresses: the later one stays, the earlier one learns that it is
     * superseded.
     */
    @Test
    void ofTwoProcessesWithOneNameTheLaterOneStays() {
        var cluster = threeStoresThreeRouters(TimingProfile.LOW_TRAFFIC);
        var earlier = cluster.member("r1");
        var earlierNode = earlier.router.directory().self();
        var later = cluster.new Member("r1", Node.ROUTER, earlier.zone);
        later.address = "elsewhere";
        cluster.members.put("twin", later);
        later.start();
        cluster.runFor(4);
        assertTrue(earlier.router.membership().isSuperseded(), () -> eventLog(cluster));
        assertFalse(later.router.membership().isSuperseded(), () -> eventLog(cluster));
        assertTrue(holdsAllLeases(later, cluster), () -> eventLog(cluster));
        assertNotEquals(earlierNode.incarnation, later.router.directory().self().incarnation);
    }

    /**
     * A rolling upgrade and its rollback: under each name, incarnations taken from the wall clock and incarnations
     * assigned by the core follow one another.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, -20_000, 20_000})
    void noMemberIsSupersededInARollingUpgradeAndItsRollback(long clockOffsetMillis) {
        var cluster = threeStoresThreeRouters(TimingProfile.LOW_TRAFFIC);
        for (var olderRelease : List.of(true, false, true)) {
            for (var member : List.copyOf(cluster.members.values())) {
                membership(member).leave(cluster.sim.now());
                member.crash();
                cluster.runFor(0.4);
                member.legacyClockOffsetMillis = olderRelease ? clockOffsetMillis : 0;
                member.start();
                cluster.runFor(3);
                assertFalse(membership(member).isSuperseded(), () -> member.name + "\n" + eventLog(cluster));
                assertTrue(holdsAllLeases(member, cluster), () -> member.name + "\n" + eventLog(cluster));
            }
        }
        for (var member : cluster.members.values())
            if (member.store != null) assertTrue(cluster.isVoterOfAllParts(member, 3), () -> eventLog(cluster));
    }

    /**
     * A configuration is not confirmed at all routers while an earlier process with the same name may still hold its
     * lease.
     */
    @Test
    void anEarlierProcessWithTheSameNameCountsUntilItsLeaseHasExpired() throws IOException, URISyntaxException {
        var cluster = threeStoresThreeRouters(TimingProfile.LOW_TRAFFIC);
        var earlier = cluster.member("r1");
        var later = cluster.new Member("r1", Node.ROUTER, earlier.zone);
        later.address = "elsewhere";
        cluster.members.put("twin", later);
        earlier.setPaused(true);
        later.start();
        cluster.runFor(0.6);
        assertTrue(holdsAllLeases(later, cluster), () -> eventLog(cluster));
        assertTrue(holdsAllLeases(earlier, cluster), "the earlier incarnation must still hold its leases");
        var manifestText = Files.readString(Path.of(ProcessIncarnationTest.class
                .getResource("/craneway/sim/maticar.json")
                .toURI()));
        var confirmed = new ArrayList<Boolean>();
        cluster.leaderOf(0)
                .operator
                .putManifest(
                        0,
                        manifestText,
                        result -> confirmed.add(
                                result.get().routersStillActing().isEmpty() && holdsAllLeases(earlier, cluster)));
        cluster.runUntil(() -> !confirmed.isEmpty(), 6);
        assertEquals(List.of(false), confirmed, () -> eventLog(cluster));
        assertFalse(holdsAllLeases(earlier, cluster));
    }
}
