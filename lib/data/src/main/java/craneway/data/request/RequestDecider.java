package craneway.data.request;

import craneway.control.node.Membership.CoreView;
import craneway.control.plan.UnitMover;
import craneway.data.runner.RunnerSelector;
import craneway.data.runner.RunnerLoads;
import craneway.model.manifest.Manifest;
import craneway.model.problem.Problem;
import craneway.model.problem.ProblemKind;
import craneway.model.unit.Hash;
import craneway.model.unit.Parts;
import craneway.model.unit.PlacementTable;
import craneway.model.unit.RendezvousHash;
import craneway.model.unit.Units;
import craneway.state.message.Node;
import craneway.state.record.Rows;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

public final class RequestDecider {
    private final String zone;
    private final RunnerLoads loads;
    private final RunnerSelector chooser;

    public RequestDecider(String self, String zone, RunnerLoads loads) {
        this.zone = zone;
        this.loads = loads;
        this.chooser = new RunnerSelector(self, loads);
    }

    public Decision decide(CoreView v, Request t, Set<String> avoided, Map<String, Long> closedSince, long now) {
        var m = v.manifest();
        if (m == null) return decline(ProblemKind.NO_MANIFEST);
        if (now >= t.deadlineMicros()) return decline(ProblemKind.DEADLINE_PASSED);
        var service = m.service(t.service());
        if (service == null)
            return new Decision.Decline(Problem.of(ProblemKind.UNKNOWN_SERVICE, "no service " + t.service()));
        var work = service.work(t.work());
        if (work == null)
            return new Decision.Decline(
                    Problem.of(ProblemKind.UNKNOWN_WORK, "service " + t.service() + " has no work " + t.work()));
        if (work.runOnce() && t.idempotencyKey().isEmpty()) return decline(ProblemKind.RUN_ONCE_WITHOUT_KEY);
        if (t.body().length > service.maxBodyBytes()) return decline(ProblemKind.TOO_LARGE);
        var row = v.services().get(t.service());
        if (row == null || row.homeCells.length == 0) return new Decision.Buffer(Problem.of(ProblemKind.NO_RUNNER));
        return placed(v, t, service, row, work.runOnce(), avoided, closedSince, now);
    }

    private Decision placed(
            CoreView v,
            Request t,
            Manifest.Service service,
            Rows.Service row,
            boolean once,
            Set<String> avoided,
            Map<String, Long> closedSince,
            long now) {
        var set = regionSet(v, t, row);
        if (set == 0) return decline(ProblemKind.NO_HOME_REGION);
        var unit = Units.unitOf(set, t.tenant());
        var home = row.homeCells[unit];
        if (home == PlacementTable.NOWHERE)
            return elsewhere(v, row, unit)
                    ? new Decision.Buffer(Problem.of(ProblemKind.NO_RUNNER))
                    : decline(ProblemKind.NO_RUNNER);
        var region = row.cellRegions.get(home);
        var here = region.equals(v.manifest().regionOfZone(zone));
        var leased = v.hasLease(Parts.partOf(t.service()), now) && v.hasLease(Parts.MANIFEST_PART, now);
        if (!leased && (once || !here || !row.zones.get(home).equals(zone) || pastGrace(v, t, now)))
            return decline(ProblemKind.CUT_OFF);
        if (!here && t.forwarded())
            return new Decision.Decline(
                    Problem.of(ProblemKind.NOT_HOME, "table version " + row.tableVersion, row.tableVersion));
        if (!here) return forward(v, t, region, unit, once, avoided);
        if (closed(row, home, v, closedSince, now)) return new Decision.Buffer(Problem.of(ProblemKind.NO_RUNNER));
        return serve(v, t, service, row, home, unit, once, leased, avoided, now);
    }

    private static Decision decline(ProblemKind k) {
        return new Decision.Decline(Problem.of(k));
    }

    private static boolean pastGrace(CoreView v, Request t, long now) {
        var end = Math.min(v.leaseEnd(Parts.partOf(t.service())), v.leaseEnd(Parts.MANIFEST_PART));
        return now >= end + v.graceMicros();
    }

    private static int regionSet(CoreView v, Request t, Rows.Service row) {
        var home = homeRegions(v, t.tenant());
        var set = 0;
        for (var r : home) {
            var i = row.regions.indexOf(r);
            if (i >= 0 && (t.regions().isEmpty() || t.regions().contains(r))) set |= 1 << i;
        }
        return set;
    }

