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

    public StepMark judge(Rows.Service service, Signals signals, BitSet openCells, long now) {
        for (var step : service.steps) {
            if (step.state != Rows.Step.RAISED) continue;
            var watched = watchedStep(service, step, signals, now);
            var units = returnableUnits(step, openCells);
            var degradation = units.length > 0
                    ? describeDegradation(
                            watched.baseline,
                            signals.since(service.name, service.cells.get(step.to), watched.since, now))
                    : null;
            if (degradation == null && now - watched.since < WATCH) continue;
            watchedSteps.remove(service.name + "/" + step.id);
            return newStepMark(service, step, degradation, units);
        }
        return null;
    }

    private WatchedStep watchedStep(Rows.Service service, Rows.Step step, Signals signals, long now) {
        var existing = watchedSteps.get(service.name + "/" + step.id);
        if (existing != null) return existing;
        var baseline = signals.since(service.name, service.cells.get(step.to), now - BASELINE_WINDOW_MICROS, now);
        for (var other : service.steps) {
            var watched = watchedSteps.get(service.name + "/" + other.id);
            if (watched == null || other.to != step.to) continue;
            baseline = watched.baseline;
            break;
        }
        var watched = new WatchedStep(now, baseline);
        watchedSteps.put(service.name + "/" + step.id, watched);
        return watched;
    }

    private static int[] returnableUnits(Rows.Step step, BitSet openCells) {
        return IntStream.range(0, step.units.length)
                .filter(index -> step.from[index] >= 0 && openCells.get(step.from[index]))
                .map(index -> step.units[index])
                .toArray();
    }

    private static String describeDegradation(Signals.Rate baseline, Signals.Rate current) {
        if (current.problems() >= MIN_SAMPLES && current.share() > 0.1 + 2 * baseline.share())
            return String.format("problems rose from %.2f to %.2f of its work", baseline.share(), current.share());
        if (current.runs() >= MIN_SAMPLES
                && baseline.runs() >= MIN_SAMPLES
                && current.first() > SLOW_FIRST_TOKEN_MICROS
                && current.first() > 3 * baseline.first())
            return String.format(
                    "time to first token rose from %.0f to %.0f ms", baseline.first() / 1000, current.first() / 1000);
        return null;
    }

    private static StepMark newStepMark(Rows.Service service, Rows.Step step, String degradation, int[] units) {
        var mark = new StepMark();
        mark.service = service.name;
        mark.id = step.id;
        mark.state = degradation == null ? Rows.Step.KEPT : Rows.Step.TAKEN_BACK;
        mark.cause = degradation == null ? "" : service.cells.get(step.to) + ": " + degradation;
        mark.heldMicros = HELD;
        mark.units = units;
        return mark;
    }
}
