package craneway.control.operator;

import craneway.control.plan.HomePlanner;
import craneway.control.plan.UnitMover;
import craneway.control.store.PartStatus;
import craneway.model.manifest.Manifest;
import craneway.model.manifest.ManifestReader;
import craneway.model.problem.Problem;
import craneway.model.problem.ProblemKind;
import craneway.model.unit.PlacementTable;
import craneway.model.unit.Units;
import craneway.state.message.MarkKey;
import craneway.state.message.Plan;
import craneway.state.record.Rows;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Turns an intent into a plan: the marks it sets, the units that would move, the load of each cell, and warnings.
 * Refuses an intent that would leave a tenant without an open cell, or the running load without slots.
 */
public final class IntentPlanner {
    private IntentPlanner() {}

    /** The plan for an intent, from the manifest row and the status of all parts. */
    public static Either<Problem, Plan> createPlan(
            Intent intent, Rows.Manifest manifestRow, List<PartStatus> statuses) {
        if (manifestRow.text.isEmpty()) return problem(ProblemKind.NO_MANIFEST, ProblemKind.NO_MANIFEST.text());
        var manifest = ManifestReader.read(manifestRow.text)
                .getOrElseThrow(problem -> new IllegalStateException(problem.detail()));
        return marksFor(intent, manifest, manifestRow)
                .flatMap(marks -> buildPlan(intent, manifest, manifestRow, marks, statuses));
    }

    /** The marks that an intent sets; an empty value removes a mark. */
    private static Either<Problem, TreeMap<String, String>> marksFor(
            Intent intent, Manifest manifest, Rows.Manifest manifestRow) {
        if (intent.intent() == null) return badIntent("the intent is missing");
        return switch (intent.intent()) {
            case Intent.EMPTY_ZONE, Intent.TAKE_BACK_ZONE -> zoneMarks(intent, manifest, manifestRow);
            case Intent.EMPTY_CELL, Intent.TAKE_BACK_CELL -> cellMarks(intent, manifest, manifestRow);
            case Intent.KEEP_TENANT, Intent.RELEASE_TENANT -> tenantMarks(intent, manifest, manifestRow);
            default -> badIntent("unknown intent " + intent.intent());
        };
    }

    private static Either<Problem, TreeMap<String, String>> zoneMarks(
            Intent intent, Manifest manifest, Rows.Manifest manifestRow) {
        if (intent.zone() == null || !manifest.zones().containsKey(intent.zone()))
            return badIntent("the manifest has no zone " + intent.zone());
        return singleMark(
                MarkKey.zone(intent.zone()),
                intent.intent().equals(Intent.EMPTY_ZONE) ? Plan.EMPTIED : "",
                manifestRow);
    }

    private static Either<Problem, TreeMap<String, String>> cellMarks(
            Intent intent, Manifest manifest, Rows.Manifest manifestRow) {
        if (intent.service() == null || manifest.service(intent.service()) == null)
            return badIntent("the manifest has no service " + intent.service());
        if (intent.cell() == null || manifest.service(intent.service()).cell(intent.cell()) == null)
            return badIntent("service " + intent.service() + " has no cell " + intent.cell());
        return singleMark(
                MarkKey.cell(intent.service(), intent.cell()),
                intent.intent().equals(Intent.EMPTY_CELL) ? Plan.EMPTIED : "",
                manifestRow);
    }

    private static Either<Problem, TreeMap<String, String>> tenantMarks(
            Intent intent, Manifest manifest, Rows.Manifest manifestRow) {
        if (intent.tenant() == null || manifest.tenant(intent.tenant()) == null)
            return badIntent("the manifest has no tenant " + intent.tenant());
        if (intent.intent().equals(Intent.RELEASE_TENANT))
            return singleMark(MarkKey.tenant(intent.tenant()), "", manifestRow);
        if (intent.regions() == null || intent.regions().isEmpty())
            return badIntent("the regions to keep the tenant in are missing");
        var homeRegions = manifest.homeRegions(intent.tenant());
        for (var region : intent.regions())
            if (!homeRegions.contains(region))
                return badIntent("region " + region + " is not one of the home regions " + homeRegions + " of tenant "
                        + intent.tenant());
        return singleMark(MarkKey.tenant(intent.tenant()), String.join(",", intent.regions()), manifestRow);
    }