    private static List<String> homeRegions(CoreView v, String tenant) {
        var kept = v.manifestRow().marks.get("tenant:" + tenant);
        return kept == null ? v.manifest().homeRegions(tenant) : List.of(kept.split(","));
    }

    private Decision forward(CoreView v, Request t, String region, int unit, boolean once, Set<String> avoided) {
        var there = new HashMap<String, Node>();
        for (var n : v.membersByPart().get(Parts.partOf(t.service())))
            if (n.isRouter()
                    && n.serving
                    && !avoided.contains(n.name)
                    && region.equals(v.manifest().regionOfZone(n.zone))) there.put(n.name, n);
        if (there.isEmpty()) return decline(ProblemKind.NO_PATH);
        return new Decision.Forward(
                there.get(RendezvousHash.pick(t.service() + "/" + unit, there.keySet())), unit, once);
    }

    private static boolean closed(Rows.Service row, int home, CoreView v, Map<String, Long> closedSince, long now) {
        if (!UnitMover.closedCells(row, v.manifestRow().marks).get(home)) return false;
        var since = Math.max(
                closedSince.getOrDefault("zone:" + row.zones.get(home), Long.MIN_VALUE),
                closedSince.getOrDefault("cell:" + row.name + "/" + row.cells.get(home), Long.MIN_VALUE));
        return now >= since + RequestExecutor.DRAIN_MICROS;
    }

    private Decision serve(
            CoreView v,
            Request t,
            Manifest.Service service,
            Rows.Service row,
            int home,
            int unit,
            boolean once,
            boolean leased,
            Set<String> avoided,
            long now) {
        var cell = row.cells.get(home);
        var able = new ArrayList<Rows.Runner>();
        for (var r : row.runners.values())
            if (r.isUp()
                    && r.cell.equals(cell)
                    && !avoided.contains(r.name)
                    && loads.isUsable(r, now)
                    && (leased || loads.announcedRecently(r.name, now))) able.add(r);
        if (able.isEmpty())
            return comes(v, row, home, unit, avoided)
                    ? new Decision.Buffer(Problem.of(ProblemKind.NO_RUNNER))
                    : decline(ProblemKind.NO_RUNNER);
        var best = chooser.selectRunner(
                able,
                Hash.of(t.prefixHash(), Hash.of(t.service())),
                service.warmUpTime(),
                leased && v.isSettled(Parts.partOf(t.service()), now),
                routersHere(v, t),
                now);
        if (best == null) return new Decision.Buffer(Problem.of(ProblemKind.BUSY));
        return new Decision.Serve(best, unit, row.tableVersion, once);
    }

    public boolean mayStillServe(CoreView v, Request t, Rows.Runner r, Map<String, Long> closedSince, long now) {
        var row = v.services().get(t.service());
        var known = row == null ? null : row.runners.get(r.name);
        if (known == null || !known.isUp() || known.incarnation != r.incarnation || !loads.isUsable(known, now))
            return false;
        if (closed(row, row.cells.indexOf(known.cell), v, closedSince, now)) return false;
        if (v.hasLease(Parts.partOf(t.service()), now) && v.hasLease(Parts.MANIFEST_PART, now)) return true;
        var work = v.manifest().service(t.service()) == null
                ? null
                : v.manifest().service(t.service()).work(t.work());
        return work != null && !work.runOnce() && !pastGrace(v, t, now) && loads.announcedRecently(r.name, now);
    }

    private static boolean comes(CoreView v, Rows.Service row, int home, int unit, Set<String> avoided) {
        var here = row.cells.get(home);
        for (var r : row.runners.values()) if (r.isUp() && r.cell.equals(here) && !avoided.contains(r.name)) return true;
        return row.countRunnersUp(home) == 0 && elsewhere(v, row, unit);
    }

    private static boolean elsewhere(CoreView v, Rows.Service row, int unit) {
        var closed = UnitMover.closedCells(row, v.manifestRow().marks);
        for (var c = 0; c < row.cells.size(); c++) {
            var allowed = row.hasWeight(c)
                    && !closed.get(c)
                    && Units.containsRegion(Units.regionSetOf(unit), row.regions.indexOf(row.cellRegions.get(c)));
            if (allowed && row.countRunnersUp(c) > 0) return true;
        }
        return false;
    }

    private List<String> routersHere(CoreView v, Request t) {
        var all = new ArrayList<String>();
        for (var x : v.membersByPart().get(Parts.partOf(t.service())))
            if (x.isRouter() && x.zone.equals(zone)) all.add(x.name);
        return all;
    }
}
