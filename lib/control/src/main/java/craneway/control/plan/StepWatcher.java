package craneway.control.plan;

import craneway.state.message.Commands.StepMark;
import craneway.state.record.Rows;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * Watches each raised step for a while, on the leader of a part. If the new home has more problems or a longer time
 * to first token than before, the units are taken back and the cell is held: no regular home moves there for some
 * time.
 */
public final class StepWatcher {
    /** How long a step is watched, in microseconds, before it is kept. */
    public static final long WATCH_DURATION_MICROS = 2_000_000;

    /** How long a cell is held after a step to it was taken back, in microseconds. */
    public static final long HOLD_DURATION_MICROS = 30_000_000;

    /** The time before a step over which the state of the new home is measured for comparison. */
    private static final long BASELINE_WINDOW_MICROS = 3_000_000;

    /** A mean time to first token up to this is never a reason to take a step back. */
    private static final long SLOW_FIRST_TOKEN_MICROS = 1_000_000;

    /** A comparison needs at least this many runs or problems. */
    private static final int MIN_SAMPLE_COUNT = 5;

    /** When a step was first watched, and the state of its new home before. */
    private record WatchedStep(long since, SignalHistory.CellTotals baseline) {}

    private final Map<String, WatchedStep> watchedSteps = new HashMap<>();

    /** Forgets all steps, for a new leader. */
    public void reset() {
        watchedSteps.clear();
    }

    /** The command that keeps or takes back the first step of a service that can be decided; null if there is none. */
    public StepMark nextDecision(Rows.Service service, SignalHistory signalHistory, BitSet openCells, long now) {
        for (var step : service.steps) {
            if (step.state != Rows.Step.RAISED) continue;
            var watched = watchedStep(service, step, signalHistory, now);
            var units = returnableUnits(step, openCells);
            var degradation = units.length > 0
                    ? describeDegradation(
                            watched.baseline,
                            signalHistory.totalsSince(service.name, service.cells.get(step.toCell), watched.since, now))
                    : null;
            if (degradation == null && now - watched.since < WATCH_DURATION_MICROS) continue;
            watchedSteps.remove(service.name + "/" + step.id);
            return newStepMark(service, step, degradation, units);
        }
        return null;
    }

    /**
     * Starts to watch a step. Steps to the same cell that are watched at the same time share the earliest baseline,
     * which none of them has affected.
     */
    private WatchedStep watchedStep(Rows.Service service, Rows.Step step, SignalHistory signalHistory, long now) {
        var existing = watchedSteps.get(service.name + "/" + step.id);
        if (existing != null) return existing;
        var baseline = signalHistory.totalsSince(
                service.name, service.cells.get(step.toCell), now - BASELINE_WINDOW_MICROS, now);
        for (var other : service.steps) {
            var watched = watchedSteps.get(service.name + "/" + other.id);
            if (watched == null || other.toCell != step.toCell) continue;
            baseline = watched.baseline;
            break;
        }
        var watched = new WatchedStep(now, baseline);
        watchedSteps.put(service.name + "/" + step.id, watched);
        return watched;
    }

    /** The units of a step whose old home is open. */
    private static int[] returnableUnits(Rows.Step step, BitSet openCells) {
        return IntStream.range(0, step.units.length)
                .filter(index -> step.fromCells[index] >= 0 && openCells.get(step.fromCells[index]))
                .map(index -> step.units[index])
                .toArray();
    }

    /** Describes how a cell got worse; null if it did not. */
    private static String describeDegradation(SignalHistory.CellTotals baseline, SignalHistory.CellTotals current) {
        if (current.problems() >= MIN_SAMPLE_COUNT && current.problemShare() > 0.1 + 2 * baseline.problemShare())
            return String.format(
                    "problems rose from %.2f to %.2f of its work", baseline.problemShare(), current.problemShare());
        if (current.runs() >= MIN_SAMPLE_COUNT
                && baseline.runs() >= MIN_SAMPLE_COUNT
                && current.meanFirstTokenMicros() > SLOW_FIRST_TOKEN_MICROS
                && current.meanFirstTokenMicros() > 3 * baseline.meanFirstTokenMicros())
            return String.format(
                    "time to first token rose from %.0f to %.0f ms",
                    baseline.meanFirstTokenMicros() / 1000, current.meanFirstTokenMicros() / 1000);
        return null;
    }

    /** The command that keeps a step or takes it back. */
    private static StepMark newStepMark(Rows.Service service, Rows.Step step, String degradation, int[] units) {
        var mark = new StepMark();
        mark.service = service.name;
        mark.id = step.id;
        mark.state = degradation == null ? Rows.Step.KEPT : Rows.Step.TAKEN_BACK;
        mark.cause = degradation == null ? "" : service.cells.get(step.toCell) + ": " + degradation;
        mark.holdBackMicros = HOLD_DURATION_MICROS;
        mark.units = units;
        return mark;
    }
}