    /** One mark; a problem if it is set to that value already. */
    private static Either<Problem, TreeMap<String, String>> singleMark(
            MarkKey markKey, String value, Rows.Manifest manifestRow) {
        var key = markKey.text();
        if (value.equals(manifestRow.marks.getOrDefault(key, "")))
            return badIntent(key + " is already " + (value.isEmpty() ? "not marked" : value) + " in the current state");
        var marks = new TreeMap<String, String>();
        marks.put(key, value);
        return Either.right(marks);
    }

    /** The plan that puts the marks in force. */
    private static Either<Problem, Plan> buildPlan(
            Intent intent,
            Manifest manifest,
            Rows.Manifest manifestRow,
            TreeMap<String, String> marks,
            List<PartStatus> statuses) {
        var plan = new Plan();
        plan.intent = intent.describe();
        plan.manifestVersion = manifestRow.version;
        plan.marksVersion = manifestRow.marksVersion;
        plan.marks = marks;
        var marksAfter = new TreeMap<>(manifestRow.marks);
        marks.forEach((key, value) -> {
            if (value.isEmpty()) marksAfter.remove(key);
            else marksAfter.put(key, value);
        });
        for (var status : statuses)
            for (var service : status.services) {
                var manifestService = manifest.service(service.name);
                if (manifestService == null) continue;
                var problem = planService(plan, service, manifestService, manifest, marksAfter, status.loadByRunner);
                if (problem != null) return badIntent(problem);
            }
        if (plan.steps.isEmpty()) plan.steps.add("1. no unit moves; only the mark is set");
        return Either.right(plan);
    }

    /** Adds what a service would do to the plan; returns why it cannot, or null. */
    private static String planService(
            Plan plan,
            Rows.Service service,
            Manifest.Service manifestService,
            Manifest manifest,
            Map<String, String> marks,
            Map<String, Integer> loadByRunner) {
        var closedCells = UnitMover.closedCells(service, marks);
        var healthyCells = new BitSet();
        for (var cell = 0; cell < service.cells.size(); cell++)
            if (service.hasWeight(cell) && service.countRunnersUp(cell) > 0) healthyCells.set(cell);
        var openCells = (BitSet) healthyCells.clone();
        openCells.andNot(closedCells);
        var unserved = findUnservedRegions(service, manifest, marks, openCells);
        if (unserved != null) return unserved;
        var wantedHomes = HomePlanner.wantedHomes(service, closedCells, healthyCells);
        addSteps(plan, service, manifestService, wantedHomes);
        return checkCapacity(plan, service, openCells, wantedHomes, loadByRunner);
    }

    /** Names a region set in use that no open cell would serve; null if all are served. */
    private static String findUnservedRegions(
            Rows.Service service, Manifest manifest, Map<String, String> marks, BitSet openCells) {
        for (var regionSet : regionSetsInUse(service, manifest, marks)) {
            var hasOpenCell = openCells.stream()
                    .anyMatch(cell ->
                            Units.containsRegion(regionSet, service.regions.indexOf(service.cellRegions.get(cell))));
            if (!hasOpenCell)
                return "service " + service.name
                        + ": no open cell with a running runner would be left for tenants with the home regions "
                        + regionNames(service, regionSet);
        }
        return null;
    }

    /** The region sets of the manifest as a whole and of each tenant, as bits. */
    private static Set<Integer> regionSetsInUse(Rows.Service service, Manifest manifest, Map<String, String> marks) {
        var sets = new HashSet<Integer>();
        sets.add(regionMask(service, manifest.regions()));
        for (var tenant : manifest.tenants().keySet()) {
            var keptRegions = marks.get(MarkKey.tenant(tenant).text());
            sets.add(regionMask(
                    service, keptRegions == null ? manifest.homeRegions(tenant) : List.of(keptRegions.split(","))));
        }
        return sets;
    }

