package craneway.sim;

import craneway.model.problem.ProblemKind;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

public final class Journal {
    public static final class Run {
        public long startedAt;
        public String runner;
        public long incarnation;
        public String zone;
        public String cell = "";
        public String service = "";
        public String submissionId;
        public String idempotencyKey;
        public String tenant;
        public String allowedRegions = "";
        public long manifestVersion;
        public long tableVersion;
        public long runnerStartedAt;
        public int tokens;
        public long endedAt = -1;
        public boolean complete;
        public boolean runnerCold;
        public int concurrentRuns;
        public int slots;
    }

    public static final class Reply {
        public long receivedAt;
        public long submittedAt;
        public String submissionId;
        public String idempotencyKey;
        public String tenant;
        public String zone;
        public String allowedRegions = "";
        public String verdict;
        public int problemCode;
        public long retryAfterMicros;
        public int tokens;
        public int deadlineMillis;
        public String workKey = "";
        public String router = "";
    }

    public record Leave(String runner, long incarnation, long acknowledgedAt) {}

    public record EmptiedArea(String zone, String cell, long confirmedAt, long[] takenBackAt) {
        boolean covers(Run r) {
            return zone.isEmpty() ? r.cell.equals(cell) : r.zone.equals(zone);
        }

        String markKey(String service) {
            return zone.isEmpty() ? "cell:" + service + "/" + cell : "zone:" + zone;
        }
    }

    public record SentManifest(
            String text, long baseVersion, long sentAt, long answeredAt, boolean accepted, long version, long[] inForceEverywhereAt) {}

    public record KeptTenant(String tenant, List<String> regions, long confirmedAt) {}

    public record Forward(long forwardedAt, String submissionId) {}

    public record FinalState(String node, long manifestVersion, String manifestText, Map<String, String> marks, Map<String, Long> tableVersions) {}

    public record SeenManifest(long firstSeenAt, String node, int processNumber, long version, String text) {}

    public record Outage(String node, long startedAt, long[] endedAt) {}

    public final List<Run> runs = new ArrayList<>();
    public final List<Reply> replies = new ArrayList<>();
    public final List<Leave> leaves = new ArrayList<>();
    public final List<EmptiedArea> emptiedAreas = new ArrayList<>();
    public final List<SentManifest> sentManifests = new ArrayList<>();
    public final List<SeenManifest> seenManifests = new ArrayList<>();
    public final List<KeptTenant> keptTenants = new ArrayList<>();
    public final List<Forward> forwards = new ArrayList<>();
    public final List<String> undecidedManifests = new ArrayList<>();
    public final Map<String, Long> blockedMicros = new TreeMap<>();
    public final Map<String, Long> verdictSentAt = new TreeMap<>();
    public final List<Outage> freezes = new ArrayList<>();
    public final List<Outage> outages = new ArrayList<>();
    public final Map<String, Long> possiblyEmptiedUntil = new TreeMap<>();
    public final Map<String, Integer> moveCounts = new TreeMap<>();
    public final List<FinalState> finalStates = new ArrayList<>();
    public final List<Long> submissionTimes = new ArrayList<>();
    public boolean claimsAccepted;
    public String serviceName = "";
    public int submissionCount;

    public Map<String, Integer> countReplies(long from) {
        var m = new TreeMap<String, Integer>();
        for (var t : replies)
            if (t.submittedAt >= from)
                m.merge(t.verdict + (t.problemCode == 0 ? "" : " " + ProblemKind.of(t.problemCode)), 1, Integer::sum);
        return m;
    }
}
