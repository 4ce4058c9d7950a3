package craneway.control.plan;

import craneway.model.unit.PlacementTable;
import craneway.model.unit.Units;
import craneway.state.message.Commands.UnitDisplacement;
import craneway.state.record.Rows;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * Relieves full cells, on the leader of a part. Units of a cell that stays full are displaced to the cell with the
 * lowest utilization, and may go back once their regular home has been calm for a while. Utilization is load over
 * slots, smoothed over time.
 */
public final class PressureRelief {
    /** A cell with this utilization or more is full. */
    public static final double FULL_UTILIZATION = 0.8;

    /** A cell with this utilization or less is calm. */
    public static final double CALM_UTILIZATION = 0.6;

    /** A cell accepts displaced units up to this utilization. */
    public static final double MAX_TARGET_UTILIZATION = 0.6;

    /** Units are displaced from a cell that has been full for this many microseconds. */
    public static final long FULL_HOLD_MICROS = 3_000_000;

    /** Units may go back to a cell that has been calm for this many microseconds. */
    public static final long CALM_HOLD_MICROS = 15_000_000;

    /** The pause between two commands for a service, and after a new leader starts, in microseconds. */
    public static final long COMMAND_PAUSE_MICROS = 4_000_000;

    /** The time constant of the smoothing. */
    private static final double SMOOTHING_MICROS = 5_000_000;
    /** How many units one command displaces or returns at most. */
    private static final int MAX_UNITS_PER_COMMAND = 8;

    /** By cell, the smoothed utilization and when it was updated. */
    private final Map<String, double[]> smoothedUtilization = new HashMap<>();

    private final Map<String, Long> fullSinceByCell = new HashMap<>();
    private final Map<String, Long> calmSinceByCell = new HashMap<>();
    private final Map<String, Long> nextCommandAtByService = new HashMap<>();

    /** Forgets what was measured, for a new leader. */
    public void reset(long now) {
        smoothedUtilization.clear();
        fullSinceByCell.clear();
        calmSinceByCell.clear();
        nextCommandAtByService.replaceAll((service, dueAt) -> now + COMMAND_PAUSE_MICROS);
    }

    /**
     * The next displacement or return for a service, null if nothing is due. To be called at each scan, since it also
     * updates the utilization.
     */
    public UnitDisplacement nextDisplacement(
            Rows.Service service, Map<String, Integer> loadByRunner, BitSet openCells, long now) {
        var utilization = utilizationByCell(service, loadByRunner);
        for (var cell = 0; cell < utilization.length; cell++) {
            utilization[cell] = smoothUtilization(service.name + "/" + cell, utilization[cell], now);
            trackSince(
                    fullSinceByCell,
                    service.name + "/" + cell,
                    openCells.get(cell) && utilization[cell] >= FULL_UTILIZATION,
                    now);
            trackSince(
                    calmSinceByCell,
                    service.name + "/" + cell,
                    openCells.get(cell) && utilization[cell] <= CALM_UTILIZATION,
                    now);
        }
        if (now < nextCommandAtByService.computeIfAbsent(service.name, name -> now)
                || service.steps.stream().anyMatch(step -> step.state == Rows.Step.ASKED)) return null;
        var displacement = displaceFromFullCell(service, utilization, openCells, now);
        if (displacement == null) displacement = returnToCalmHome(service, now);
        if (displacement != null) nextCommandAtByService.put(service.name, now + COMMAND_PAUSE_MICROS);
        return displacement;
    }

    /** Adds a measurement and returns the smoothed value. */
    private double smoothUtilization(String key, double utilization, long now) {
        var smoothed = smoothedUtilization.computeIfAbsent(key, absentKey -> new double[] {utilization, now});
        smoothed[0] += (utilization - smoothed[0]) * Math.min(1, (now - smoothed[1]) / SMOOTHING_MICROS);
        smoothed[1] = now;
        return smoothed[0];
    }

    /** Records since when a condition has held without interruption. */
    private static void trackSince(Map<String, Long> sinceByCell, String key, boolean holds, long now) {
        if (holds) sinceByCell.putIfAbsent(key, now);
        else sinceByCell.remove(key);
    }

