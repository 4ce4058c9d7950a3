package craneway.data.request;

import craneway.control.node.Membership.CoreView;
import craneway.control.plan.UnitMover;
import craneway.data.runner.RunnerLoads;
import craneway.data.runner.RunnerSelector;
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

/**
 * Decides what a router does with a request: serve it with a runner of its unit's home cell, forward it to a router
 * of the home region, keep it in the buffer, or decline it. Decides by the membership view that is passed in,
 * without I/O.
 *
 * <p>A router whose leases have lapsed may know an outdated home. It then declines work that may run only once, and
 * serves other work only if the home is in its own zone, only for a grace period, and only with runners that
 * announced themselves recently.
 *
 * <p>Times are microseconds of the steady clock. Thread-safe.
 */
public final class RequestDecider {
    private final String zone;
    private final RunnerLoads loads;
    private final RunnerSelector selector;

    /** Creates the decider of the router with this name in this zone. */
    public RequestDecider(String routerName, String zone, RunnerLoads loads) {
        this.zone = zone;
        this.loads = loads;
        this.selector = new RunnerSelector(routerName, loads);
    }

    /**
     * Decides what to do with a request now.
     *
     * @param excluded names of runners and routers that are not tried again
     * @param closedSince when this router first saw each mark in the manifest's topic, by the mark's name
     */
    public Decision decide(
            CoreView view, Request request, Set<String> excluded, Map<String, Long> closedSince, long now) {
        var manifest = view.manifest();
        if (manifest == null) return decline(ProblemKind.NO_MANIFEST);
        if (now >= request.deadlineMicros()) return decline(ProblemKind.DEADLINE_PASSED);
        var service = manifest.service(request.service());
        if (service == null)
            return new Decision.Decline(
                    Problem.of(ProblemKind.UNKNOWN_SERVICE, "the manifest has no service " + request.service()));
        var work = service.work(request.work());
        if (work == null)
            return new Decision.Decline(Problem.of(
                    ProblemKind.UNKNOWN_WORK,
                    "service " + request.service() + " has no kind of work " + request.work()));
        if (work.runOnce() && request.idempotencyKey().isEmpty()) return decline(ProblemKind.RUN_ONCE_WITHOUT_KEY);
        if (request.body().length > service.maxBodyBytes()) return decline(ProblemKind.TOO_LARGE);
        var serviceState = view.services().get(request.service());
        if (serviceState == null || serviceState.homeCells.length == 0)
            return new Decision.Buffer(Problem.of(ProblemKind.NO_RUNNER));
        return decideByHome(view, request, service, serviceState, work.runOnce(), excluded, closedSince, now);
    }

    private Decision decideByHome(
            CoreView view,
            Request request,
            Manifest.Service service,
            Rows.Service serviceState,
            boolean runOnce,
            Set<String> excluded,
            Map<String, Long> closedSince,
            long now) {
        var regionSet = allowedRegionSet(view, request, serviceState);
        if (regionSet == 0) return decline(ProblemKind.NO_HOME_REGION);
        var unit = Units.unitOf(regionSet, request.tenant());
        var homeCell = serviceState.homeCells[unit];
        if (homeCell == PlacementTable.NOWHERE)
            return canMoveToRunner(view, serviceState, unit)
                    ? new Decision.Buffer(Problem.of(ProblemKind.NO_RUNNER))
                    : decline(ProblemKind.NO_RUNNER);
        var homeRegion = serviceState.cellRegions.get(homeCell);
        var isLocal = homeRegion.equals(view.manifest().regionOfZone(zone));
        var leased = view.hasLease(Parts.partOf(request.service()), now) && view.hasLease(Parts.MANIFEST_PART, now);
        if (!leased
                && (runOnce
                        || !isLocal
                        || !serviceState.zones.get(homeCell).equals(zone)
                        || isGraceOver(view, request, now))) return decline(ProblemKind.CUT_OFF);
        // A second forward is never made. The router that forwarded the request then waits for this table version.
        if (!isLocal && request.forwarded())
            return new Decision.Decline(Problem.of(
                    ProblemKind.NOT_HOME,
                    "the unit's home is in another region as of table version " + serviceState.tableVersion,
                    serviceState.tableVersion));
        if (!isLocal) return forwardToRegion(view, request, homeRegion, unit, runOnce, excluded);
        if (isDrained(serviceState, homeCell, view, closedSince, now))
            return new Decision.Buffer(Problem.of(ProblemKind.NO_RUNNER));
        return serveFromCell(view, request, service, serviceState, homeCell, unit, runOnce, leased, excluded, now);
    }

    private static Decision decline(ProblemKind kind) {
        return new Decision.Decline(Problem.of(kind));
    }

    /** Returns whether the grace period after the earlier end of the two leases is over. */
    private static boolean isGraceOver(CoreView view, Request request, long now) {
        var leaseEnd = Math.min(view.leaseEnd(Parts.partOf(request.service())), view.leaseEnd(Parts.MANIFEST_PART));
        return now >= leaseEnd + view.graceMicros();
    }

    /** Returns the regions that both the tenant and the request allow, as bits over the service's regions. */
    private static int allowedRegionSet(CoreView view, Request request, Rows.Service serviceState) {
        var tenantRegions = homeRegions(view, request.tenant());
        var regionSet = 0;
        for (var region : tenantRegions) {
            var index = serviceState.regions.indexOf(region);
            if (index >= 0 && (request.regions().isEmpty() || request.regions().contains(region)))
                regionSet |= 1 << index;
        }
        return regionSet;
    }

