package craneway.control.plan;

import craneway.model.manifest.Manifest;
import craneway.model.unit.PlacementTable;
import craneway.model.unit.Units;
import craneway.state.message.Commands.StepMark;
import craneway.state.message.Commands.StepRequest;
import craneway.state.message.Commands.TableStep;
import craneway.state.message.Plan;
import craneway.state.record.Rows;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Moves units to their wanted homes step by step, on the leader of a part. A step moves a few units to one cell. It
 * is first asked for in the log, and raised (put in force) once the store in the zone of the new home holds that
 * entry; {@link StepWatcher} then watches it. Plain table steps, which are neither confirmed nor watched, give units
 * without a home their first one, and take the home from units that no cell may serve.
 */
public final class UnitMover {
    /** A cell without units counts as healthy once it has had a running runner for this many microseconds. */
    public static final long HEALTHY_AFTER_MICROS = 3_000_000;
    /** A step that the store of its new home has not confirmed after this time is dropped. */
    private static final long CONFIRM_TIMEOUT_MICROS = 5_000_000;

    private final Map<String, Long> healthySinceByCell = new HashMap<>();
    private final Map<String, Long> nextStepAtByService = new HashMap<>();
    private final Map<String, Long> askedAtByStep = new HashMap<>();
    private final Map<String, WantedHomes> wantedHomesByService = new HashMap<>();

    /** Wanted homes with the inputs they were computed from. */
    private record WantedHomes(
            long topicVersion, int heldCellCount, BitSet closedCells, BitSet healthyCells, int[] homes) {}

    /** Forgets everything, for a new leader. */
    public void reset() {
        healthySinceByCell.clear();
        nextStepAtByService.clear();
        wantedHomesByService.clear();
        askedAtByStep.clear();
    }

    /** Tells whether the store in the zone of a cell holds the log up to an index. */
    public interface StoreSyncCheck {
        /** Whether the store in the zone of the cell holds the log up to the index, or is not to be waited for. */
        boolean isSynced(int cell, long index);
    }

    /**
     * The next command for a service: a {@code StepMark} for a step that has been asked for, a {@code StepRequest} or a
     * {@code TableStep}. Null if no unit has to move, the pause between steps is not over, or the service is not in
     * the manifest.
     */
    public Object nextStep(
            Rows.Service service,
            Manifest.Service manifestService,
            Map<String, String> marks,
            StoreSyncCheck storeSyncCheck,
            long now) {
        if (manifestService == null) return null;
        var healthyCells = healthyCells(service, now);
        var closedCells = closedCells(service, marks);
        var wantedHomes = cachedWantedHomes(service, closedCells, healthyCells);
        for (var step : service.steps)
            if (step.state == Rows.Step.ASKED) return resolveAskedStep(service, step, wantedHomes, storeSyncCheck, now);
        var units = new ArrayList<Integer>();
        var allUnassigned = true;
        for (var unit = Units.SLICE_COUNT; unit < wantedHomes.length; unit++) {
            if (wantedHomes[unit] == service.homeCells[unit]) continue;
            units.add(unit);
            allUnassigned &= service.homeCells[unit] == PlacementTable.NOWHERE;
        }
        if (units.isEmpty()) return null;
        if (allUnassigned) return newTableStep(service, units, wantedHomes);
        if (now < nextStepAtByService.computeIfAbsent(service.name, name -> now + manifestService.stepPause()))
            return null;
        var batch = units.stream()
                .filter(unit -> wantedHomes[unit] == wantedHomes[units.get(0)])
                .limit(manifestService.unitsPerStep())
                .toList();
        nextStepAtByService.put(service.name, now + stepPause(service, wantedHomes[batch.get(0)], manifestService));
        return wantedHomes[batch.get(0)] == PlacementTable.NOWHERE
                ? newTableStep(service, batch, wantedHomes)
                : newStepRequest(service, batch, wantedHomes, closedCells, healthyCells);
    }

    /**
     * Raises a step that was asked for once the store of the new home has confirmed it. Drops it if the wanted home
     * changed or no confirmation came in time; null while it waits.
     */
    private StepMark resolveAskedStep(
            Rows.Service service, Rows.Step step, int[] wantedHomes, StoreSyncCheck storeSyncCheck, long now) {
        var askedAt = askedAtByStep.computeIfAbsent(service.name + "/" + step.id, key -> now);
        var isStillWanted = Arrays.stream(step.units).allMatch(unit -> wantedHomes[unit] == step.toCell);
        var isConfirmed = isStillWanted && storeSyncCheck.isSynced(step.toCell, step.askedAtIndex);
        if (!isConfirmed && isStillWanted && now - askedAt < CONFIRM_TIMEOUT_MICROS) return null;
        askedAtByStep.remove(service.name + "/" + step.id);
        var mark = new StepMark();
        mark.service = service.name;
        mark.id = step.id;
        mark.state = isConfirmed ? Rows.Step.RAISED : Rows.Step.DROPPED;
        if (!isConfirmed)
            mark.cause = isStillWanted ? "the new home's store did not confirm" : "the wanted home changed";
        return mark;
    }

