package craneway.sim;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Checks the retry promises on a journal: a cold runner is loaded no faster than its warm-up ramp permits, and repeated
 * runs and forwards of a submission stay within the fleet's budget.
 */
final class AttemptBudgetChecker {
    /** Length of the sliding window in which the budget must hold as well as over the whole run. */
    private static final long WINDOW_MICROS = 10_000_000;

    private final Journal journal;
    private final Map<String, Long> warmUpMicros;
    private final PromiseChecker checks;

    AttemptBudgetChecker(Journal journal, Map<String, Long> warmUpMicros, PromiseChecker checks) {
        this.journal = journal;
        this.warmUpMicros = warmUpMicros;
        this.checks = checks;
    }

    void check() {
        for (var run : journal.runs) if (run.runnerCold) checkColdRamp(run);
        checkExtraAttempts();
    }

    /** The ramp permits as many concurrent runs as the share of the warm-up time that has passed, and at least one. */
    private void checkColdRamp(Journal.Run run) {
        var rampMicros = warmUpMicros.getOrDefault(run.service, 5_000_000L);
        var permittedRuns = Math.max(1, run.slots * (run.startedAt - run.runnerStartedAt) / rampMicros);
        checks.recordWorst(Limit.COLD, run.concurrentRuns - permittedRuns);
        if (run.concurrentRuns > permittedRuns)
            checks.addViolation("promise 10: cold " + run.runner + " had " + run.concurrentRuns + " of " + run.slots
                    + " slots in use " + (run.startedAt - run.runnerStartedAt) / 1000
                    + " ms after its start; its ramp permits " + permittedRuns);
    }

    /** A run or forward is extra if the same submission already had one. */
    private void checkExtraAttempts() {
        var repeatedRuns = new HashMap<Long, Integer>();
        var countBySubmission = new HashMap<String, Integer>();
        for (var run : journal.runs)
            if (countBySubmission.merge(run.submissionId, 1, Integer::sum) > 1)
                repeatedRuns.merge(run.startedAt, 1, Integer::sum);
        checkWindows("runs", repeatedRuns);
        var repeatedForwards = new HashMap<Long, Integer>();
        countBySubmission.clear();
        for (var forward : journal.forwards)
            if (countBySubmission.merge(forward.submissionId(), 1, Integer::sum) > 1)
                repeatedForwards.merge(forward.forwardedAt(), 1, Integer::sum);
        checkWindows("forwards", repeatedForwards);
    }

    private void checkWindows(String kind, Map<Long, Integer> countByTime) {
        var total = sum(countByTime.values());
        checkBudget(kind, total, journal.submissionCount, "the whole run");
        for (var windowStart : countByTime.keySet()) {
            var countInWindow = countByTime.entrySet().stream()
                    .filter(entry -> entry.getKey() >= windowStart && entry.getKey() < windowStart + WINDOW_MICROS)
                    .mapToInt(Map.Entry::getValue)
                    .sum();
            var submissionsInWindow = journal.submissionTimes.stream()
                    .filter(submittedAt -> submittedAt >= windowStart && submittedAt < windowStart + WINDOW_MICROS)
                    .count();
            checkBudget(kind, countInWindow, submissionsInWindow, "the 10 s from " + windowStart / 1e6 + " s");
        }
    }

    private static int sum(Collection<Integer> counts) {
        return counts.stream().mapToInt(count -> count).sum();
    }

    private void checkBudget(String kind, int extraCount, long submissionCount, String period) {
        var excess = extraCount - Limit.TRIES.value * submissionCount;
        checks.recordWorst(Limit.ALLOWANCE, Math.max(0, excess));
        if (submissionCount > 0) checks.recordWorst(Limit.TRIES, extraCount / (double) submissionCount);
        if (excess > Limit.ALLOWANCE.value)
            checks.addViolation("promise 11: " + extraCount + " extra " + kind + " for " + submissionCount
                    + " submissions in " + period);
    }
}
