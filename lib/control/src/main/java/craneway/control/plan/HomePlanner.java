package craneway.control.plan;

import craneway.model.unit.Hash;
import craneway.model.unit.PlacementTable;
import craneway.model.unit.Units;
import craneway.state.record.Rows;
import java.util.BitSet;

/**
 * Computes the wanted home of each unit by weighted rendezvous hashing over the cells that may have it, so that few
 * units move when cells come and go.
 */
public final class HomePlanner {
    private HomePlanner() {}

    /** The wanted home of each unit as an index of a cell, or {@link PlacementTable#NOWHERE}. */
    public static int[] wantedHomes(Rows.Service service, BitSet closedCells, BitSet healthyCells) {
        var unitCount = service.homeCells.length;
        var homes = new int[unitCount];
        var weights = cellWeights(service);
        for (var unit = 0; unit < unitCount; unit++)
            homes[unit] = wantedHome(service, unit, closedCells, healthyCells, weights);
        return homes;
    }

    /**
     * The wanted home of one unit: the cell it is displaced to, while that is open; its current home, if the best
     * cell is held back after a step was taken back; else the best open cell. If no cell is open, the unit stays
     * where it is unless its home is closed.
     */
    private static int wantedHome(
            Rows.Service service, int unit, BitSet closedCells, BitSet healthyCells, int[] weights) {
        var currentHome = service.homeCells[unit];
        var displacedTo = service.displacedCellOf(unit);
        if (displacedTo != PlacementTable.NOWHERE
                && isAllowed(service, unit, displacedTo)
                && !closedCells.get(displacedTo)
                && healthyCells.get(displacedTo)) return displacedTo;
        var bestCell = selectCell(service, unit, closedCells, healthyCells, weights);
        if (bestCell != currentHome
                && bestCell != PlacementTable.NOWHERE
                && currentHome != PlacementTable.NOWHERE
                && service.heldBackUntilAge.containsKey(service.cells.get(bestCell))
                && isAllowed(service, unit, currentHome)
                && !closedCells.get(currentHome)
                && healthyCells.get(currentHome)) return currentHome;
        if (bestCell != PlacementTable.NOWHERE) return bestCell;
        if (currentHome != PlacementTable.NOWHERE
                && isAllowed(service, unit, currentHome)
                && !closedCells.get(currentHome)) return currentHome;
        return selectCell(service, unit, closedCells, null, weights);
    }

    /** The weight of each cell. */
    private static int[] cellWeights(Rows.Service service) {
        var weights = new int[service.cells.size()];
        for (var cell = 0; cell < weights.length; cell++) weights[cell] = service.weightOf(cell);
        return weights;
    }

    /** The home that a unit would have if all cells were open. */
    static int homeWithAllCellsOpen(Rows.Service service, int unit) {
        return selectCell(service, unit, new BitSet(), null, cellWeights(service));
    }

    /**
     * The cell with the highest score for a unit among those that may have it and are not closed; null for {@code
     * healthyCells} lets any cell count as healthy.
     */
    private static int selectCell(
            Rows.Service service, int unit, BitSet closedCells, BitSet healthyCells, int[] weights) {
        var bestCell = PlacementTable.NOWHERE;
        var bestScore = Double.NEGATIVE_INFINITY;
        for (var cell = 0; cell < service.cells.size(); cell++) {
            if (!isAllowed(service, unit, cell)
                    || closedCells.get(cell)
                    || healthyCells != null && !healthyCells.get(cell)) continue;
            var score = score(
                    unit,
                    service.cells.get(cell),
                    weights[cell] / square(service.countRegionSetsSharing(cell, Units.regionSetOf(unit))));
            if (score > bestScore) {
                bestScore = score;
                bestCell = cell;
            }
        }
        return bestCell;
    }

    /**
     * Squares the number of region sets in use that share a region. Dividing the weight by it gives narrower sets
     * precedence where they share a region.
     */
    private static double square(int n) {
        return n * n;
    }

    /** Whether a cell is in use and lies in one of the unit's regions. */
    private static boolean isAllowed(Rows.Service service, int unit, int cell) {
        return service.hasWeight(cell)
                && Units.containsRegion(
                        Units.regionSetOf(unit), service.regions.indexOf(service.cellRegions.get(cell)));
    }

    /**
     * The score of a cell for a unit by weighted rendezvous hashing; the unit with the same slice in another region
     * set gets the same hash.
     */
    private static double score(int unit, String cell, double weight) {
        var hash = Hash.of(Units.sliceOf(unit), Hash.of(cell)) >>> 11;
        return weight / -StrictMath.log((hash + 0.5) / (1L << 53));
    }
}
