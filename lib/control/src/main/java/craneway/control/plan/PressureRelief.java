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

public final class PressureRelief {
    public static final double FULL_UTILIZATION = 0.8, CALM_UTILIZATION = 0.6, MAX_TARGET_UTILIZATION = 0.6;
    public static final long FULL_HOLD_MICROS = 3_000_000, CALM_HOLD_MICROS = 15_000_000, COMMAND_PAUSE_MICROS = 4_000_000;
    private static final double SMOOTH = 5_000_000;
    private static final int MOST = 8;

    private final Map<String, double[]> uses = new HashMap<>();
    private final Map<String, Long> fullSince = new HashMap<>();
    private final Map<String, Long> calmSince = new HashMap<>();
    private final Map<String, Long> due = new HashMap<>();

    public void reset(long now) {
        uses.clear();
        fullSince.clear();
        calmSince.clear();
        due.replaceAll((k, v) -> now + COMMAND_PAUSE_MICROS);
    }

    public UnitDisplacement nextDisplacement(Rows.Service s, Map<String, Integer> loads, BitSet open, long now) {
        var use = use(s, loads);
        for (var c = 0; c < use.length; c++) {
            use[c] = smooth(s.name + "/" + c, use[c], now);
            since(fullSince, s.name + "/" + c, open.get(c) && use[c] >= FULL_UTILIZATION, now);
            since(calmSince, s.name + "/" + c, open.get(c) && use[c] <= CALM_UTILIZATION, now);
        }
        if (now < due.computeIfAbsent(s.name, k -> now) || s.steps.stream().anyMatch(x -> x.state == Rows.Step.ASKED))
            return null;
        var d = away(s, use, open, now);
        if (d == null) d = back(s, now);
        if (d != null) due.put(s.name, now + COMMAND_PAUSE_MICROS);
        return d;
    }

    private double smooth(String k, double use, long now) {
        var u = uses.computeIfAbsent(k, x -> new double[] {use, now});
        u[0] += (use - u[0]) * Math.min(1, (now - u[1]) / SMOOTH);
        u[1] = now;
        return u[0];
    }

    private static void since(Map<String, Long> map, String k, boolean is, long now) {
        if (is) map.putIfAbsent(k, now);
        else map.remove(k);
    }

    private static double[] use(Rows.Service s, Map<String, Integer> loads) {
        var at = s.cellNumbersByName();
        var load = new long[s.cells.size()];
        var slots = new long[load.length];
        for (var r : s.runners.values()) {
            var c = at.get(r.cell);
            if (!r.isUp() || c == null) continue;
            load[c] += Math.min(r.slots, loads.getOrDefault(s.name + "/" + r.name, 0));
            slots[c] += r.slots;
        }
        return IntStream.range(0, load.length)
                .mapToDouble(c -> slots[c] == 0 ? 1 : load[c] / (double) slots[c])
                .toArray();
    }

    private boolean lasted(Map<String, Long> map, Rows.Service s, int cell, long hold, long now) {
        var t = map.get(s.name + "/" + cell);
        return t != null && now - t >= hold;
    }

    private UnitDisplacement away(Rows.Service s, double[] use, BitSet open, long now) {
        for (var c = 0; c < use.length; c++) {
            if (!lasted(fullSince, s, c, FULL_HOLD_MICROS, now)) continue;
            var to = roomiest(s, use, open, c);
            if (to == PlacementTable.NOWHERE) continue;
            var units = new ArrayList<Integer>();
            for (var u = s.homeCells.length - 1; u >= Units.SLICE_COUNT && units.size() < MOST; u--)
                if (s.homeCells[u] == c && s.displacedCellOf(u) == PlacementTable.NOWHERE && allows(s, u, to)) units.add(u);
            if (!units.isEmpty()) return command(s, units, to);
        }
        return null;
    }

    private static int roomiest(Rows.Service s, double[] use, BitSet open, int but) {
        var best = PlacementTable.NOWHERE;
        for (var c = 0; c < use.length; c++) {
            if (c == but || !open.get(c) || use[c] > MAX_TARGET_UTILIZATION || s.heldBackUntilAge.containsKey(s.cells.get(c))) continue;
            if (best == PlacementTable.NOWHERE || use[c] < use[best]) best = c;
        }
        return best;
    }

    private static boolean allows(Rows.Service s, int unit, int cell) {
        return Units.containsRegion(Units.regionSetOf(unit), s.regions.indexOf(s.cellRegions.get(cell)));
    }

    private UnitDisplacement back(Rows.Service s, long now) {
        var units = new ArrayList<Integer>();
        for (var u : s.displacedUnits) {
            var home = HomePlanner.home(s, u);
            if (units.size() < MOST && home != PlacementTable.NOWHERE && lasted(calmSince, s, home, CALM_HOLD_MICROS, now)) units.add(u);
        }
        return units.isEmpty() ? null : command(s, units, PlacementTable.NOWHERE);
    }

    private static UnitDisplacement command(Rows.Service s, List<Integer> units, int to) {
        var d = new UnitDisplacement();
        d.service = s.name;
        d.tableVersion = s.tableVersion;
        d.units = units.stream().mapToInt(u -> u).toArray();
        d.cells = units.stream().mapToInt(u -> to).toArray();
        return d;
    }
}
