package craneway.control.plan;

import craneway.model.unit.Hash;
import craneway.model.unit.Table;
import craneway.model.unit.Units;
import craneway.state.record.Rows;
import java.util.BitSet;

public final class Planner {
    private Planner() {}

    public static int[] wanted(Rows.Service service, BitSet closedCells, BitSet healthyCells) {
        var unitCount = service.homes.length;
        var homes = new int[unitCount];
        var weights = cellWeights(service);
        for (var unit = 0; unit < unitCount; unit++)
            homes[unit] = wantedHome(service, unit, closedCells, healthyCells, weights);
        return homes;
    }

    private static int wantedHome(
            Rows.Service service, int unit, BitSet closedCells, BitSet healthyCells, int[] weights) {
        var currentHome = service.homes[unit];
        var displacedTo = service.displaced(unit);
        if (displacedTo != Table.NOWHERE
                && isAllowed(service, unit, displacedTo)
                && !closedCells.get(displacedTo)
                && healthyCells.get(displacedTo)) return displacedTo;
        var bestCell = selectCell(service, unit, closedCells, healthyCells, weights);
        if (bestCell != currentHome
                && bestCell != Table.NOWHERE
                && currentHome != Table.NOWHERE
                && service.heldUntil.containsKey(service.cells.get(bestCell))
                && isAllowed(service, unit, currentHome)
                && !closedCells.get(currentHome)
                && healthyCells.get(currentHome)) return currentHome;
        if (bestCell != Table.NOWHERE) return bestCell;
        if (currentHome != Table.NOWHERE && isAllowed(service, unit, currentHome) && !closedCells.get(currentHome))
            return currentHome;
        return selectCell(service, unit, closedCells, null, weights);
    }

    private static int[] cellWeights(Rows.Service service) {
        var weights = new int[service.cells.size()];
        for (var cell = 0; cell < weights.length; cell++) weights[cell] = service.weight(cell);
        return weights;
    }

    static int homeWithAllCellsOpen(Rows.Service service, int unit) {
        return selectCell(service, unit, new BitSet(), null, cellWeights(service));
    }

    private static int selectCell(
            Rows.Service service, int unit, BitSet closedCells, BitSet healthyCells, int[] weights) {
        var bestCell = Table.NOWHERE;
        var bestScore = Double.NEGATIVE_INFINITY;
        for (var cell = 0; cell < service.cells.size(); cell++) {
            if (!isAllowed(service, unit, cell)
                    || closedCells.get(cell)
                    || healthyCells != null && !healthyCells.get(cell)) continue;
            var score = score(
                    unit,
                    service.cells.get(cell),
                    weights[cell] / square(service.sharing(cell, Units.regionSet(unit))));
            if (score > bestScore) {
                bestScore = score;
                bestCell = cell;
            }
        }
        return bestCell;
    }

    /** Narrower sets come first where they share a region. */
    private static double square(int n) {
        return n * n;
    }

    private static boolean isAllowed(Rows.Service service, int unit, int cell) {
        return service.live(cell)
                && Units.allows(Units.regionSet(unit), service.regions.indexOf(service.cellRegions.get(cell)));
    }

    private static double score(int unit, String cell, double weight) {
        var hash = Hash.of(Units.slice(unit), Hash.of(cell)) >>> 11;
        return weight / -StrictMath.log((hash + 0.5) / (1L << 53));
    }
}
