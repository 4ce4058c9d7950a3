package craneway.control.plan;

import craneway.model.manifest.Manifest;
import craneway.model.unit.PlacementTable;
import craneway.model.unit.Units;
import craneway.state.message.Commands.StepAsk;
import craneway.state.message.Commands.StepMark;
import craneway.state.message.Commands.TableStep;
import craneway.state.message.Plan;
import craneway.state.record.Rows;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

public final class UnitMover {
    public static final long HEALTHY_AFTER_MICROS = 3_000_000;
    private static final long CONFIRM = 5_000_000;

    private final Map<String, Long> wellSince = new HashMap<>();
    private final Map<String, Long> due = new HashMap<>();
    private final Map<String, Long> asked = new HashMap<>();
    private final Map<String, Wanted> wanted = new HashMap<>();

    private record Wanted(long newsVersion, int held, BitSet closed, BitSet well, int[] homes) {}

    public void reset() {
        wellSince.clear();
        due.clear();
        wanted.clear();
        asked.clear();
    }

    public interface StoreSyncCheck {
        boolean isSynced(int cell, long index);
    }

    public Object nextStep(Rows.Service s, Manifest.Service m, Map<String, String> marks, StoreSyncCheck ready, long now) {
        if (m == null) return null;
        var well = well(s, now);
        var closed = closedCells(s, marks);
        var wanted = wanted(s, closed, well);
        for (var x : s.steps) if (x.state == Rows.Step.ASKED) return settle(s, x, wanted, ready, now);
        var units = new ArrayList<Integer>();
        var fresh = true;
        for (var u = Units.SLICE_COUNT; u < wanted.length; u++) {
            if (wanted[u] == s.homeCells[u]) continue;
            units.add(u);
            fresh &= s.homeCells[u] == PlacementTable.NOWHERE;
        }
        if (units.isEmpty()) return null;
        if (fresh) return command(s, units, wanted);
        if (now < due.computeIfAbsent(s.name, k -> now + m.stepPause())) return null;
        var take = units.stream()
                .filter(u -> wanted[u] == wanted[units.get(0)])
                .limit(m.unitsPerStep())
                .toList();
        due.put(s.name, now + pause(s, wanted[take.get(0)], m));
        return wanted[take.get(0)] == PlacementTable.NOWHERE ? command(s, take, wanted) : ask(s, take, wanted, closed, well);
    }

    private StepMark settle(Rows.Service s, Rows.Step x, int[] wanted, StoreSyncCheck ready, long now) {
        var since = asked.computeIfAbsent(s.name + "/" + x.id, k -> now);
        var still = Arrays.stream(x.units).allMatch(u -> wanted[u] == x.toCell);
        var go = still && ready.isSynced(x.toCell, x.askedAtIndex);
        if (!go && still && now - since < CONFIRM) return null;
        asked.remove(s.name + "/" + x.id);
        var m = new StepMark();
        m.service = s.name;
        m.id = x.id;
        m.state = go ? Rows.Step.RAISED : Rows.Step.DROPPED;
        if (!go) m.cause = still ? "the new home's store did not confirm" : "the wanted home changed";
        return m;
    }

    private static StepAsk ask(Rows.Service s, List<Integer> units, int[] wanted, BitSet closed, BitSet well) {
        var a = new StepAsk();
        a.service = s.name;
        a.tableVersion = s.tableVersion;
        a.units = units.stream().mapToInt(u -> u).toArray();
        a.toCell = wanted[units.get(0)];
        var from = s.homeCells[units.get(0)];
        a.cause = s.displacedCellOf(units.get(0)) == a.toCell
                ? "pressure"
                : from != PlacementTable.NOWHERE && closed.get(from)
                        ? "emptied"
                        : from != PlacementTable.NOWHERE && !well.get(from) ? "lost" : "home";
        return a;
    }

    public static TableStep toTableStep(StepAsk a) {
        var t = new TableStep();
        t.service = a.service;
        t.tableVersion = a.tableVersion;
        t.units = a.units;
        t.cells = Arrays.stream(a.units).map(u -> a.toCell).toArray();
        return t;
    }

    public BitSet openCells(Rows.Service s, Map<String, String> marks, long now) {
        var b = well(s, now);
        b.andNot(closedCells(s, marks));
        return b;
    }

    private int[] wanted(Rows.Service s, BitSet closed, BitSet well) {
        var w = wanted.get(s.name);
        if (w == null
                || w.newsVersion != s.topicVersion
                || w.held != s.heldBackUntilAge.size()
                || !w.closed.equals(closed)
                || !w.well.equals(well)) {
            w = new Wanted(s.topicVersion, s.heldBackUntilAge.size(), closed, well, HomePlanner.wantedHomes(s, closed, well));
            wanted.put(s.name, w);
        }
        return w.homes;
    }

    private static long pause(Rows.Service s, int cell, Manifest.Service m) {
        if (cell == PlacementTable.NOWHERE) return m.stepPause();
        var cold = s.runners.values().stream()
                .filter(r -> r.isUp() && r.cell.equals(s.cells.get(cell)))
                .anyMatch(r -> r.cold);
        return cold ? Math.max(m.stepPause(), m.warmUpTime() / 10) : m.stepPause();
    }

    private static TableStep command(Rows.Service s, List<Integer> units, int[] wanted) {
        var t = new TableStep();
        t.service = s.name;
        t.tableVersion = s.tableVersion;
        t.units = units.stream().mapToInt(u -> u).toArray();
        t.cells = units.stream().mapToInt(u -> wanted[u]).toArray();
        return t;
    }

    public static BitSet closedCells(Rows.Service s, Map<String, String> marks) {
        var b = new BitSet();
        for (var c = 0; c < s.cells.size(); c++)
            if (Plan.EMPTIED.equals(marks.get("zone:" + s.zones.get(c)))
                    || Plan.EMPTIED.equals(marks.get("cell:" + s.name + "/" + s.cells.get(c)))) b.set(c);
        return b;
    }

    private BitSet well(Rows.Service s, long now) {
        var b = new BitSet();
        var up = s.countRunnersUp();
        var housing = new BitSet();
        for (var h : s.homeCells) if (h >= 0) housing.set(h);
        for (var c = 0; c < up.length; c++) {
            var k = s.name + "/" + s.cells.get(c);
            if (up[c] == 0) {
                wellSince.remove(k);
                continue;
            }
            wellSince.putIfAbsent(k, now);
            if (now - wellSince.get(k) >= HEALTHY_AFTER_MICROS || housing.get(c)) b.set(c);
        }
        return b;
    }
}