    /** Returns the regions of a tenant; a mark in the manifest's topic takes precedence over the manifest. */
    private static List<String> homeRegions(CoreView view, String tenant) {
        var markedRegions = view.manifestRow().marks.get("tenant:" + tenant);
        return markedRegions == null ? view.manifest().homeRegions(tenant) : List.of(markedRegions.split(","));
    }

    private Decision forwardToRegion(
            CoreView view, Request request, String region, int unit, boolean runOnce, Set<String> excluded) {
        var routers = new HashMap<String, Node>();
        for (var node : view.membersByPart().get(Parts.partOf(request.service())))
            if (node.isRouter()
                    && node.serving
                    && !excluded.contains(node.name)
                    && region.equals(view.manifest().regionOfZone(node.zone))) routers.put(node.name, node);
        if (routers.isEmpty()) return decline(ProblemKind.NO_PATH);
        return new Decision.Forward(
                routers.get(RendezvousHash.pick(request.service() + "/" + unit, routers.keySet())), unit, runOnce);
    }

    /** Returns whether the cell is closed by a mark and its drain time since then is over. */
    private static boolean isDrained(
            Rows.Service serviceState, int cell, CoreView view, Map<String, Long> closedSince, long now) {
        if (!UnitMover.closedCells(serviceState, view.manifestRow().marks).get(cell)) return false;
        var closedAt = Math.max(
                closedSince.getOrDefault("zone:" + serviceState.zones.get(cell), Long.MIN_VALUE),
                closedSince.getOrDefault(
                        "cell:" + serviceState.name + "/" + serviceState.cells.get(cell), Long.MIN_VALUE));
        return now >= closedAt + RequestExecutor.DRAIN_DURATION_MICROS;
    }

    private Decision serveFromCell(
            CoreView view,
            Request request,
            Manifest.Service service,
            Rows.Service serviceState,
            int homeCell,
            int unit,
            boolean runOnce,
            boolean leased,
            Set<String> excluded,
            long now) {
        var cellName = serviceState.cells.get(homeCell);
        var candidates = new ArrayList<Rows.Runner>();
        for (var runner : serviceState.runners.values())
            if (runner.isUp()
                    && runner.cell.equals(cellName)
                    && !excluded.contains(runner.name)
                    && loads.isUsable(runner, now)
                    && (leased || loads.announcedRecently(runner.name, now))) candidates.add(runner);
        if (candidates.isEmpty())
            return mayGetRunner(view, serviceState, homeCell, unit, excluded)
                    ? new Decision.Buffer(Problem.of(ProblemKind.NO_RUNNER))
                    : decline(ProblemKind.NO_RUNNER);
        var selected = selector.selectRunner(
                candidates,
                Hash.of(request.prefixHash(), Hash.of(request.service())),
                service.warmUpTime(),
                leased && view.isSettled(Parts.partOf(request.service()), now),
                routersInZone(view, request),
                now);
        if (selected == null) return new Decision.Buffer(Problem.of(ProblemKind.BUSY));
        return new Decision.Serve(selected, unit, serviceState.tableVersion, runOnce);
    }

    /**
     * Returns whether a runner that was selected for a request may still get it: it is up with the same incarnation
     * and usable, its cell is not drained, and the leases or the grace period still allow the router to serve.
     */
    public boolean mayStillServe(
            CoreView view, Request request, Rows.Runner runner, Map<String, Long> closedSince, long now) {
        var serviceState = view.services().get(request.service());
        var current = serviceState == null ? null : serviceState.runners.get(runner.name);
        if (current == null
                || !current.isUp()
                || current.incarnation != runner.incarnation
                || !loads.isUsable(current, now)) return false;
        if (isDrained(serviceState, serviceState.cells.indexOf(current.cell), view, closedSince, now)) return false;
        if (view.hasLease(Parts.partOf(request.service()), now) && view.hasLease(Parts.MANIFEST_PART, now)) return true;
        var work = view.manifest().service(request.service()) == null
                ? null
                : view.manifest().service(request.service()).work(request.work());
        return work != null
                && !work.runOnce()
                && !isGraceOver(view, request, now)
                && loads.announcedRecently(runner.name, now);
    }

    /**
     * Returns whether waiting may help although no runner of the home cell is usable now: one of them is up and not
     * excluded, or none is up and the unit can move to another cell.
     */
    private static boolean mayGetRunner(
            CoreView view, Rows.Service serviceState, int homeCell, int unit, Set<String> excluded) {
        var homeCellName = serviceState.cells.get(homeCell);
        for (var runner : serviceState.runners.values())
            if (runner.isUp() && runner.cell.equals(homeCellName) && !excluded.contains(runner.name)) return true;
        return serviceState.countRunnersUp(homeCell) == 0 && canMoveToRunner(view, serviceState, unit);
    }

    /** Returns whether an open cell within the unit's region set has a runner that is up. */
    private static boolean canMoveToRunner(CoreView view, Rows.Service serviceState, int unit) {
        var closedCells = UnitMover.closedCells(serviceState, view.manifestRow().marks);
        for (var cell = 0; cell < serviceState.cells.size(); cell++) {
            var allowed = serviceState.hasWeight(cell)
                    && !closedCells.get(cell)
                    && Units.containsRegion(
                            Units.regionSetOf(unit), serviceState.regions.indexOf(serviceState.cellRegions.get(cell)));
            if (allowed && serviceState.countRunnersUp(cell) > 0) return true;
        }
        return false;
    }

    private List<String> routersInZone(CoreView view, Request request) {
        var names = new ArrayList<String>();
        for (var node : view.membersByPart().get(Parts.partOf(request.service())))
            if (node.isRouter() && node.zone.equals(zone)) names.add(node.name);
        return names;
    }
}
