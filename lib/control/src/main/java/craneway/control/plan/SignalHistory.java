package craneway.control.plan;

import java.util.HashMap;
import java.util.Map;

public final class SignalHistory {
    private static final int SLOTS = 8;
    private static final long SLOT = 500_000;

    public record CellTotals(long runs, long problems, long firstTokenMicrosSum) {
        public double problemShare() {
            return runs + problems == 0 ? 0 : problems / (double) (runs + problems);
        }

        public double meanFirstTokenMicros() {
            return runs == 0 ? 0 : firstTokenMicrosSum / (double) runs;
        }
    }

    private static final class Ring {
        final long[] at = new long[SLOTS];
        final long[] runs = new long[SLOTS];
        final long[] problems = new long[SLOTS];
        final long[] first = new long[SLOTS];
    }

    private final Map<String, Ring> rings = new HashMap<>();

    public void add(String service, String cell, long runs, long problems, long firstMicros, long now) {
        var r = rings.computeIfAbsent(service + "/" + cell, k -> new Ring());
        var slot = now / SLOT;
        var i = (int) (slot % SLOTS);
        if (r.at[i] != slot) {
            r.at[i] = slot;
            r.runs[i] = r.problems[i] = r.first[i] = 0;
        }
        r.runs[i] += runs;
        r.problems[i] += problems;
        r.first[i] += firstMicros;
    }

    public CellTotals totalsSince(String service, String cell, long from, long now) {
        var r = rings.get(service + "/" + cell);
        long runs = 0, problems = 0, first = 0;
        for (var i = 0; r != null && i < SLOTS; i++) {
            if (r.at[i] < Math.max(from / SLOT, now / SLOT - SLOTS + 1)) continue;
            runs += r.runs[i];
            problems += r.problems[i];
            first += r.first[i];
        }
        return new CellTotals(runs, problems, first);
    }

    public void clear() {
        rings.clear();
    }
}