    /** The utilization of each cell as its runners report it; 1 for a cell without slots. */
    private static double[] utilizationByCell(Rows.Service service, Map<String, Integer> loadByRunner) {
        var cellNumbers = service.cellNumbersByName();
        var loadOfCell = new long[service.cells.size()];
        var slotsOfCell = new long[loadOfCell.length];
        for (var runner : service.runners.values()) {
            var cell = cellNumbers.get(runner.cell);
            if (!runner.isUp() || cell == null) continue;
            loadOfCell[cell] += Math.min(runner.slots, loadByRunner.getOrDefault(service.name + "/" + runner.name, 0));
            slotsOfCell[cell] += runner.slots;
        }
        return IntStream.range(0, loadOfCell.length)
                .mapToDouble(cell -> slotsOfCell[cell] == 0 ? 1 : loadOfCell[cell] / (double) slotsOfCell[cell])
                .toArray();
    }

    /** Whether a condition has held for long enough. */
    private boolean hasLasted(
            Map<String, Long> sinceByCell, Rows.Service service, int cell, long holdMicros, long now) {
        var since = sinceByCell.get(service.name + "/" + cell);
        return since != null && now - since >= holdMicros;
    }

    /** Displaces units from the first cell that has been full for long enough and for which another cell has room. */
    private UnitDisplacement displaceFromFullCell(
            Rows.Service service, double[] utilization, BitSet openCells, long now) {
        for (var cell = 0; cell < utilization.length; cell++) {
            if (!hasLasted(fullSinceByCell, service, cell, FULL_HOLD_MICROS, now)) continue;
            var target = leastUtilizedCell(service, utilization, openCells, cell);
            if (target == PlacementTable.NOWHERE) continue;
            var units = new ArrayList<Integer>();
            for (var unit = service.homeCells.length - 1;
                    unit >= Units.SLICE_COUNT && units.size() < MAX_UNITS_PER_COMMAND;
                    unit--)
                if (service.homeCells[unit] == cell
                        && service.displacedCellOf(unit) == PlacementTable.NOWHERE
                        && isAllowed(service, unit, target)) units.add(unit);
            if (!units.isEmpty()) return newUnitDisplacement(service, units, target);
        }
        return null;
    }

    /**
     * The open cell with the lowest utilization that has room and is not held back; {@link PlacementTable#NOWHERE} if
     * there is none.
     */
    private static int leastUtilizedCell(Rows.Service service, double[] utilization, BitSet openCells, int excluded) {
        var bestCell = PlacementTable.NOWHERE;
        for (var cell = 0; cell < utilization.length; cell++) {
            if (cell == excluded
                    || !openCells.get(cell)
                    || utilization[cell] > MAX_TARGET_UTILIZATION
                    || service.heldBackUntilAge.containsKey(service.cells.get(cell))) continue;
            if (bestCell == PlacementTable.NOWHERE || utilization[cell] < utilization[bestCell]) bestCell = cell;
        }
        return bestCell;
    }

    /** Whether a cell lies in one of the unit's regions. */
    private static boolean isAllowed(Rows.Service service, int unit, int cell) {
        return Units.containsRegion(Units.regionSetOf(unit), service.regions.indexOf(service.cellRegions.get(cell)));
    }

    /** Ends the displacement of units whose regular home has been calm for long enough. */
    private UnitDisplacement returnToCalmHome(Rows.Service service, long now) {
        var units = new ArrayList<Integer>();
        for (var unit : service.displacedUnits) {
            var home = HomePlanner.homeWithAllCellsOpen(service, unit);
            if (units.size() < MAX_UNITS_PER_COMMAND
                    && home != PlacementTable.NOWHERE
                    && hasLasted(calmSinceByCell, service, home, CALM_HOLD_MICROS, now)) units.add(unit);
        }
        return units.isEmpty() ? null : newUnitDisplacement(service, units, PlacementTable.NOWHERE);
    }

    /** A command that displaces units to a cell, or ends their displacement. */
    private static UnitDisplacement newUnitDisplacement(Rows.Service service, List<Integer> units, int target) {
        var command = new UnitDisplacement();
        command.service = service.name;
        command.tableVersion = service.tableVersion;
        command.units = units.stream().mapToInt(unit -> unit).toArray();
        command.cells = units.stream().mapToInt(unit -> target).toArray();
        return command;
    }
}
