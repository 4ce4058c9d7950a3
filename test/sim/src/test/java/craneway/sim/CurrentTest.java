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

/** How soon routers hold the newest manifest, tables and leases; 35 ms one way. */
class CurrentTest {
    private static final int ROUTERS = 9;

    private String text;
    private Cluster c;
    private long version;

    @BeforeEach
    void begin() throws IOException, URISyntaxException {
        text = Files.readString(Path.of(
                CurrentTest.class.getResource("/craneway/sim/maticar.json").toURI()));
        c = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.THREE_VOTERS);
        c.delay = 35_000;
        c.stores("z1", "z2", "z3").routers(ROUTERS);
        c.until(c::owned, 10);
        put();
        c.run(5);
    }

    private void put() {
        var from = version;
        c.get("s1")
                .operator
                .putManifest(
                        from,
                        text.replaceFirst("\"claimRetentionMs\": \\d+", "\"claimRetentionMs\": " + (3_600_000 + from)),
                        r -> version = r.isRight() ? r.get().version() : -1);
        c.until(() -> version != from, 5);
        assertTrue(version > from, this::notes);
    }

    private String notes() {
        return String.join("\n", c.notes);
    }

    private List<Cluster.Member> routers() {
        return c.members.values().stream().filter(m -> m.router != null).toList();
    }

    private void under(double most, double is) {
        assertTrue(is < most, () -> is + " s; " + notes());
    }

    @Test
    void aRouterThatStartsAnewIsCurrentSoon() {
        for (var i = 0; i < 30; i++) {
            var r = c.get("r" + (1 + i % ROUTERS));
            r.crash();
            c.run(0.5 + i * 0.037);
            r.start();
            under(0.3, c.until(() -> c.current(r, version), 5));
        }
    }

    @Test
    void aNewRouterIsCurrentSoonAndIsToldAsServing() {
        var r = c.add("r99", Node.ROUTER, "z2");
        under(0.3, c.until(() -> c.current(r, version), 5));
        under(0.3, c.until(() -> r.router.directory().self().serving, 5));
    }

    @Test
    void allAreCurrentSoonAfterPowerCameBack() {
        for (var i = 0; i < 20; i++) {
            c.members.values().forEach(Cluster.Member::losePower);
            c.run(1.4);
            for (var m : c.members.values()) c.sim.scheduleAfter((long) (c.sim.random.nextDouble() * 160_000), m::start);
            c.run(0.16);
            under(0.8, c.until(() -> c.allCurrent(version), 8));
            c.run(5);
        }
    }

    @Test
    void routersServeOnAndNewsFlowsAgainSoonAfterTheOwnerIsLost() {
        for (var i = 0; i < 12; i++) {
            var o = c.owner(0);
            if (i % 3 == 0) o.crash();
            else if (i % 3 == 1) o.hang(true);
            else c.members.keySet().forEach(m -> cut(o.name, m));
            for (var t = 0; t < 70; t++) {
                c.run(0.02);
                for (var r : routers())
                    assertEquals(version, r.router.membership().view().manifestRow().version);
                for (var r : routers())
                    assertNotNull(r.router.membership().view().manifest());
                for (var r : routers())
                    assertEquals(
                            r.router.membership().view().manifest().services().keySet(),
                            r.router.membership().view().services().keySet());
            }
            var from = version;
            var other = c.members.values().stream()
                    .filter(m -> m.store != null && m != o)
                    .findFirst()
                    .get();
            other.operator.putManifest(
                    from,
                    text.replaceFirst("\"claimRetentionMs\": \\d+", "\"claimRetentionMs\": " + (3_700_000 + i)),
                    r -> version = r.isRight() ? r.get().version() : -1);
            c.until(() -> version != from, 5);
            assertTrue(version > from, this::notes);
            under(0.5, c.until(() -> c.allCurrent(version), 5));
            if (i % 3 == 0) o.start();
            else if (i % 3 == 1) o.hang(false);
            else c.cut.clear();
            c.run(6);
        }
    }

    @Test
    void aNewOwnerTakesNoRunnerForDarkThatWentOnAnnouncing() {
        var v = c.get("r1").router.membership().view().manifest();
        var s = v.services().values().iterator().next();
        for (var i = 0; i < 6; i++) {
            for (var t = 0; t < 6; t++) {
                announce(s.name(), s.cells().get(0).name());
                c.run(1.2);
            }
            var o = c.owner(0);
            o.crash();
            c.run(1.2);
            for (var t = 0; t < 3; t++) {
                announce(s.name(), s.cells().get(0).name());
                c.run(1.2);
            }
            o.start();
        }
        assertTrue(c.notes.stream().noneMatch(n -> n.contains("RUNNER_DARK")), this::notes);
    }

    private void announce(String service, String cell) {
        c.get("r1")
                .router
                .announceRunner(new Announcement(service, "run-1", "10.0.0.1:80", cell, 4, 1, false, 0), x -> {});
    }

    private void cut(String a, String b) {
        if (a.equals(b)) return;
        c.cut.add(a + ">" + b);
        c.cut.add(b + ">" + a);
    }
}
