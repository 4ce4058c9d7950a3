package craneway.sim.history;

import craneway.model.event.Event;
import craneway.sim.history.Operation.Outcome;
import java.util.EnumMap;

/** Runs any number of seeds: {@code HistorySweep FROM COUNT [SECONDS [late]]}. */
final class HistorySweep {
    private static final int DEFAULT_RUN_SECONDS = 60;

    private HistorySweep() {}

    /** Prints the violation of each failing seed, and the totals. */
    public static void main(String[] args) {
        var from = Long.parseLong(args[0]);
        var count = Long.parseLong(args[1]);
        var seconds = args.length > 2 ? Integer.parseInt(args[2]) : DEFAULT_RUN_SECONDS;
        var countByEvent = new EnumMap<Event, Integer>(Event.class);
        var totals = new long[5];
        for (var seed = from; seed < from + count; seed++) {
            var startedAt = System.nanoTime();
            var run = HistoryRun.of(seed, seconds);
            if (args.length > 3) run.withLateReads();
            var violation = run.play();
            var tookMillis = (System.nanoTime() - startedAt) / 1_000_000;
            if (!violation.isEmpty()) System.out.println(violation);
            totals[0] += run.history.size();
            totals[1] += run.count(Outcome.ACKNOWLEDGED);
            totals[2] += run.count(Outcome.REFUSED);
            totals[3] += run.count(Outcome.UNCLEAR);
            totals[4] += violation.isEmpty() ? 0 : 1;
            for (var event : Event.values())
                if (run.fleet.countOf(event) > 0) countByEvent.merge(event, run.fleet.countOf(event), Integer::sum);
            if (tookMillis > 5_000) System.out.println("seed " + seed + " took " + tookMillis + " ms");
        }
        System.out.println(countByEvent);
        System.out.printf(
                "%d seeds, %d operations (%d acknowledged, %d refused, %d unclear), %d seeds failed%n",
                count, totals[0], totals[1], totals[2], totals[3], totals[4]);
    }
}