    /**
     * A request for a step, with the reason for the move: pressure, an emptied home, a lost home, or the return to
     * the regular home.
     */
    private static StepRequest newStepRequest(
            Rows.Service service, List<Integer> units, int[] wantedHomes, BitSet closedCells, BitSet healthyCells) {
        var stepAsk = new StepRequest();
        stepAsk.service = service.name;
        stepAsk.tableVersion = service.tableVersion;
        stepAsk.units = units.stream().mapToInt(unit -> unit).toArray();
        stepAsk.toCell = wantedHomes[units.get(0)];
        var currentHome = service.homeCells[units.get(0)];
        stepAsk.cause = service.displacedCellOf(units.get(0)) == stepAsk.toCell
                ? "pressure"
                : currentHome != PlacementTable.NOWHERE && closedCells.get(currentHome)
                        ? "emptied"
                        : currentHome != PlacementTable.NOWHERE && !healthyCells.get(currentHome) ? "lost" : "home";
        return stepAsk;
    }

    /** The same move as a plain table step, for members that cannot read step commands. */
    public static TableStep toTableStep(StepRequest stepAsk) {
        var tableStep = new TableStep();
        tableStep.service = stepAsk.service;
        tableStep.tableVersion = stepAsk.tableVersion;
        tableStep.units = stepAsk.units;
        tableStep.cells =
                Arrays.stream(stepAsk.units).map(unit -> stepAsk.toCell).toArray();
        return tableStep;
    }

    /** The cells that may take units: healthy and not closed. */
    public BitSet openCells(Rows.Service service, Map<String, String> marks, long now) {
        var openCells = healthyCells(service, now);
        openCells.andNot(closedCells(service, marks));
        return openCells;
    }

    /** The wanted homes, computed again only if something they depend on has changed. */
    private int[] cachedWantedHomes(Rows.Service service, BitSet closedCells, BitSet healthyCells) {
        var cached = wantedHomesByService.get(service.name);
        if (cached == null
                || cached.topicVersion != service.topicVersion
                || cached.heldCellCount != service.heldBackUntilAge.size()
                || !cached.closedCells.equals(closedCells)
                || !cached.healthyCells.equals(healthyCells)) {
            cached = new WantedHomes(
                    service.topicVersion,
                    service.heldBackUntilAge.size(),
                    closedCells,
                    healthyCells,
                    HomePlanner.wantedHomes(service, closedCells, healthyCells));
            wantedHomesByService.put(service.name, cached);
        }
        return cached.homes;
    }

    /**
     * How long to pause after a step to a cell; at least a tenth of the warm-up time if the cell has a cold runner.
     */
    private static long stepPause(Rows.Service service, int cell, Manifest.Service manifestService) {
        if (cell == PlacementTable.NOWHERE) return manifestService.stepPause();
        var hasColdRunner = service.runners.values().stream()
                .filter(runner -> runner.isUp() && runner.cell.equals(service.cells.get(cell)))
                .anyMatch(runner -> runner.cold);
        return hasColdRunner
                ? Math.max(manifestService.stepPause(), manifestService.warmUpTime() / 10)
                : manifestService.stepPause();
    }

    /** A table step that gives the units their wanted homes. */
    private static TableStep newTableStep(Rows.Service service, List<Integer> units, int[] wantedHomes) {
        var tableStep = new TableStep();
        tableStep.service = service.name;
        tableStep.tableVersion = service.tableVersion;
        tableStep.units = units.stream().mapToInt(unit -> unit).toArray();
        tableStep.cells = units.stream().mapToInt(unit -> wantedHomes[unit]).toArray();
        return tableStep;
    }

    /** The cells that are closed by the marks of operators: emptied themselves or in an emptied zone. */
    public static BitSet closedCells(Rows.Service service, Map<String, String> marks) {
        var closedCells = new BitSet();
        for (var cell = 0; cell < service.cells.size(); cell++)
            if (Plan.EMPTIED.equals(marks.get("zone:" + service.zones.get(cell)))
                    || Plan.EMPTIED.equals(marks.get("cell:" + service.name + "/" + service.cells.get(cell))))
                closedCells.set(cell);
        return closedCells;
    }

    /** The cells with a running runner, either for a while or with units at home there. */
    private BitSet healthyCells(Rows.Service service, long now) {
        var healthy = new BitSet();
        var runnersUp = service.countRunnersUp();
        var cellsWithUnits = new BitSet();
        for (var home : service.homeCells) if (home >= 0) cellsWithUnits.set(home);
        for (var cell = 0; cell < runnersUp.length; cell++) {
            var key = service.name + "/" + service.cells.get(cell);
            if (runnersUp[cell] == 0) {
                healthySinceByCell.remove(key);
                continue;
            }
            healthySinceByCell.putIfAbsent(key, now);
            if (now - healthySinceByCell.get(key) >= HEALTHY_AFTER_MICROS || cellsWithUnits.get(cell))
                healthy.set(cell);
        }
        return healthy;
    }
}