    /** A set of regions as bits over the regions of the service. */
    private static int regionMask(Rows.Service service, List<String> regions) {
        var mask = 0;
        for (var region : regions) if (service.regions.contains(region)) mask |= 1 << service.regions.indexOf(region);
        return mask;
    }

    /** The names of the regions in a set. */
    private static List<String> regionNames(Rows.Service service, int regionSet) {
        var names = new ArrayList<String>();
        for (var region = 0; region < service.regions.size(); region++)
            if (Units.containsRegion(regionSet, region)) names.add(service.regions.get(region));
        return names;
    }

    /** Adds the moves of a service to the plan, by old and new home. */
    private static void addSteps(Plan plan, Rows.Service service, Manifest.Service manifestService, int[] wantedHomes) {
        var moves = new TreeMap<String, Integer>();
        for (var unit = Units.SLICE_COUNT; unit < wantedHomes.length; unit++)
            if (wantedHomes[unit] != service.homeCells[unit])
                moves.merge(
                        cellName(service, service.homeCells[unit]) + " to " + cellName(service, wantedHomes[unit]),
                        1,
                        Integer::sum);
        moves.forEach((route, count) -> plan.steps.add(
                (plan.steps.size() + 1) + ". service " + service.name + ": " + count + " units from " + route
                        + " in steps of " + manifestService.unitsPerStep() + " ("
                        + (count + manifestService.unitsPerStep() - 1) / manifestService.unitsPerStep()
                        + " steps, table from version " + service.tableVersion + ")"));
    }

    private static String cellName(Rows.Service service, int cell) {
        return cell == PlacementTable.NOWHERE ? "nowhere" : service.cells.get(cell);
    }

    /**
     * Adds the load of each cell and warnings to the plan; returns why the open cells cannot carry the running load,
     * or null.
     */
    private static String checkCapacity(
            Plan plan, Rows.Service service, BitSet openCells, int[] wantedHomes, Map<String, Integer> loadByRunner) {
        var load = service.runners.values().stream()
                .filter(Rows.Runner::isUp)
                .mapToInt(runner -> loadByRunner.getOrDefault(service.name + "/" + runner.name, 0))
                .sum();
        var slots = slotCount(service, openCells);
        if (load > slots)
            return "service " + service.name + ": " + load + " streams are running, but the open cells would have only "
                    + slots + " slots";
        if (load * 5 > slots * 4)
            plan.warnings.add("service " + service.name + ": " + load + " of " + slots + " slots would be in use");
        for (var cell = 0; cell < service.cells.size(); cell++) {
            var thisCell = new BitSet();
            thisCell.set(cell);
            var units = 0;
            for (var unit = Units.SLICE_COUNT; unit < wantedHomes.length; unit++)
                if (wantedHomes[unit] == cell) units++;
            plan.loads.add(service.name + "/" + service.cells.get(cell) + ": " + units + " units, "
                    + (openCells.get(cell) ? slotCount(service, thisCell) : 0) + " slots");
        }
        for (var region : service.regions) {
            var hasOpenCell = openCells.stream()
                    .anyMatch(cell -> service.cellRegions.get(cell).equals(region));
            if (!hasOpenCell)
                plan.warnings.add(
                        "service " + service.name + ": transactions pinned to " + region + " alone will be declined");
        }
        return null;
    }

    /** The slots of the running runners in some cells. */
    private static int slotCount(Rows.Service service, BitSet cells) {
        return service.runners.values().stream()
                .filter(runner -> runner.isUp() && cells.get(service.cells.indexOf(runner.cell)))
                .mapToInt(runner -> runner.slots)
                .sum();
    }

    private static <T> Either<Problem, T> badIntent(String detail) {
        return problem(ProblemKind.BAD_INTENT, detail);
    }

    private static <T> Either<Problem, T> problem(ProblemKind kind, String detail) {
        return Either.left(Problem.of(kind, detail));
    }
}
