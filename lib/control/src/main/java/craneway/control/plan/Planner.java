package craneway.control.plan;

import craneway.model.unit.Hash;
import craneway.model.unit.Table;
import craneway.model.unit.Units;
import craneway.state.record.Rows;
import java.util.BitSet;

public final class Planner {
    private Planner() {}

    public static int[] wanted(Rows.Service s, BitSet closed, BitSet well) {
        var n = s.homes.length;
        var w = new int[n];
        var weights = cellWeights(s);
        for (var u = 0; u < n; u++) w[u] = wantedHome(s, u, closed, well, weights);
        return w;
    }

    private static int wantedHome(Rows.Service s, int unit, BitSet closed, BitSet well, int[] weights) {
        var now = s.homes[unit];
        var away = s.displaced(unit);
        if (away != Table.NOWHERE && isAllowed(s, unit, away) && !closed.get(away) && well.get(away)) return away;
        var best = selectCell(s, unit, closed, well, weights);
        if (best != now
                && best != Table.NOWHERE
                && now != Table.NOWHERE
                && s.heldUntil.containsKey(s.cells.get(best))
                && isAllowed(s, unit, now)
                && !closed.get(now)
                && well.get(now)) return now;
        if (best != Table.NOWHERE) return best;
        if (now != Table.NOWHERE && isAllowed(s, unit, now) && !closed.get(now)) return now;
        return selectCell(s, unit, closed, null, weights);
    }

    private static int[] cellWeights(Rows.Service s) {
        var w = new int[s.cells.size()];
        for (var c = 0; c < w.length; c++) w[c] = s.weight(c);
        return w;
    }

    static int homeWithAllCellsOpen(Rows.Service s, int unit) {
        return selectCell(s, unit, new BitSet(), null, cellWeights(s));
    }

    private static int selectCell(Rows.Service s, int unit, BitSet closed, BitSet well, int[] weights) {
        var best = Table.NOWHERE;
        var most = Double.NEGATIVE_INFINITY;
        for (var c = 0; c < s.cells.size(); c++) {
            if (!isAllowed(s, unit, c) || closed.get(c) || well != null && !well.get(c)) continue;
            var score = score(unit, s.cells.get(c), weights[c] / square(s.sharing(c, Units.regionSet(unit))));
            if (score > most) {
                most = score;
                best = c;
            }
        }
        return best;
    }

    /** Narrower sets come first where they share a region. */
    private static double square(int n) {
        return n * n;
    }

    private static boolean isAllowed(Rows.Service s, int unit, int cell) {
        return s.live(cell) && Units.allows(Units.regionSet(unit), s.regions.indexOf(s.cellRegions.get(cell)));
    }

    private static double score(int unit, String cell, double weight) {
        var h = Hash.of(Units.slice(unit), Hash.of(cell)) >>> 11;
        return weight / -StrictMath.log((h + 0.5) / (1L << 53));
    }
}
