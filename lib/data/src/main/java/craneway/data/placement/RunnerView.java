package craneway.data.placement;

import craneway.model.unit.Hash;
import craneway.state.record.Rows;
import java.util.LinkedHashMap;
import java.util.Map;

/** What one router knows of one life of a runner. Times are microseconds of the steady clock. */
public final class RunnerView {
    private static final long REPORT_FRESH = 2_000_000, QUIET = 2_500_000;
    private static final double RATE = 0.022;

    public final String service;
    public final String zone;
    public final String region;
    final long hash;
    Rows.Runner row;
    int slots;
    private final long cacheTokens;
    private final Map<Long, Integer> kept = new LinkedHashMap<>(64, 0.75f, true);
    private long keptTokens;
    private int requestsInFlight;
    private double level;
    private long levelAt = Long.MIN_VALUE / 2;
    private long held;
    private int othersRunning;
    private int othersWaiting;
    private long reportedAt = Long.MIN_VALUE / 2;
    private long recordHeard = Long.MIN_VALUE / 2;
    private long suspectSince = Long.MIN_VALUE;
    private long suspectUntil = Long.MIN_VALUE / 2;
    private long probed = Long.MIN_VALUE / 2;
    long coldUntil = Long.MIN_VALUE / 2;
    boolean stale;
    boolean reader = true;
    boolean mixed;
    private long brokeAt = Long.MIN_VALUE / 2;

    RunnerView(String service, String region, String zone, Rows.Runner row, int slots, long cacheTokens) {
        this.service = service;
        this.region = region;
        this.zone = zone;
        this.row = row;
        hash = Hash.of(row.name);
        this.slots = slots;
        this.cacheTokens = cacheTokens;
    }

    public String id() {
        return row.name;
    }

    public String address() {
        return row.address;
    }

    public int requestsInFlight() {
        return requestsInFlight;
    }

    public boolean isCold(long now) {
        return row.cold || now < coldUntil;
    }

    /** Tokens of a prompt's shared parts that this runner probably does not keep. */
    int missing(Prompt p) {
        var missing = 0;
        var broken = false;
        for (var i = 0; i < p.sharedPartCount(); i++) {
            broken |= !kept.containsKey(p.partIds()[i]);
            if (broken) missing += p.partTokens()[i];
        }
        return missing;
    }

    int own(Prompt p) {
        var sum = p.promptTokens();
        for (var i = 0; i < p.sharedPartCount(); i++) sum -= p.partTokens()[i];
        return Math.max(0, sum);
    }

    void started(Prompt p, long now) {
        requestsInFlight++;
        held += p.promptTokens() + p.outputTokens();
        for (var i = 0; i < p.sharedPartCount(); i++) recordCachedParts(p.partIds()[i], p.partTokens()[i]);
        evict();
    }

    /** Some router has sent it these shared parts. */
    public void recordCachedParts(long[] ids, int[] sizes) {
        for (var i = 0; i < Math.min(ids.length, sizes.length); i++) recordCachedParts(ids[i], sizes[i]);
        evict();
    }

    private void recordCachedParts(long id, int tokens) {
        if (kept.put(id, tokens) == null) keptTokens += tokens;
    }

    private void evict() {
        var most = cacheTokens == 0 ? Long.MAX_VALUE : Math.max(cacheTokens / 4, cacheTokens - held);
        var it = kept.entrySet().iterator();
        while (keptTokens > most && it.hasNext()) {
            keptTokens -= it.next().getValue();
            it.remove();
        }
    }

    /** Some router has sent it a prompt of which this many tokens are still to be read. */
    public void recordPrefill(int tokens, long now) {
        level = level(now) + tokens;
        levelAt = now;
    }

    /** Tokens that are probably still to be read there, by what all routers told and the rate at which runners read. */
    double level(long now) {
        return levelAt == Long.MIN_VALUE / 2 ? 0 : Math.max(0, level - (now - levelAt) * RATE);
    }

    void ended(Prompt p) {
        requestsInFlight--;
        held -= p.promptTokens() + p.outputTokens();
    }

    public void recordLoadReport(int run, int wait, long now) {
        othersRunning = Math.max(0, run - requestsInFlight);
        othersWaiting = wait;
        reportedAt = now;
    }

    int load(long now) {
        return requestsInFlight + (now - reportedAt < REPORT_FRESH ? othersRunning + othersWaiting : 0);
    }

    int waiting(long now) {
        return now - reportedAt < REPORT_FRESH ? othersWaiting : 0;
    }

    boolean crowded(long now) {
        return load(now) >= slots || cacheTokens > 0 && held > cacheTokens * 9 / 10;
    }

    public void recordHeard(long now) {
        recordHeard = now;
        suspectSince = Long.MIN_VALUE;
        suspectUntil = now;
    }

    public long lastHeardAt() {
        return recordHeard;
    }

    public void markSuspected(long now) {
        if (suspectSince == Long.MIN_VALUE) suspectSince = now;
        suspectUntil = now + QUIET;
    }

    public boolean isSuspected(long now) {
        return now < suspectUntil;
    }

    /** It has requests running and has said nothing for this long. */
    boolean quietSince(long now, long micros) {
        return requestsInFlight > 0 && now - recordHeard > micros;
    }

    /** One request may try a runner that was silent once its quiet time is over. */
    boolean mayProbe(long now) {
        return suspectSince == Long.MIN_VALUE || now - probed > QUIET;
    }

    void probed(long now) {
        if (suspectSince != Long.MIN_VALUE) probed = now;
    }

    /** Another life answers at its address. */
    public void markReplaced() {
        stale = true;
    }

    /** A connection to it broke off in the middle of a request. */
    public void recordBrokenConnection(long now) {
        brokeAt = now;
    }

    boolean brokeLately(long now) {
        return now - brokeAt < 1_000_000;
    }

    void forgetKept() {
        kept.clear();
        keptTokens = 0;
    }
}
