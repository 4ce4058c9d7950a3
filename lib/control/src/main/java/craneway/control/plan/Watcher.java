package craneway.control.plan;

import craneway.state.message.Commands.StepMark;
import craneway.state.record.Rows;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.IntStream;

public final class Watcher {
    public static final long WATCH = 2_000_000, HELD = 30_000_000;
    private static final long BASELINE_WINDOW_MICROS = 3_000_000, SLOW_FIRST_TOKEN_MICROS = 1_000_000;
    private static final int MIN_SAMPLES = 5;

    private record WatchedStep(long since, Signals.Rate baseline) {}

    private final Map<String, WatchedStep> watchedSteps = new HashMap<>();

    public void reset() {
        watchedSteps.clear();
    }

    public StepMark judge(Rows.Service s, Signals g, BitSet open, long now) {
        for (var x : s.steps) {
            if (x.state != Rows.Step.RAISED) continue;
            var w = watchedStep(s, x, g, now);
            var units = returnableUnits(x, open);
            var worse = units.length > 0
                    ? describeDegradation(w.baseline, g.since(s.name, s.cells.get(x.to), w.since, now))
                    : null;
            if (worse == null && now - w.since < WATCH) continue;
            watchedSteps.remove(s.name + "/" + x.id);
            return newStepMark(s, x, worse, units);
        }
        return null;
    }

    private WatchedStep watchedStep(Rows.Service s, Rows.Step x, Signals g, long now) {
        var has = watchedSteps.get(s.name + "/" + x.id);
        if (has != null) return has;
        var before = g.since(s.name, s.cells.get(x.to), now - BASELINE_WINDOW_MICROS, now);
        for (var o : s.steps) {
            var w = watchedSteps.get(s.name + "/" + o.id);
            if (w == null || o.to != x.to) continue;
            before = w.baseline;
            break;
        }
        var w = new WatchedStep(now, before);
        watchedSteps.put(s.name + "/" + x.id, w);
        return w;
    }

    private static int[] returnableUnits(Rows.Step x, BitSet open) {
        return IntStream.range(0, x.units.length)
                .filter(i -> x.from[i] >= 0 && open.get(x.from[i]))
                .map(i -> x.units[i])
                .toArray();
    }

    private static String describeDegradation(Signals.Rate before, Signals.Rate after) {
        if (after.problems() >= MIN_SAMPLES && after.share() > 0.1 + 2 * before.share())
            return String.format("problems rose from %.2f to %.2f of its work", before.share(), after.share());
        if (after.runs() >= MIN_SAMPLES
                && before.runs() >= MIN_SAMPLES
                && after.first() > SLOW_FIRST_TOKEN_MICROS
                && after.first() > 3 * before.first())
            return String.format(
                    "time to first token rose from %.0f to %.0f ms", before.first() / 1000, after.first() / 1000);
        return null;
    }

    private static StepMark newStepMark(Rows.Service s, Rows.Step x, String worse, int[] units) {
        var m = new StepMark();
        m.service = s.name;
        m.id = x.id;
        m.state = worse == null ? Rows.Step.KEPT : Rows.Step.TAKEN_BACK;
        m.cause = worse == null ? "" : s.cells.get(x.to) + ": " + worse;
        m.heldMicros = HELD;
        m.units = units;
        return m;
    }
}
