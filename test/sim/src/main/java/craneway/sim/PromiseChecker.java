package craneway.sim;

import craneway.model.problem.ProblemKind;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;

public final class PromiseChecker {
    private final Journal j;
    private final Map<String, String> zoneRegion;
    private final Map<String, Long> warmUp;
    private final List<String> wrong = new ArrayList<>();
    public final Map<Limit, Double> worstValues = new EnumMap<>(Limit.class);

    public PromiseChecker(Journal j, Map<String, String> zoneRegion, Map<String, Long> warmUp) {
        this.j = j;
        this.zoneRegion = zoneRegion;
        this.warmUp = warmUp;
    }

    public List<String> checkAll() {
        runOnce();
        declined();
        streams();
        new Rights(j, zoneRegion, this).check();
        new Manifests(j, this).check();
        new AttemptBudget(j, warmUp, this).check();
        verdicts();
        return wrong;
    }

    void worstValues(Limit l, double v) {
        worstValues.merge(l, v, Math::max);
    }

    void wrong(String text) {
        wrong.add(text);
    }

    private void runOnce() {
        var n = new HashMap<String, Integer>();
        for (var r : j.runs) if (!r.idempotencyKey.isEmpty()) n.merge(r.idempotencyKey, 1, Integer::sum);
        n.forEach((k, c) -> {
            if (c > 1) wrong("promise 1: key " + k + " ran " + c + " times");
        });
    }

    private void declined() {
        var ran = new HashSet<String>();
        for (var r : j.runs) ran.add(r.submissionId);
        for (var t : j.replies)
            if ((t.verdict.equals("declined") || t.verdict.equals("refused")) && ran.contains(t.submissionId))
                wrong("promise 2: " + t.submissionId + " was declined (" + t.problemCode + ") and ran");
    }

    private void streams() {
        var whole = new HashSet<String>();
        for (var r : j.runs) if (r.complete) whole.add(r.submissionId);
        for (var t : j.replies) {
            if (t.verdict.equals("false-end") || t.verdict.equals("disordered"))
                wrong("promise 3: " + t.submissionId + " came as " + t.verdict);
            if (t.verdict.equals("whole") && !whole.contains(t.submissionId))
                wrong("promise 3: " + t.submissionId + " looked whole and no run ended");
        }
    }

    private void verdicts() {
        for (var t : j.replies) {
            if (!t.verdict.equals("declined")) continue;
            var share = (said(t) - t.submittedAt - asleep(t)) / (t.deadlineMillis * 1000.0);
            worstValues(Limit.WAIT, share);
            if (share > Limit.WAIT.value)
                wrong("final verdict of " + t.submissionId + " (" + t.problemCode + ") was held for " + share + " of its deadline");
        }
    }

    private long said(Journal.Reply t) {
        return j.verdictSentAt.getOrDefault(t.submissionId, t.receivedAt);
    }

    private long asleep(Journal.Reply t) {
        var n = j.blockedMicros.getOrDefault(t.submissionId, 0L);
        for (var d : j.freezes)
            if (d.node().equals(t.router))
                n += Math.max(0, Math.min(said(t), d.endedAt()[0]) - Math.max(t.submittedAt, d.startedAt()));
        return n;
    }

    public List<String> findLost() {
        return findLost(0, Long.MAX_VALUE);
    }

    public List<String> findLost(long from, long until) {
        var last = new HashMap<String, Journal.Reply>();
        for (var t : j.replies) last.merge(t.workKey, t, (a, b) -> b.submittedAt >= a.submittedAt ? b : a);
        var bad = new ArrayList<String>();
        for (var t : j.replies)
            if (t.submittedAt >= from
                    && t.submittedAt < until
                    && !wasServed(t)
                    && !(t.verdict.equals("declined") && t.retryAfterMicros > 0))
                bad.add("promise 12: " + t.submissionId + " ended as " + t.verdict + " " + t.problemCode);
        for (var t : last.values())
            if (t.submittedAt >= from && t.submittedAt < until && !wasServed(t) && !explained(t))
                bad.add("promise 12: " + t.workKey + " was never served, last told " + t.verdict + " " + t.problemCode);
        if (j.submissionCount != j.replies.size())
            bad.add("promise 12: " + (j.submissionCount - j.replies.size()) + " submissions were never told a verdict");
        return bad;
    }

    public List<String> findUnserved(long from) {
        var first = new HashMap<String, Long>();
        var last = new HashMap<String, Journal.Reply>();
        for (var t : j.replies) {
            first.merge(t.workKey, t.submittedAt, Math::min);
            last.merge(t.workKey, t, (a, b) -> b.submittedAt >= a.submittedAt ? b : a);
        }
        var bad = new ArrayList<String>();
        var n = 0;
        for (var t : last.values()) {
            if (first.get(t.workKey) < from) continue;
            n++;
            if (!wasServed(t) && !explained(t))
                bad.add("promise 12: " + t.workKey + " of " + t.tenant + " in " + t.zone
                        + " was not served after healing, last told " + t.verdict + " " + t.problemCode);
        }
        if (n == 0) bad.add("promise 12: nothing was asked after healing");
        return bad;
    }

    private boolean explained(Journal.Reply t) {
        if (t.problemCode == ProblemKind.QUOTA_SPENT.code() || t.problemCode == ProblemKind.CLAIMS_LOST.code() && !j.claimsAccepted)
            return true;
        if (t.problemCode != ProblemKind.NO_RUNNER.code()) return false;
        return new Rights(j, zoneRegion, this).allEmptied(t);
    }

    static boolean wasServed(Journal.Reply t) {
        return t.verdict.equals("whole") || t.verdict.equals("recorded");
    }
}
