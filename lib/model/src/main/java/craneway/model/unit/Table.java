package craneway.model.unit;

import java.util.Arrays;
import java.util.List;

public record Table(long version, List<String> regions, List<String> cells, int[] cellRegion, int[] homes) {
    public static final int NOWHERE = -1;

    public String cellOf(int unit) {
        var c = homes[unit];
        return c == NOWHERE ? null : cells.get(c);
    }

    public String regionOf(int unit) {
        var c = homes[unit];
        return c == NOWHERE ? null : regions.get(cellRegion[c]);
    }

    public int regionSet(Iterable<String> names) {
        var m = 0;
        for (var n : names) {
            var i = regions.indexOf(n);
            if (i >= 0) m |= 1 << i;
        }
        return m;
    }

    public int count(String cell) {
        var c = cells.indexOf(cell);
        return (int) Arrays.stream(homes).filter(h -> h == c && c >= 0).count();
    }
}
