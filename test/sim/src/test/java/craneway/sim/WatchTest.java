package craneway.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.control.store.Quorum;
import craneway.model.unit.Parts;
import craneway.model.unit.TimingProfile;
import craneway.state.message.Commands;
import craneway.state.record.Rows;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** How often the control plane looks through all runners and members while nothing happens. */
class WatchTest {
    private static final int MANY = 5_000;

    /** A map that counts how often somebody goes through its values. */
    private static final class Looked<V> extends TreeMap<String, V> {
        int looks;

        Looked(TreeMap<String, V> all) {
            super(all);
        }

        @Override
        public Collection<V> values() {
            looks++;
            return super.values();
        }
    }

    private String service;
    private String cell;
    private Cluster c;

    @BeforeEach
    void begin() throws IOException, URISyntaxException {
        var text = Files.readString(Path.of(
                WatchTest.class.getResource("/craneway/sim/maticar.json").toURI()));
        c = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.THREE_VOTERS);
        c.stores("z1", "z2", "z3").routers(1);
        c.until(c::owned, 10);
        c.get("s1").operator.putManifest(0, text, r -> {});
        c.run(6);
        var s = c.get("r1")
                .router
                .membership()
                .view()
                .manifest()
                .services()
                .values()
                .iterator()
                .next();
        service = s.name();
        cell = s.cells().get(0).name();
    }

    private void announce(int n) {
        var o = c.owner(Parts.partOf(service));
        o.hang(true);
        for (var i = 0; i < n; i++) {
            var r = new Commands.RunnerPut();
            r.service = service;
            r.runner = "run-" + i;
            r.address = "10.0.0.1:80";
            r.cell = cell;
            r.slots = 4;
            r.incarnation = 1;
            c.get("s1").store.coreClient().request(Parts.partOf(service), r, 800_000, x -> {});
        }
        c.run(0.02);
        o.hang(false);
        c.run(0.5);
    }

    private Rows.Service row() {
        return c.owner(Parts.partOf(service))
                .store
                .replicas()[Parts.partOf(service)]
                .records()
                .rows()
                .services
                .get(service);
    }

    @Test
    void manyRunnersAreLookedThroughLessOften() {
        announce(MANY);
        var all = new Looked<>(row().runners);
        row().runners = all;
        c.run(1);
        assertEquals(MANY, all.size());
        assertTrue(all.looks > 0 && all.looks < 40, () -> all.looks + " looks a second");
    }

    @Test
    void oneOfManyRunnersThatFallsSilentIsDarkInTime() {
        announce(MANY);
        var took = c.until(() -> row().runners.values().stream().noneMatch(Rows.Runner::isUp), 6);
        assertTrue(took < 3.2, () -> took + " s");
    }

    @Test
    void aRouterMeetsRunnersWhenTheirRowChanges() {
        announce(50);
        c.run(1);
        var s = c.get("r1").router.membership().view().services().get(service);
        var all = new Looked<>(s.runners);
        s.runners = all;
        c.run(0.5);
        assertSame(s, c.get("r1").router.membership().view().services().get(service));
        assertTrue(all.looks <= 1, () -> all.looks + " looks a second");
    }

    @Test
    void manyMembersAreLookedThroughLessOften() {
        c.routers(300);
        c.run(4);
        var rows = c.owner(Parts.MANIFEST_PART)
                .store
                .replicas()[Parts.MANIFEST_PART]
                .records()
                .rows();
        var all = new Looked<>(rows.members);
        rows.members = all;
        c.run(1);
        assertTrue(all.looks > 5 && all.looks < 25, () -> all.looks + " looks a second");
    }
}
