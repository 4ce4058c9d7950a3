package craneway.sim;

import craneway.model.problem.ProblemKind;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Records what happened in a simulated run as an outside observer sees it, for {@link Checks}. All times are
 * microseconds of simulated time; {@link Long#MAX_VALUE} stands for "not yet".
 */
public final class Journal {
    /**
     * One execution of a submission on a runner. {@link Run#manifest} and {@link Run#table} are the versions by which a
     * router chose the runner; {@link Run#running} counts the runner's concurrent runs including this one; {@link
     * Run#endedAt} is -1 unless the run ended normally.
     */
    public static final class Run {
        public long at;
        public String runner;
        public long incarnation;
        public String zone;
        public String cell = "";
        public String service = "";
        public String sub;
        public String key;
        public String tenant;
        public String regions = "";
        public long manifest;
        public long table;
        public long bornAt;
        public int tokens;
        public long endedAt = -1;
        public boolean whole;
        public boolean cold;
        public int running;
        public int slots;
    }

    /**
     * What a client got for one submission. {@link Reply#asked} is the key of the work, which is the same for all
     * submissions of it. {@link Reply#verdict} says how the submission ended.
     */
    public static final class Reply {
        public long at;
        public long askedAt;
        public String sub;
        public String key;
        public String tenant;
        public String zone;
        public String regions = "";
        public String verdict;
        public int code;
        public long retryAfter;
        public int tokens;
        public int deadlineMillis;
        public String asked = "";
        public String router = "";
    }

    /** A runner's announcement that it leaves, with the time when a router acknowledged it. */
    public record Leave(String runner, long incarnation, long acknowledged) {}

    /**
     * A zone or cell that an operator emptied, from the confirmation until it is taken back. One of the two names is
     * empty.
     */
    public record Emptied(String zone, String cell, long confirmed, long[] takenBack) {
        /** Whether the run was on a runner of this zone or cell. */
        boolean covers(Run run) {
            return zone.isEmpty() ? run.cell.equals(cell) : run.zone.equals(zone);
        }

        /** The key of the mark that the core stores for it. */
        String mark(String service) {
            return zone.isEmpty() ? "cell:" + service + "/" + cell : "zone:" + zone;
        }
    }

    /** A manifest that an operator sent, the answer, and when it was in force on every router. */
    public record Sent(
            String text, long base, long at, long verdictAt, boolean taken, long version, long[] everywhereAt) {}

    /** A confirmed order that keeps a tenant's work in the given regions. */
    public record Kept(String tenant, List<String> regions, long confirmed) {}

    /** A submission that one router forwarded to another, and when. */
    public record Forward(long at, String sub) {}

    /** What a node holds at the end of a run. */
    public record End(String node, long version, String text, Map<String, String> marks, Map<String, Long> tables) {}

    /** The first time that a process of a node had a manifest version in force. */
    public record Seen(long at, String node, int life, long version, String text) {}

    /** A period in which a node was frozen or in trouble; the end is filled in later. */
    public record Down(String node, long from, long[] until) {}

    public final List<Run> runs = new ArrayList<>();
    public final List<Reply> replies = new ArrayList<>();
    public final List<Leave> leaves = new ArrayList<>();
    public final List<Emptied> emptied = new ArrayList<>();
    public final List<Sent> sent = new ArrayList<>();
    public final List<Seen> seen = new ArrayList<>();
    public final List<Kept> kept = new ArrayList<>();
    public final List<Forward> forwards = new ArrayList<>();

    /** Texts of manifests without a definite answer: they may or may not take effect. */
    public final List<String> unsure = new ArrayList<>();

    /** By submission: the time in microseconds that its connections were held up by cut links. */
    public final Map<String, Long> blocked = new TreeMap<>();

    /** By submission: when the router sent its verdict. */
    public final Map<String, Long> saidAt = new TreeMap<>();

    /** Periods in which a process was frozen. */
    public final List<Down> frozen = new ArrayList<>();

    /** Periods in which a node was down, cut off or otherwise hindered, so that time limits do not apply to it. */
    public final List<Down> troubles = new ArrayList<>();

    /** By zone or cell: until when it may have been emptied, counting commands without a definite answer. */
    public final Map<String, Long> maybeEmptied = new TreeMap<>();

    /** By service and unit: how often its home changed. */
    public final Map<String, Integer> moves = new TreeMap<>();

    /** The final state of each running node. */
    public final List<End> ends = new ArrayList<>();

    /** The time of each submission. */
    public final List<Long> submittedAt = new ArrayList<>();

    /** Whether an operator accepted the loss of claims. */
    public boolean claimsAccepted;

    public String service = "";

    /** The number of submissions of all clients. */
    public int submissions;

    /** Counts the replies to submissions sent at or after the given time by verdict and problem. */
    public Map<String, Integer> summary(long from) {
        var countByVerdict = new TreeMap<String, Integer>();
        for (var reply : replies)
            if (reply.askedAt >= from)
                countByVerdict.merge(
                        reply.verdict + (reply.code == 0 ? "" : " " + ProblemKind.of(reply.code)), 1, Integer::sum);
        return countByVerdict;
    }
}
