package craneway.control.plan;

import craneway.state.message.Commands.StepMark;
import craneway.state.record.Rows;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.IntStream;

public final class StepWatcher {
    public static final long WATCH_MICROS = 2_000_000, HOLD_MICROS = 30_000_000;
    private static final long BEFORE = 3_000_000, SLOW = 1_000_000;
    private static final int ENOUGH = 5;

    private record Watched(long since, SignalHistory.CellTotals before) {}

    private final Map<String, Watched> watched = new HashMap<>();

    public void reset() {
        watched.clear();
    }

    public StepMark nextVerdict(Rows.Service s, SignalHistory g, BitSet open, long now) {
        for (var x : s.steps) {
            if (x.state != Rows.Step.RAISED) continue;
            var w = watched(s, x, g, now);
            var units = canGoBack(x, open);
            var worse = units.length > 0 ? worse(w.before, g.totalsSince(s.name, s.cells.get(x.toCell), w.since, now)) : null;
            if (worse == null && now - w.since < WATCH_MICROS) continue;
            watched.remove(s.name + "/" + x.id);
            return mark(s, x, worse, units);
        }
        return null;
    }

    private Watched watched(Rows.Service s, Rows.Step x, SignalHistory g, long now) {
        var has = watched.get(s.name + "/" + x.id);
        if (has != null) return has;
        var before = g.totalsSince(s.name, s.cells.get(x.toCell), now - BEFORE, now);
        for (var o : s.steps) {
            var w = watched.get(s.name + "/" + o.id);
            if (w == null || o.toCell != x.toCell) continue;
            before = w.before;
            break;
        }
        var w = new Watched(now, before);
        watched.put(s.name + "/" + x.id, w);
        return w;
    }

    private static int[] canGoBack(Rows.Step x, BitSet open) {
        return IntStream.range(0, x.units.length)
                .filter(i -> x.fromCells[i] >= 0 && open.get(x.fromCells[i]))
                .map(i -> x.units[i])
                .toArray();
    }

    private static String worse(SignalHistory.CellTotals before, SignalHistory.CellTotals after) {
        if (after.problems() >= ENOUGH && after.problemShare() > 0.1 + 2 * before.problemShare())
            return String.format("problems rose from %.2f to %.2f of its work", before.problemShare(), after.problemShare());
        if (after.runs() >= ENOUGH
                && before.runs() >= ENOUGH
                && after.meanFirstTokenMicros() > SLOW
                && after.meanFirstTokenMicros() > 3 * before.meanFirstTokenMicros())
            return String.format(
                    "time to first token rose from %.0f to %.0f ms", before.meanFirstTokenMicros() / 1000, after.meanFirstTokenMicros() / 1000);
        return null;
    }

    private static StepMark mark(Rows.Service s, Rows.Step x, String worse, int[] units) {
        var m = new StepMark();
        m.service = s.name;
        m.id = x.id;
        m.state = worse == null ? Rows.Step.KEPT : Rows.Step.TAKEN_BACK;
        m.cause = worse == null ? "" : s.cells.get(x.toCell) + ": " + worse;
        m.holdBackMicros = HOLD_MICROS;
        m.units = units;
        return m;
    }
}
