package craneway.sim;

import craneway.model.problem.ProblemKind;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Records what happened in a simulated run as an outside observer sees it, for {@link PromiseChecker}. All times are
 * microseconds of simulated time; {@link Long#MAX_VALUE} stands for "not yet".
 */
public final class Journal {
    /**
     * One execution of a submission on a runner. {@link Run#manifestVersion} and {@link Run#tableVersion} are the
     * versions by which a router chose the runner; {@link Run#concurrentRuns} counts the runner's concurrent runs
     * including this one; {@link Run#endedAt} is -1 unless the run ended normally.
     */
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

    /**
     * What a client got for one submission. {@link Reply#workKey} is the key of the work, which is the same for all
     * submissions of it. {@link Reply#verdict} says how the submission ended.
     */
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

    /** A runner's announcement that it leaves, with the time when a router acknowledged it. */
    public record Leave(String runner, long incarnation, long acknowledgedAt) {}

    /**
     * A zone or cell that an operator emptied, from the confirmation until it is taken back. One of the two names is
     * empty.
     */
    public record EmptiedArea(String zone, String cell, long confirmedAt, long[] takenBackAt) {
        /** Whether the run was on a runner of this zone or cell. */
        boolean covers(Run run) {
            return zone.isEmpty() ? run.cell.equals(cell) : run.zone.equals(zone);
        }

        /** The key of the mark that the core stores for it. */
        String markKey(String service) {
            return zone.isEmpty() ? "cell:" + service + "/" + cell : "zone:" + zone;
        }
    }

    /** A manifest that an operator sent, the response, and when it was in force on every router. */
    public record SentManifest(
            String text,
            long baseVersion,
            long sentAt,
            long answeredAt,
            boolean accepted,
            long version,
            long[] inForceEverywhereAt) {}

    /** A confirmed plan that keeps a tenant's work in the given regions. */
    public record KeptTenant(String tenant, List<String> regions, long confirmedAt) {}

    /** A submission that one router forwarded to another, and when. */
    public record Forward(long forwardedAt, String submissionId) {}

    /** What a node holds at the end of a run. */
    public record FinalState(
            String node,
            long manifestVersion,
            String manifestText,
            Map<String, String> marks,
            Map<String, Long> tableVersions) {}

    /** The first time that a process of a node had a manifest version in force. */
    public record SeenManifest(long firstSeenAt, String node, int processNumber, long version, String text) {}

    /** A period in which a node was frozen or hindered; the end is filled in later. */
    public record Outage(String node, long startedAt, long[] endedAt) {}

    public final List<Run> runs = new ArrayList<>();
    public final List<Reply> replies = new ArrayList<>();
    public final List<Leave> leaves = new ArrayList<>();
    public final List<EmptiedArea> emptiedAreas = new ArrayList<>();
    public final List<SentManifest> sentManifests = new ArrayList<>();
    public final List<SeenManifest> seenManifests = new ArrayList<>();
    public final List<KeptTenant> keptTenants = new ArrayList<>();
    public final List<Forward> forwards = new ArrayList<>();

    /** Texts of manifests without a definite answer: they may or may not take effect. */
    public final List<String> undecidedManifests = new ArrayList<>();

    /** By submission: the time in microseconds that its connections were held up by cut links. */
    public final Map<String, Long> blockedMicros = new TreeMap<>();

    /** By submission: when the router sent its verdict. */
    public final Map<String, Long> verdictSentAt = new TreeMap<>();

    /** Periods in which a process was frozen. */
    public final List<Outage> freezes = new ArrayList<>();

    /** Periods in which a node was down, cut off or otherwise hindered, so that time limits do not apply to it. */
    public final List<Outage> outages = new ArrayList<>();

    /** By zone or cell: until when it may have been emptied, counting commands without a definite answer. */
    public final Map<String, Long> possiblyEmptiedUntil = new TreeMap<>();

    /** By service and unit: how often its home changed. */
    public final Map<String, Integer> moveCounts = new TreeMap<>();

    /** The final state of each running node. */
    public final List<FinalState> finalStates = new ArrayList<>();

    /** The time of each submission. */
    public final List<Long> submissionTimes = new ArrayList<>();

    /** Whether an operator accepted the loss of claims. */
    public boolean claimsAccepted;

    public String serviceName = "";

    /** The number of submissions of all clients. */
    public int submissionCount;

    /** Counts the replies to submissions sent at or after the given time by verdict and problem. */
    public Map<String, Integer> countReplies(long from) {
        var countByVerdict = new TreeMap<String, Integer>();
        for (var reply : replies)
            if (reply.submittedAt >= from)
                countByVerdict.merge(
                        reply.verdict + (reply.problemCode == 0 ? "" : " " + ProblemKind.of(reply.problemCode)),
                        1,
                        Integer::sum);
        return countByVerdict;
    }
}
