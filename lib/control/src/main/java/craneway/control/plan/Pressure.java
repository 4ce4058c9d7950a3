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
        nextCommandAtByService.replaceAll((k, v) -> now + SETTLE);
    }

    public Displace ask(Rows.Service s, Map<String, Integer> loads, BitSet open, long now) {
        var use = utilizationByCell(s, loads);
        for (var c = 0; c < use.length; c++) {
            use[c] = smoothUtilization(s.name + "/" + c, use[c], now);
            trackSince(fullSinceByCell, s.name + "/" + c, open.get(c) && use[c] >= FULL, now);
            trackSince(calmSinceByCell, s.name + "/" + c, open.get(c) && use[c] <= CALM, now);
        }
        if (now < nextCommandAtByService.computeIfAbsent(s.name, k -> now)
                || s.steps.stream().anyMatch(x -> x.state == Rows.Step.ASKED)) return null;
        var d = displaceFromFullCell(s, use, open, now);
        if (d == null) d = returnToCalmHome(s, now);
        if (d != null) nextCommandAtByService.put(s.name, now + SETTLE);
        return d;
    }

    private double smoothUtilization(String k, double use, long now) {
        var u = smoothedUtilization.computeIfAbsent(k, x -> new double[] {use, now});
        u[0] += (use - u[0]) * Math.min(1, (now - u[1]) / SMOOTHING_MICROS);
        u[1] = now;
        return u[0];
    }

    private static void trackSince(Map<String, Long> map, String k, boolean is, long now) {
        if (is) map.putIfAbsent(k, now);
        else map.remove(k);
    }

    private static double[] utilizationByCell(Rows.Service s, Map<String, Integer> loads) {
        var at = s.cellNumbers();
        var load = new long[s.cells.size()];
        var slots = new long[load.length];
        for (var r : s.runners.values()) {
            var c = at.get(r.cell);
            if (!r.up() || c == null) continue;
            load[c] += Math.min(r.slots, loads.getOrDefault(s.name + "/" + r.name, 0));
            slots[c] += r.slots;
        }
        return IntStream.range(0, load.length)
                .mapToDouble(c -> slots[c] == 0 ? 1 : load[c] / (double) slots[c])
                .toArray();
    }

    private boolean hasLasted(Map<String, Long> map, Rows.Service s, int cell, long hold, long now) {
        var t = map.get(s.name + "/" + cell);
        return t != null && now - t >= hold;
    }

    private Displace displaceFromFullCell(Rows.Service s, double[] use, BitSet open, long now) {
        for (var c = 0; c < use.length; c++) {
            if (!hasLasted(fullSinceByCell, s, c, FULL_FOR, now)) continue;
            var to = leastUtilizedCell(s, use, open, c);
            if (to == Table.NOWHERE) continue;
            var units = new ArrayList<Integer>();
            for (var u = s.homes.length - 1; u >= Units.SLICES && units.size() < MAX_UNITS_PER_COMMAND; u--)
                if (s.homes[u] == c && s.displaced(u) == Table.NOWHERE && isAllowed(s, u, to)) units.add(u);
            if (!units.isEmpty()) return newDisplace(s, units, to);
        }
        return null;
    }

    private static int leastUtilizedCell(Rows.Service s, double[] use, BitSet open, int but) {
        var best = Table.NOWHERE;
        for (var c = 0; c < use.length; c++) {
            if (c == but || !open.get(c) || use[c] > ROOM || s.heldUntil.containsKey(s.cells.get(c))) continue;
            if (best == Table.NOWHERE || use[c] < use[best]) best = c;
        }
        return best;
    }

    private static boolean isAllowed(Rows.Service s, int unit, int cell) {
        return Units.allows(Units.regionSet(unit), s.regions.indexOf(s.cellRegions.get(cell)));
    }

    private Displace returnToCalmHome(Rows.Service s, long now) {
        var units = new ArrayList<Integer>();
        for (var u : s.displacedUnits) {
            var home = Planner.homeWithAllCellsOpen(s, u);
            if (units.size() < MAX_UNITS_PER_COMMAND
                    && home != Table.NOWHERE
                    && hasLasted(calmSinceByCell, s, home, CALM_FOR, now)) units.add(u);
        }
        return units.isEmpty() ? null : newDisplace(s, units, Table.NOWHERE);
    }

    private static Displace newDisplace(Rows.Service s, List<Integer> units, int to) {
        var d = new Displace();
        d.service = s.name;
        d.tableVersion = s.tableVersion;
        d.units = units.stream().mapToInt(u -> u).toArray();
        d.cells = units.stream().mapToInt(u -> to).toArray();
        return d;
    }
}
