package craneway.control.plan;

import craneway.model.unit.Hash;
import craneway.model.unit.PlacementTable;
import craneway.model.unit.Units;
import craneway.state.record.Rows;
import java.util.BitSet;

public final class HomePlanner {
    private HomePlanner() {}

    public static int[] wantedHomes(Rows.Service s, BitSet closed, BitSet well) {
        var n = s.homeCells.length;
        var w = new int[n];
        var weights = weights(s);
        for (var u = 0; u < n; u++) w[u] = wantedHomes(s, u, closed, well, weights);
        return w;
    }

    private static int wantedHomes(Rows.Service s, int unit, BitSet closed, BitSet well, int[] weights) {
        var now = s.homeCells[unit];
        var away = s.displacedCellOf(unit);
        if (away != PlacementTable.NOWHERE && allowed(s, unit, away) && !closed.get(away) && well.get(away)) return away;
        var best = pick(s, unit, closed, well, weights);
        if (best != now
                && best != PlacementTable.NOWHERE
                && now != PlacementTable.NOWHERE
                && s.heldBackUntilAge.containsKey(s.cells.get(best))
                && allowed(s, unit, now)
                && !closed.get(now)
                && well.get(now)) return now;
        if (best != PlacementTable.NOWHERE) return best;
        if (now != PlacementTable.NOWHERE && allowed(s, unit, now) && !closed.get(now)) return now;
        return pick(s, unit, closed, null, weights);
    }

    private static int[] weights(Rows.Service s) {
        var w = new int[s.cells.size()];
        for (var c = 0; c < w.length; c++) w[c] = s.weightOf(c);
        return w;
    }

    static int home(Rows.Service s, int unit) {
        return pick(s, unit, new BitSet(), null, weights(s));
    }

    private static int pick(Rows.Service s, int unit, BitSet closed, BitSet well, int[] weights) {
        var best = PlacementTable.NOWHERE;
        var most = Double.NEGATIVE_INFINITY;
        for (var c = 0; c < s.cells.size(); c++) {
            if (!allowed(s, unit, c) || closed.get(c) || well != null && !well.get(c)) continue;
            var score = score(unit, s.cells.get(c), weights[c] / squared(s.countRegionSetsSharing(c, Units.regionSetOf(unit))));
            if (score > most) {
                most = score;
                best = c;
            }
        }
        return best;
    }

    /** Narrower sets come first where they share a region. */
    private static double squared(int n) {
        return n * n;
    }

    private static boolean allowed(Rows.Service s, int unit, int cell) {
        return s.hasWeight(cell) && Units.containsRegion(Units.regionSetOf(unit), s.regions.indexOf(s.cellRegions.get(cell)));
    }

    private static double score(int unit, String cell, double weight) {
        var h = Hash.of(Units.sliceOf(unit), Hash.of(cell)) >>> 11;
        return weight / -StrictMath.log((h + 0.5) / (1L << 53));
    }
}
