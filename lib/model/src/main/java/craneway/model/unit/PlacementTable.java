package craneway.model.unit;

import java.util.Arrays;
import java.util.List;

/**
 * The placement table of a service: the home cell of each unit.
 *
 * @param version increases with every change
 * @param regions the names of the regions; the position is the number of the region
 * @param cells the names of the cells
 * @param cellRegions for each cell, the number of its region
 * @param homeCells for each unit, the index of its home cell, or {@link #NOWHERE}
 */
public record PlacementTable(
        long version, List<String> regions, List<String> cells, int[] cellRegions, int[] homeCells) {
    /** The home of a unit that has no home cell. */
    public static final int NOWHERE = -1;

    /** Returns the name of a unit's home cell, or null if the unit has none. */
    public String cellOf(int unit) {
        var cell = homeCells[unit];
        return cell == NOWHERE ? null : cells.get(cell);
    }

    /** Returns the region of a unit's home cell, or null if the unit has none. */
    public String regionOf(int unit) {
        var cell = homeCells[unit];
        return cell == NOWHERE ? null : regions.get(cellRegions[cell]);
    }

    /** Returns the set of these regions as a bit mask; regions that are not in the table are left out. */
    public int regionSetOf(Iterable<String> names) {
        var bits = 0;
        for (var name : names) {
            var region = regions.indexOf(name);
            if (region >= 0) bits |= 1 << region;
        }
        return bits;
    }

    /** Returns the number of units whose home is this cell. */
    public int unitCount(String cell) {
        var index = cells.indexOf(cell);
        return (int) Arrays.stream(homeCells)
                .filter(home -> home == index && index >= 0)
                .count();
    }
}
