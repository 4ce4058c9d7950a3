package craneway.control.plan;

import java.util.HashMap;
import java.util.Map;

/**
 * Runs, problems and times to first token of each cell over the last 4 s, as members report them with their renewals.
 */
public final class SignalHistory {
    /** How many time slots are kept. */
    private static final int SLOT_COUNT = 8;
    /** The length of a time slot. */
    private static final long SLOT_MICROS = 500_000;

    /**
     * What happened in a cell over some time.
     *
     * @param runs requests that ran
     * @param problems requests that failed
     * @param firstTokenMicrosSum the sum of the times to first token of the runs, in microseconds
     */
    public record CellTotals(long runs, long problems, long firstTokenMicrosSum) {
        /** The share of requests that failed; 0 if there were none. */
        public double problemShare() {
            return runs + problems == 0 ? 0 : problems / (double) (runs + problems);
        }

        /** The mean time to first token in microseconds; 0 if nothing ran. */
        public double meanFirstTokenMicros() {
            return runs == 0 ? 0 : firstTokenMicrosSum / (double) runs;
        }
    }

    /** Sums by time slot, in a ring; {@code slotNumbers} tells which slot an entry holds. */
    private static final class SlotRing {
        final long[] slotNumbers = new long[SLOT_COUNT];
        final long[] runs = new long[SLOT_COUNT];
        final long[] problems = new long[SLOT_COUNT];
        final long[] firstTokenMicros = new long[SLOT_COUNT];
    }

    private final Map<String, SlotRing> ringByCell = new HashMap<>();

    /** Adds what a member reported for a cell to the current slot. */
    public void add(String service, String cell, long runs, long problems, long firstMicros, long now) {
        var ring = ringByCell.computeIfAbsent(service + "/" + cell, key -> new SlotRing());
        var slot = now / SLOT_MICROS;
        var index = (int) (slot % SLOT_COUNT);
        if (ring.slotNumbers[index] != slot) {
            ring.slotNumbers[index] = slot;
            ring.runs[index] = ring.problems[index] = ring.firstTokenMicros[index] = 0;
        }
        ring.runs[index] += runs;
        ring.problems[index] += problems;
        ring.firstTokenMicros[index] += firstMicros;
    }

    /** The sums for a cell since {@code from}, as far back as slots are kept. */
    public CellTotals totalsSince(String service, String cell, long from, long now) {
        var ring = ringByCell.get(service + "/" + cell);
        long runs = 0, problems = 0, firstTokenMicros = 0;
        for (var index = 0; ring != null && index < SLOT_COUNT; index++) {
            if (ring.slotNumbers[index] < Math.max(from / SLOT_MICROS, now / SLOT_MICROS - SLOT_COUNT + 1)) continue;
            runs += ring.runs[index];
            problems += ring.problems[index];
            firstTokenMicros += ring.firstTokenMicros[index];
        }
        return new CellTotals(runs, problems, firstTokenMicros);
    }

    /** Forgets everything. */
    public void clear() {
        ringByCell.clear();
    }
}
