package craneway.sim;

import craneway.model.problem.ProblemKind;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;

/**
 * Checks what the journal of a simulated run recorded against the promises that the documentation makes to clients and
 * operators.
 */
public final class PromiseChecker {
    private final Journal journal;
    private final Map<String, String> zoneRegion;
    private final Map<String, Long> warmUpMicros;
    private final List<String> violations = new ArrayList<>();

    /** The worst value measured for each limit. */
    public final Map<Limit, Double> worstValues = new EnumMap<>(Limit.class);

    /**
     * Creates the checks.
     *
     * @param zoneRegion the region of each zone
     * @param warmUpMicros the warm-up time of each service in microseconds
     */
    public PromiseChecker(Journal journal, Map<String, String> zoneRegion, Map<String, Long> warmUpMicros) {
        this.journal = journal;
        this.zoneRegion = zoneRegion;
        this.warmUpMicros = warmUpMicros;
    }

    /** Runs every check that holds for any run, and returns one text for each broken promise. */
    public List<String> checkAll() {
        checkRunOnce();
        checkDeclinedNotRun();
        checkStreams();
        new PlacementChecker(journal, zoneRegion, this).check();
        new ManifestChecker(journal, this).check();
        new AttemptBudgetChecker(journal, warmUpMicros, this).check();
        checkDeclineDelay();
        return violations;
    }

    /** Records a measured value; the worst one is kept. */
    void recordWorst(Limit limit, double value) {
        worstValues.merge(limit, value, Math::max);
    }

    /** Records a broken promise. */
    void addViolation(String text) {
        violations.add(text);
    }

    /** Promise 1: work with an idempotency key runs at most once. */
    private void checkRunOnce() {
        var runsByKey = new HashMap<String, Integer>();
        for (var run : journal.runs)
            if (!run.idempotencyKey.isEmpty()) runsByKey.merge(run.idempotencyKey, 1, Integer::sum);
        runsByKey.forEach((key, runCount) -> {
            if (runCount > 1) addViolation("promise 1: key " + key + " ran " + runCount + " times");
        });
    }

    /** Promise 2: a submission that was declined or refused did not run. */
    private void checkDeclinedNotRun() {
        var submissionsRun = new HashSet<String>();
        for (var run : journal.runs) submissionsRun.add(run.submissionId);
        for (var reply : journal.replies)
            if ((reply.verdict.equals("declined") || reply.verdict.equals("refused"))
                    && submissionsRun.contains(reply.submissionId))
                addViolation("promise 2: " + reply.submissionId + " was declined (" + reply.problemCode + ") and ran");
    }

    /** Promise 3: a stream that looks complete to the client is complete and in order. */
    private void checkStreams() {
        var completedSubmissions = new HashSet<String>();
        for (var run : journal.runs) if (run.complete) completedSubmissions.add(run.submissionId);
        for (var reply : journal.replies) {
            if (reply.verdict.equals("false-end") || reply.verdict.equals("disordered"))
                addViolation("promise 3: " + reply.submissionId + " came as " + reply.verdict);
            if (reply.verdict.equals("whole") && !completedSubmissions.contains(reply.submissionId))
                addViolation("promise 3: " + reply.submissionId + " looked complete but no run ended");
        }
    }

    /**
     * A decline is sent before half of the deadline has passed, not counting the time in which the router was frozen or
     * cut off.
     */
    private void checkDeclineDelay() {
        for (var reply : journal.replies) {
            if (!reply.verdict.equals("declined")) continue;
            var shareOfDeadline = (answeredAt(reply) - reply.submittedAt - unreachableMicros(reply))
                    / (reply.deadlineMillis * 1000.0);
            recordWorst(Limit.WAIT, shareOfDeadline);
            if (shareOfDeadline > Limit.WAIT.value)
                addViolation("final verdict of " + reply.submissionId + " (" + reply.problemCode + ") was held for "
                        + shareOfDeadline + " of its deadline");
        }
    }

