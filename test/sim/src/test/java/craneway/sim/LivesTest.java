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

/** The lives of a process name: restarts with a clock that was set back, late messages of an earlier life, twins. */
class LivesTest {
    private static final Map<String, String> REGIONS = Map.of("z1", "a", "z2", "b", "z3", "c");

    private static Cluster three(TimingProfile pace) {
        var c = new Cluster(pace, Quorum.toleratingLosses(1, REGIONS)).stores("z1", "z2", "z3");
        assertTrue(c.until(c::owned, 10) < 8, () -> "founding: " + c.notes);
        c.routers(3);
        c.run(8);
        return c;
    }

    private static Membership membership(Cluster.Member m) {
        return m.store == null ? m.router.membership() : m.store.membership();
    }

    private static boolean leased(Cluster.Member m, Cluster c) {
        var v = membership(m).view();
        for (var p = 0; p < Parts.COUNT; p++) if (!v.hasLease(p, c.sim.now())) return false;
        return true;
    }

    private static String notes(Cluster c) {
        return String.join("\n", c.notes);
    }

    private static Node copy(Node n) {
        return Codec.decode(Node.class, Codec.encode(n));
    }

    /** Leaves while one owner cannot hear it, so that one part keeps the record of the life that ended. */
    private static void leaveAllButOnePart(Cluster c, Cluster.Member m) {
        var deaf = c.members.values().stream()
                .filter(x -> x != m && x.store != null && c.owner(1) == x)
                .findFirst()
                .orElseThrow();
        c.cut.add(m.name + ">" + deaf.name);
        membership(m).leave(c.sim.now());
        c.run(4);
        m.crash();
        c.cut.clear();
    }

    @ParameterizedTest
    @ValueSource(longs = {0, -20_000})
    void aRouterThatLeftAllPartsButOneIsNotSupersededByItsOwnRecord(long wall) {
        var c = three(TimingProfile.STANDARD);
        var m = c.get("r1");
        leaveAllButOnePart(c, m);
        m.wall = wall;
        m.start();
        c.run(4);
        assertFalse(membership(m).isSuperseded(), () -> notes(c));
        assertTrue(leased(m, c), () -> notes(c));
    }

    @ParameterizedTest
    @ValueSource(longs = {0, -20_000})
    void aStoreThatLeftAllPartsButOneComesBackWithoutItsDisk(long wall) {
        var c = three(TimingProfile.STANDARD);
        var m = c.members.values().stream()
                .filter(x -> x.store != null && c.owner(0) != x && c.owner(1) != x)
                .findFirst()
                .orElseThrow();
        leaveAllButOnePart(c, m);
        m.loseDisk();
        m.wall = wall;
        m.start();
        c.run(6);
        assertFalse(membership(m).isSuperseded(), () -> notes(c));
        assertTrue(c.votesEverywhere(m, 3), () -> notes(c));
    }

    /** Nobody but the records of the core knows the earlier life; its disk is lost, the new one must not be taken for it. */
    @ParameterizedTest
    @ValueSource(longs = {0, -20_000})
    void aStoreWithoutItsDiskVotesAgainThoughAllStartAnew(long wall) {
        for (var name : List.of("s1", "s2", "s3")) {
            var c = three(TimingProfile.LOW_TRAFFIC);
            var victim = c.get(name);
            for (var m : c.members.values()) {
                if (m == victim) m.loseDisk();
                else m.losePower();
            }
            victim.wall = wall;
            c.run(0.5);
            c.members.values().forEach(Cluster.Member::start);
            assertTrue(c.until(() -> c.owner(0) != null, 15) < 4, () -> notes(c));
            assertTrue(c.until(() -> c.votesEverywhere(victim, 3), 15) < 5, () -> notes(c));
        }
    }

    private static Renewals renewals(Node from, long now) {
        var all = new Renewals();
        all.from = from;
        all.sentAt = now;
        for (var p = 0; p < Parts.COUNT; p++) {
            var r = new Renewal();
            r.part = p;
            all.parts.add(r);
        }
        return all;
    }

    @ParameterizedTest
    @ValueSource(longs = {0, -20_000, 20_000})
    void aLateRenewalOfAnEarlierLifeDoesNotEndTheNewOne(long wall) {
        var c = three(TimingProfile.LOW_TRAFFIC);
        var m = c.get("r1");
        var late = copy(m.router.directory().self());
        m.crash();
        c.run(0.5);
        m.wall = wall;
        m.start();
        c.run(3);
        assertTrue(leased(m, c), () -> notes(c));
        c.owner(0).store.receive(renewals(late, c.sim.now()));
        c.run(3);
        assertFalse(membership(m).isSuperseded(), () -> notes(c));
        assertTrue(leased(m, c), () -> notes(c));
    }

