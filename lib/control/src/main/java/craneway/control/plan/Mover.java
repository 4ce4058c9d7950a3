package craneway.control.plan;

import craneway.model.manifest.Manifest;
import craneway.model.unit.Table;
import craneway.model.unit.Units;
import craneway.state.message.Commands.TableStep;
import craneway.state.message.Plan;
import craneway.state.record.Rows;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;

public final class Mover {
    public static final long HOLD = 3_000_000;

    private final Map<String, Long> wellSince = new HashMap<>();
    private final Map<String, Long> due = new HashMap<>();

    public void reset() {
        wellSince.clear();
        due.clear();
    }

    public TableStep step(Rows.Service s, Manifest.Service m, Map<String, String> marks, IntPredicate storeReady, long now) {
        if (m == null) return null;
        var well = well(s, now);
        if (now < due.getOrDefault(s.name, 0L)) return null;
        var wanted = Planner.wanted(s, closed(s, marks), well);
        var units = new ArrayList<Integer>();
        var fresh = true;
        for (var u = Units.SLICES; u < wanted.length; u++) {
            if (wanted[u] == s.homes[u]) continue;
            units.add(u);
            fresh &= s.homes[u] == Table.NOWHERE;
        }
        if (units.isEmpty()) return null;
        var take = fresh ? units : firstOfOneTarget(units, wanted, storeReady, m.stepUnits());
        if (take.isEmpty()) return null;
        due.put(s.name, now + pause(s, wanted[take.get(0)], m));
        return command(s, take, wanted);
    }

    private static List<Integer> firstOfOneTarget(List<Integer> units, int[] wanted, IntPredicate storeReady, int most) {
        var ready = units.stream().filter(u -> wanted[u] == Table.NOWHERE || storeReady.test(wanted[u])).toList();
        if (ready.isEmpty()) return ready;
        var target = wanted[ready.get(0)];
        return ready.stream().filter(u -> wanted[u] == target).limit(most).toList();
    }

    private static long pause(Rows.Service s, int cell, Manifest.Service m) {
        if (cell == Table.NOWHERE) return m.stepPause();
        var cold = s.runners.values().stream().filter(r -> r.up() && r.cell.equals(s.cells.get(cell))).anyMatch(r -> r.cold);
        return cold ? Math.max(m.stepPause(), m.warmUp() / 10) : m.stepPause();
    }

    private static TableStep command(Rows.Service s, List<Integer> units, int[] wanted) {
        var t = new TableStep();
        t.service = s.name;
        t.tableVersion = s.tableVersion;
        t.units = units.stream().mapToInt(u -> u).toArray();
        t.cells = units.stream().mapToInt(u -> wanted[u]).toArray();
        return t;
    }

    public static BitSet closed(Rows.Service s, Map<String, String> marks) {
        var b = new BitSet();
        for (var c = 0; c < s.cells.size(); c++)
            if (Plan.EMPTIED.equals(marks.get("zone:" + s.zones.get(c))) || Plan.EMPTIED.equals(marks.get("cell:" + s.name + "/" + s.cells.get(c)))) b.set(c);
        return b;
    }

    private BitSet well(Rows.Service s, long now) {
        var b = new BitSet();
        for (var c = 0; c < s.cells.size(); c++) {
            var k = s.name + "/" + s.cells.get(c);
            if (s.runnersUp(c) == 0) {
                wellSince.remove(k);
                continue;
            }
            wellSince.putIfAbsent(k, now);
            if (now - wellSince.get(k) >= HOLD || housesUnits(s, c)) b.set(c);
        }
        return b;
    }

    private static boolean housesUnits(Rows.Service s, int cell) {
        for (var h : s.homes) if (h == cell) return true;
        return false;
    }
}