    /** When the router decided on the reply, or when the client received it if that is not known. */
    private long answeredAt(Journal.Reply reply) {
        return journal.verdictSentAt.getOrDefault(reply.submissionId, reply.receivedAt);
    }

    private long unreachableMicros(Journal.Reply reply) {
        var micros = journal.blockedMicros.getOrDefault(reply.submissionId, 0L);
        for (var freeze : journal.freezes)
            if (freeze.node().equals(reply.router))
                micros += Math.max(
                        0,
                        Math.min(answeredAt(reply), freeze.endedAt()[0])
                                - Math.max(reply.submittedAt, freeze.startedAt()));
        return micros;
    }

    /** {@link #findLost(long, long)} for the whole run. */
    public List<String> findLost() {
        return findLost(0, Long.MAX_VALUE);
    }

    /**
     * Finds submissions sent in the given time that ended otherwise than served or declined with a retry time, work
     * that was never served, and submissions without a verdict (promise 12).
     */
    public List<String> findLost(long from, long until) {
        var lastReplyByWork = new HashMap<String, Journal.Reply>();
        for (var reply : journal.replies)
            lastReplyByWork.merge(reply.workKey, reply, (a, b) -> b.submittedAt >= a.submittedAt ? b : a);
        var found = new ArrayList<String>();
        for (var reply : journal.replies)
            if (reply.submittedAt >= from
                    && reply.submittedAt < until
                    && !wasServed(reply)
                    && !(reply.verdict.equals("declined") && reply.retryAfterMicros > 0))
                found.add("promise 12: " + reply.submissionId + " ended as " + reply.verdict + " " + reply.problemCode);
        for (var reply : lastReplyByWork.values())
            if (reply.submittedAt >= from && reply.submittedAt < until && !wasServed(reply) && !isJustified(reply))
                found.add("promise 12: " + reply.workKey + " was never served, last verdict " + reply.verdict + " "
                        + reply.problemCode);
        if (journal.submissionCount != journal.replies.size())
            found.add("promise 12: " + (journal.submissionCount - journal.replies.size())
                    + " submissions got no verdict");
        return found;
    }

    /**
     * Finds work first submitted at or after the given time that was not served in the end, without a reason such as a
     * spent quota.
     */
    public List<String> findUnserved(long from) {
        var firstSubmittedAt = new HashMap<String, Long>();
        var lastReplyByWork = new HashMap<String, Journal.Reply>();
        for (var reply : journal.replies) {
            firstSubmittedAt.merge(reply.workKey, reply.submittedAt, Math::min);
            lastReplyByWork.merge(reply.workKey, reply, (a, b) -> b.submittedAt >= a.submittedAt ? b : a);
        }
        var found = new ArrayList<String>();
        var workCount = 0;
        for (var reply : lastReplyByWork.values()) {
            if (firstSubmittedAt.get(reply.workKey) < from) continue;
            workCount++;
            if (!wasServed(reply) && !isJustified(reply))
                found.add("promise 12: " + reply.workKey + " of " + reply.tenant + " in " + reply.zone
                        + " was not served after healing, last verdict " + reply.verdict + " " + reply.problemCode);
        }
        if (workCount == 0) found.add("promise 12: nothing was submitted after healing");
        return found;
    }

    /**
     * Whether the final decline is permitted: the quota is spent, claims were lost and not accepted, or all allowed
     * zones are emptied.
     */
    private boolean isJustified(Journal.Reply reply) {
        if (reply.problemCode == ProblemKind.QUOTA_SPENT.code()
                || reply.problemCode == ProblemKind.CLAIMS_LOST.code() && !journal.claimsAccepted) return true;
        if (reply.problemCode != ProblemKind.NO_RUNNER.code()) return false;
        return new PlacementChecker(journal, zoneRegion, this).allEmptied(reply);
    }

    /** Whether the client got the complete stream, or a response saying that the work had already run. */
    static boolean wasServed(Journal.Reply reply) {
        return reply.verdict.equals("whole") || reply.verdict.equals("recorded");
    }
}
