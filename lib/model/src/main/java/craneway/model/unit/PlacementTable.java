package craneway.model.unit;

import java.util.Arrays;
import java.util.List;

/** Which cell is home to which unit; versions only rise. */
public record PlacementTable(long version, List<String> regions, List<String> cells, int[] cellRegions, int[] homeCells) {
    public static final int NOWHERE = -1;

    /** The home cell of a unit, or null where it has none. */
    public String cellOf(int unit) {
        var c = homeCells[unit];
        return c == NOWHERE ? null : cells.get(c);
    }

    /** The region of a unit's home cell, or null. */
    public String regionOf(int unit) {
        var c = homeCells[unit];
        return c == NOWHERE ? null : regions.get(cellRegions[c]);
    }

    /** The set of these regions as bits; regions that the table does not know are left out. */
    public int regionSetOf(Iterable<String> names) {
        var m = 0;
        for (var n : names) {
            var i = regions.indexOf(n);
            if (i >= 0) m |= 1 << i;
        }
        return m;
    }

    /** How many units live in this cell. */
    public int unitCount(String cell) {
        var c = cells.indexOf(cell);
        return (int) Arrays.stream(homeCells).filter(h -> h == c && c >= 0).count();
    }
}
