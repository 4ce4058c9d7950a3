package craneway.sim;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

final class AttemptBudget {
    private static final long WINDOW = 10_000_000;

    private final Journal j;
    private final Map<String, Long> warmUp;
    private final PromiseChecker out;

    AttemptBudget(Journal j, Map<String, Long> warmUp, PromiseChecker out) {
        this.j = j;
        this.warmUp = warmUp;
        this.out = out;
    }

    void check() {
        for (var r : j.runs) if (r.runnerCold) cold(r);
        tries();
    }

    private void cold(Journal.Run r) {
        var ramp = warmUp.getOrDefault(r.service, 5_000_000L);
        var permitted = Math.max(1, r.slots * (r.startedAt - r.runnerStartedAt) / ramp);
        out.worstValues(Limit.COLD, r.concurrentRuns - permitted);
        if (r.concurrentRuns > permitted)
            out.wrong("promise 10: cold " + r.runner + " had " + r.concurrentRuns + " of " + r.slots + " slots in use "
                    + (r.startedAt - r.runnerStartedAt) / 1000 + " ms after its start; its ramp permits " + permitted);
    }

    private void tries() {
        var runs = new HashMap<Long, Integer>();
        var seen = new HashMap<String, Integer>();
        for (var r : j.runs) if (seen.merge(r.submissionId, 1, Integer::sum) > 1) runs.merge(r.startedAt, 1, Integer::sum);
        extra("runs", runs);
        var forwards = new HashMap<Long, Integer>();
        seen.clear();
        for (var f : j.forwards) if (seen.merge(f.submissionId(), 1, Integer::sum) > 1) forwards.merge(f.forwardedAt(), 1, Integer::sum);
        extra("forwards", forwards);
    }

    private void extra(String what, Map<Long, Integer> at) {
        var all = sum(at.values());
        budget(what, all, j.submissionCount, "the whole run");
        for (var from : at.keySet()) {
            var n = at.entrySet().stream()
                    .filter(e -> e.getKey() >= from && e.getKey() < from + WINDOW)
                    .mapToInt(Map.Entry::getValue)
                    .sum();
            var real = j.submissionTimes.stream()
                    .filter(s -> s >= from && s < from + WINDOW)
                    .count();
            budget(what, n, real, "the 10 s from " + from / 1e6 + " s");
        }
    }

    private static int sum(Collection<Integer> all) {
        return all.stream().mapToInt(x -> x).sum();
    }

    private void budget(String what, int extra, long real, String when) {
        var past = extra - Limit.TRIES.value * real;
        out.worstValues(Limit.ALLOWANCE, Math.max(0, past));
        if (real > 0) out.worstValues(Limit.TRIES, extra / (double) real);
        if (past > Limit.ALLOWANCE.value)
            out.wrong("promise 11: " + extra + " extra " + what + " for " + real + " submissions in " + when);
    }
}
