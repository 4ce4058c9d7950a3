package craneway.control.plan;

import java.util.HashMap;
import java.util.Map;

public final class Signals {
    private static final int SLOT_COUNT = 8;
    private static final long SLOT_MICROS = 500_000;

    public record Rate(long runs, long problems, long firstMicros) {
        public double share() {
            return runs + problems == 0 ? 0 : problems / (double) (runs + problems);
        }

        public double first() {
            return runs == 0 ? 0 : firstMicros / (double) runs;
        }
    }

    private static final class SlotRing {
        final long[] slotNumbers = new long[SLOT_COUNT];
        final long[] runs = new long[SLOT_COUNT];
        final long[] problems = new long[SLOT_COUNT];
        final long[] firstTokenMicros = new long[SLOT_COUNT];
    }

    private final Map<String, SlotRing> ringByCell = new HashMap<>();

    public void add(String service, String cell, long runs, long problems, long firstMicros, long now) {
        var r = ringByCell.computeIfAbsent(service + "/" + cell, k -> new SlotRing());
        var slot = now / SLOT_MICROS;
        var i = (int) (slot % SLOT_COUNT);
        if (r.slotNumbers[i] != slot) {
            r.slotNumbers[i] = slot;
            r.runs[i] = r.problems[i] = r.firstTokenMicros[i] = 0;
        }
        r.runs[i] += runs;
        r.problems[i] += problems;
        r.firstTokenMicros[i] += firstMicros;
    }

    public Rate since(String service, String cell, long from, long now) {
        var r = ringByCell.get(service + "/" + cell);
        long runs = 0, problems = 0, first = 0;
        for (var i = 0; r != null && i < SLOT_COUNT; i++) {
            if (r.slotNumbers[i] < Math.max(from / SLOT_MICROS, now / SLOT_MICROS - SLOT_COUNT + 1)) continue;
            runs += r.runs[i];
            problems += r.problems[i];
            first += r.firstTokenMicros[i];
        }
        return new Rate(runs, problems, first);
    }

    public void clear() {
        ringByCell.clear();
    }
}