    @ParameterizedTest
    @ValueSource(longs = {0, -20_000})
    void aLateRenewalAfterTheLeaveDoesNotEndTheNewLife(long wall) {
        var c = three(TimingProfile.LOW_TRAFFIC);
        var m = c.get("r1");
        var late = copy(m.router.directory().self());
        membership(m).leave(c.sim.now());
        c.run(0.3);
        m.crash();
        m.wall = wall;
        m.start();
        c.run(3);
        assertTrue(leased(m, c), () -> notes(c));
        c.owner(0).store.receive(renewals(late, c.sim.now()));
        c.run(3);
        assertFalse(membership(m).isSuperseded(), () -> notes(c));
        assertTrue(leased(m, c), () -> notes(c));
    }

    @ParameterizedTest
    @ValueSource(longs = {0, -20_000})
    void aStoreThatStartsAgainIsHeardAtOnce(long wall) {
        var c = three(TimingProfile.LOW_TRAFFIC);
        var o = c.owner(0);
        var m = c.members.values().stream()
                .filter(x -> x.store != null && x != o)
                .findFirst()
                .orElseThrow();
        membership(m).leave(c.sim.now());
        c.run(0.3);
        m.crash();
        m.wall = wall;
        m.start();
        c.run(3);
        assertTrue(o.store.directory().wasHeardRecently(m.name, c.sim.now()), () -> notes(c));
        assertEquals(m.store.directory().self().incarnation, o.store.directory().nodeByName(m.name).incarnation);
    }

    /** A twin at another address: the one that started last stays, the earlier one is told so and ends. */
    @Test
    void ofTwinsTheOneThatStartedLastStays() {
        var c = three(TimingProfile.LOW_TRAFFIC);
        var old = c.get("r1");
        var self = old.router.directory().self();
        var twin = c.new Member("r1", Node.ROUTER, old.zone);
        twin.address = "elsewhere";
        c.members.put("twin", twin);
        twin.start();
        c.run(4);
        assertTrue(old.router.membership().isSuperseded(), () -> notes(c));
        assertFalse(twin.router.membership().isSuperseded(), () -> notes(c));
        assertTrue(leased(twin, c), () -> notes(c));
        assertNotEquals(self.incarnation, twin.router.directory().self().incarnation);
    }

    /** A rolling release and its way back: lives by the clock and lives by the core follow one another under each name. */
    @ParameterizedTest
    @ValueSource(longs = {1, -20_000, 20_000})
    void aRollingReleaseKeepsEveryNameAndItsWayBackToo(long wall) {
        var c = three(TimingProfile.LOW_TRAFFIC);
        for (var older : List.of(true, false, true)) {
            for (var m : List.copyOf(c.members.values())) {
                membership(m).leave(c.sim.now());
                m.crash();
                c.run(0.4);
                m.wall = older ? wall : 0;
                m.start();
                c.run(3);
                assertFalse(membership(m).isSuperseded(), () -> m.name + "\n" + notes(c));
                assertTrue(leased(m, c), () -> m.name + "\n" + notes(c));
            }
        }
        for (var m : c.members.values()) if (m.store != null) assertTrue(c.votesEverywhere(m, 3), () -> notes(c));
    }

    /** While the lease of a twin elsewhere may still run, a configuration does not count as being everywhere. */
    @Test
    void anEarlierLifeElsewhereCountsUntilItsLeaseIsOver() throws IOException, URISyntaxException {
        var c = three(TimingProfile.LOW_TRAFFIC);
        var old = c.get("r1");
        var twin = c.new Member("r1", Node.ROUTER, old.zone);
        twin.address = "elsewhere";
        c.members.put("twin", twin);
        old.freeze(true);
        twin.start();
        c.run(0.6);
        assertTrue(leased(twin, c), () -> notes(c));
        assertTrue(leased(old, c), "the earlier life still holds its lease");
        var text = Files.readString(Path.of(
                LivesTest.class.getResource("/craneway/sim/maticar.json").toURI()));
        var confirmed = new ArrayList<Boolean>();
        c.owner(0)
                .operator
                .putManifest(
                        0, text, r -> confirmed.add(r.get().routersStillActing().isEmpty() && leased(old, c)));
        c.until(() -> !confirmed.isEmpty(), 6);
        assertEquals(List.of(false), confirmed, () -> notes(c));
        assertFalse(leased(old, c));
    }
}
