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

    public Rate since(String service, String cell, long from, long now) {
        var ring = ringByCell.get(service + "/" + cell);
        long runs = 0, problems = 0, firstTokenMicros = 0;
        for (var index = 0; ring != null && index < SLOT_COUNT; index++) {
            if (ring.slotNumbers[index] < Math.max(from / SLOT_MICROS, now / SLOT_MICROS - SLOT_COUNT + 1)) continue;
            runs += ring.runs[index];
            problems += ring.problems[index];
            firstTokenMicros += ring.firstTokenMicros[index];
        }
        return new Rate(runs, problems, firstTokenMicros);
    }

    public void clear() {
        ringByCell.clear();
    }
}
