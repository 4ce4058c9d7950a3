package craneway.control.plan;

import craneway.model.unit.Table;
import craneway.model.unit.Units;
import craneway.state.message.Commands.Displace;
import craneway.state.record.Rows;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

public final class Pressure {
    public static final double FULL = 0.8, CALM = 0.6, ROOM = 0.6;
    public static final long FULL_FOR = 3_000_000, CALM_FOR = 15_000_000, SETTLE = 4_000_000;
    private static final double SMOOTHING_MICROS = 5_000_000;
    private static final int MAX_UNITS_PER_COMMAND = 8;

    private final Map<String, double[]> smoothedUtilization = new HashMap<>();
    private final Map<String, Long> fullSinceByCell = new HashMap<>();
    private final Map<String, Long> calmSinceByCell = new HashMap<>();
    private final Map<String, Long> nextCommandAtByService = new HashMap<>();

    public void reset(long now) {
        smoothedUtilization.clear();
        fullSinceByCell.clear();
        calmSinceByCell.clear();
        nextCommandAtByService.replaceAll((service, dueAt) -> now + SETTLE);
    }

    public Displace ask(Rows.Service service, Map<String, Integer> loadByRunner, BitSet openCells, long now) {
        var utilization = utilizationByCell(service, loadByRunner);
        for (var cell = 0; cell < utilization.length; cell++) {
            utilization[cell] = smoothUtilization(service.name + "/" + cell, utilization[cell], now);
            trackSince(
                    fullSinceByCell, service.name + "/" + cell, openCells.get(cell) && utilization[cell] >= FULL, now);
            trackSince(
                    calmSinceByCell, service.name + "/" + cell, openCells.get(cell) && utilization[cell] <= CALM, now);
        }
        if (now < nextCommandAtByService.computeIfAbsent(service.name, name -> now)
                || service.steps.stream().anyMatch(step -> step.state == Rows.Step.ASKED)) return null;
        var displacement = displaceFromFullCell(service, utilization, openCells, now);
        if (displacement == null) displacement = returnToCalmHome(service, now);
        if (displacement != null) nextCommandAtByService.put(service.name, now + SETTLE);
        return displacement;
    }

    private double smoothUtilization(String key, double utilization, long now) {
        var smoothed = smoothedUtilization.computeIfAbsent(key, absentKey -> new double[] {utilization, now});
        smoothed[0] += (utilization - smoothed[0]) * Math.min(1, (now - smoothed[1]) / SMOOTHING_MICROS);
        smoothed[1] = now;
        return smoothed[0];
    }

    private static void trackSince(Map<String, Long> sinceByCell, String key, boolean holds, long now) {
        if (holds) sinceByCell.putIfAbsent(key, now);
        else sinceByCell.remove(key);
    }

    private static double[] utilizationByCell(Rows.Service service, Map<String, Integer> loadByRunner) {
        var cellNumbers = service.cellNumbers();
        var loadOfCell = new long[service.cells.size()];
        var slotsOfCell = new long[loadOfCell.length];
        for (var runner : service.runners.values()) {
            var cell = cellNumbers.get(runner.cell);
            if (!runner.up() || cell == null) continue;
            loadOfCell[cell] += Math.min(runner.slots, loadByRunner.getOrDefault(service.name + "/" + runner.name, 0));
            slotsOfCell[cell] += runner.slots;
        }
        return IntStream.range(0, loadOfCell.length)
                .mapToDouble(cell -> slotsOfCell[cell] == 0 ? 1 : loadOfCell[cell] / (double) slotsOfCell[cell])
                .toArray();
    }

    private boolean hasLasted(
            Map<String, Long> sinceByCell, Rows.Service service, int cell, long holdMicros, long now) {
        var since = sinceByCell.get(service.name + "/" + cell);
        return since != null && now - since >= holdMicros;
    }

    private Displace displaceFromFullCell(Rows.Service service, double[] utilization, BitSet openCells, long now) {
        for (var cell = 0; cell < utilization.length; cell++) {
            if (!hasLasted(fullSinceByCell, service, cell, FULL_FOR, now)) continue;
            var target = leastUtilizedCell(service, utilization, openCells, cell);
            if (target == Table.NOWHERE) continue;
            var units = new ArrayList<Integer>();
            for (var unit = service.homes.length - 1;
                    unit >= Units.SLICES && units.size() < MAX_UNITS_PER_COMMAND;
                    unit--)
                if (service.homes[unit] == cell
                        && service.displaced(unit) == Table.NOWHERE
                        && isAllowed(service, unit, target)) units.add(unit);
            if (!units.isEmpty()) return newDisplace(service, units, target);
        }
        return null;
    }

    private static int leastUtilizedCell(Rows.Service service, double[] utilization, BitSet openCells, int excluded) {
        var bestCell = Table.NOWHERE;
        for (var cell = 0; cell < utilization.length; cell++) {
            if (cell == excluded
                    || !openCells.get(cell)
                    || utilization[cell] > ROOM
                    || service.heldUntil.containsKey(service.cells.get(cell))) continue;
            if (bestCell == Table.NOWHERE || utilization[cell] < utilization[bestCell]) bestCell = cell;
        }
        return bestCell;
    }

    private static boolean isAllowed(Rows.Service service, int unit, int cell) {
        return Units.allows(Units.regionSet(unit), service.regions.indexOf(service.cellRegions.get(cell)));
    }

    private Displace returnToCalmHome(Rows.Service service, long now) {
        var units = new ArrayList<Integer>();
        for (var unit : service.displacedUnits) {
            var home = Planner.homeWithAllCellsOpen(service, unit);
            if (units.size() < MAX_UNITS_PER_COMMAND
                    && home != Table.NOWHERE
                    && hasLasted(calmSinceByCell, service, home, CALM_FOR, now)) units.add(unit);
        }
        return units.isEmpty() ? null : newDisplace(service, units, Table.NOWHERE);
    }

    private static Displace newDisplace(Rows.Service service, List<Integer> units, int target) {
        var command = new Displace();
        command.service = service.name;
        command.tableVersion = service.tableVersion;
        command.units = units.stream().mapToInt(unit -> unit).toArray();
        command.cells = units.stream().mapToInt(unit -> target).toArray();
        return command;
    }
}
