package craneway.sim;

import craneway.model.problem.ProblemKind;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

public final class Journal {
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

    public record Leave(String runner, long incarnation, long acknowledged) {}

    public record Emptied(String zone, String cell, long confirmed, long[] takenBack) {
        boolean covers(Run r) {
            return zone.isEmpty() ? r.cell.equals(cell) : r.zone.equals(zone);
        }

        String mark(String service) {
            return zone.isEmpty() ? "cell:" + service + "/" + cell : "zone:" + zone;
        }
    }

    public record Sent(
            String text, long base, long at, long verdictAt, boolean taken, long version, long[] everywhereAt) {}

    public record Kept(String tenant, List<String> regions, long confirmed) {}

    public record Forward(long at, String sub) {}

    public record End(String node, long version, String text, Map<String, String> marks, Map<String, Long> tables) {}

    public record Seen(long at, String node, int life, long version, String text) {}

    public record Down(String node, long from, long[] until) {}

    public final List<Run> runs = new ArrayList<>();
    public final List<Reply> replies = new ArrayList<>();
    public final List<Leave> leaves = new ArrayList<>();
    public final List<Emptied> emptied = new ArrayList<>();
    public final List<Sent> sent = new ArrayList<>();
    public final List<Seen> seen = new ArrayList<>();
    public final List<Kept> kept = new ArrayList<>();
    public final List<Forward> forwards = new ArrayList<>();
    public final List<String> unsure = new ArrayList<>();
    public final Map<String, Long> blocked = new TreeMap<>();
    public final Map<String, Long> saidAt = new TreeMap<>();
    public final List<Down> frozen = new ArrayList<>();
    public final List<Down> troubles = new ArrayList<>();
    public final Map<String, Long> maybeEmptied = new TreeMap<>();
    public final Map<String, Integer> moves = new TreeMap<>();
    public final List<End> ends = new ArrayList<>();
    public final List<Long> submittedAt = new ArrayList<>();
    public boolean claimsAccepted;
    public String service = "";
    public int submissions;

    public Map<String, Integer> summary(long from) {
        var m = new TreeMap<String, Integer>();
        for (var t : replies)
            if (t.askedAt >= from) m.merge(t.verdict + (t.code == 0 ? "" : " " + ProblemKind.of(t.code)), 1, Integer::sum);
        return m;
    }
}
