package craneway.pass;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.control.node.Membership;
import craneway.data.placement.RunnerPool;
import craneway.model.manifest.Manifest;
import craneway.model.manifest.ManifestReader;
import craneway.state.message.Node;
import craneway.state.message.Plan;
import craneway.state.record.Rows;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** A runner pool is rebuilt when a view brings other runners, marks or routers, and reused when only leases differ. */
class RunnerPoolUpdateTest {
    private final Manifest manifest = ManifestReader.read(ProxyRig.MANIFEST).get();
    private final RunnerPool pool = new RunnerPool();

    private static Rows.Service service(String... runners) {
        var service = new Rows.Service();
        service.name = "s";
        service.cells.add("a");
        service.zones.add("a");
        service.cellRegions.add("ra");
        service.runners = new TreeMap<>();
        for (var id : runners) {
            var runnerRow = new Rows.Runner();
            runnerRow.name = id;
            runnerRow.address = "127.0.0.1:1";
            runnerRow.cell = "a";
            runnerRow.slots = 8;
            service.runners.put(id, runnerRow);
        }
        return service;
    }

    private Membership.CoreView view(
            Rows.Manifest manifestRow,
            Map<String, Rows.Service> services,
            List<List<Node>> members,
            long leaseEndMicros) {
        var leaseEnds = new long[] {leaseEndMicros, leaseEndMicros, leaseEndMicros, leaseEndMicros};
        return new Membership.CoreView(manifestRow, manifest, services, leaseEnds, members, 0, leaseEnds);
    }

    private static List<List<Node>> members(Node... routers) {
        return List.of(List.of(routers), List.of(), List.of(), List.of());
    }

    private static Node router(String name) {
        return new Node(name, Node.ROUTER, "a", "127.0.0.1:1", 1).with(1, true);
    }

    @Test
    void poolIsReusedWhenOnlyLeasesChange() {
        var manifestRow = new Rows.Manifest();
        var services = Map.of("s", service("i1"));
        var members = members(router("r1"));
        pool.applyView(view(manifestRow, services, members, 1));
        var before = pool.runnersOf("s");
        var renewed = view(manifestRow, services, members, 2);
        assertTrue(pool.applyView(renewed));
        assertSame(before, pool.runnersOf("s"));
        assertSame(renewed, pool.view());
    }

    @Test
    void poolIsRebuiltWhenRunnersMarksOrRoutersChange() {
        var manifestRow = new Rows.Manifest();
        var services = Map.of("s", service("i1"));
        var members = members(router("r1"));
        pool.applyView(view(manifestRow, services, members, 1));
        pool.applyView(view(manifestRow, Map.of("s", service("i1", "i2")), members, 1));
        assertEquals(2, pool.runnersOf("s").size());
        var marked = new Rows.Manifest();
        marked.marks.put("zone:a", Plan.EMPTIED);
        pool.applyView(view(marked, services, members, 1));
        assertTrue(pool.isZoneEmptied("a"));
        pool.applyView(view(marked, services, members(router("r1"), router("r2")), 1));
        assertEquals(List.of("r1", "r2"), List.copyOf(pool.servingRouters()));
    }
}
