package craneway.data.placement;

import craneway.model.unit.Hash;
import craneway.state.record.Rows;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What this router knows of one incarnation of a runner: its own requests there, the reported load of other
 * routers, an estimate of the runner's prefix cache and prefill backlog, and signs of failure.
 *
 * <p>Times are microseconds of the steady clock. Not thread-safe.
 */
public final class RunnerView {
    /** A load report older than this is ignored. */
    private static final long REPORT_VALID_MICROS = 2_000_000;

    /**
     * How long a runner stays suspected after it was last found silent, and the least time between two probes of
     * it.
     */
    private static final long SUSPECT_DURATION_MICROS = 2_500_000;

    /** Rate at which a runner is assumed to work off its prefill backlog: 22 tokens per millisecond. */
    private static final double PREFILL_TOKENS_PER_MICRO = 0.022;

    /** The name of the service that the runner belongs to. */
    public final String service;

    /** The zone of the runner's cell; the cell's own name if the service does not list the cell. */
    public final String zone;

    /** The region of the runner's cell; empty if the service does not list the cell. */
    public final String region;

    final long nameHash;
    Rows.Runner registration;
    int slots;
    private final long cacheCapacityTokens;
    /** Estimate of the runner's prefix cache: the tokens of each part by id hash, least recently used first. */
    private final Map<Long, Integer> cachedParts = new LinkedHashMap<>(64, 0.75f, true);

    private long cachedTokens;
    private int inFlight;
    private double backlogTokens;
    private long backlogUpdatedAt = Long.MIN_VALUE / 2;
    private long reservedTokens;
    private int othersRunning;
    private int reportedQueued;
    private long reportedAt = Long.MIN_VALUE / 2;
    private long lastHeardAt = Long.MIN_VALUE / 2;
    private long suspectedSince = Long.MIN_VALUE;
    private long suspectedUntil = Long.MIN_VALUE / 2;
    private long lastProbeAt = Long.MIN_VALUE / 2;
    long coldUntil = Long.MIN_VALUE / 2;
    /** Whether another incarnation now answers at the runner's address. */
    boolean replaced;
    /** Whether the runner takes long prompts; see {@link RunnerPool#assignRunnerRoles}. */
    boolean takesLongPrompts = true;
    /** Whether the runners of the zone take either long or short prompts, instead of both. */
    boolean zoneHasRoles;

    private long connectionBrokeAt = Long.MIN_VALUE / 2;

    RunnerView(
            String service, String region, String zone, Rows.Runner registration, int slots, long cacheCapacityTokens) {
        this.service = service;
        this.region = region;
        this.zone = zone;
        this.registration = registration;
        nameHash = Hash.of(registration.name);
        this.slots = slots;
        this.cacheCapacityTokens = cacheCapacityTokens;
    }

    /** Returns the runner's name. */
    public String id() {
        return registration.name;
    }

    /** Returns the address at which the runner takes requests. */
    public String address() {
        return registration.address;
    }

    /** Returns how many requests of this router the runner has. */
    public int requestsInFlight() {
        return inFlight;
    }

    /** Returns whether the runner is still warming up and may get only few requests. */
    public boolean isCold(long now) {
        return registration.cold || now < coldUntil;
    }

    /**
     * Returns how many tokens of the prompt's shared parts are probably not in the runner's prefix cache. A cached
     * part behind an uncached one does not help, so all parts from the first uncached one on are counted.
     */
    int uncachedSharedTokens(Prompt prompt) {
        var uncachedTokens = 0;
        var prefixEnded = false;
        for (var i = 0; i < prompt.sharedPartCount(); i++) {
            prefixEnded |= !cachedParts.containsKey(prompt.partIds()[i]);
            if (prefixEnded) uncachedTokens += prompt.partTokens()[i];
        }
        return uncachedTokens;
    }

    /** Returns how many tokens of the prompt belong to no shared part. */
    int unsharedTokens(Prompt prompt) {
        var remaining = prompt.promptTokens();
        for (var i = 0; i < prompt.sharedPartCount(); i++) remaining -= prompt.partTokens()[i];
        return Math.max(0, remaining);
    }

    /**
     * Records that a request of this router starts on the runner, which then has the prompt's shared parts cached.
     */
    void recordStart(Prompt prompt, long now) {
        inFlight++;
        reservedTokens += prompt.promptTokens() + prompt.outputTokens();
        for (var i = 0; i < prompt.sharedPartCount(); i++) addCachedPart(prompt.partIds()[i], prompt.partTokens()[i]);
        evict();
    }

    /**
     * Records that another router sent the runner these shared parts, which it then has cached.
     *
     * @param ids the id hashes of the parts
     * @param sizes the tokens of each part; if the arrays differ in length, the surplus of the longer one is
     *     ignored
     */
    public void recordCachedParts(long[] ids, int[] sizes) {
        for (var i = 0; i < Math.min(ids.length, sizes.length); i++) addCachedPart(ids[i], sizes[i]);
        evict();
    }

    private void addCachedPart(long id, int tokens) {
        if (cachedParts.put(id, tokens) == null) cachedTokens += tokens;
    }

    /**
     * Evicts the least recently used parts until the rest fits into the cache beside the requests in flight; at
     * least a quarter of the cache is assumed to remain for shared parts. A capacity of 0 stands for an unlimited
     * cache.
     */
    private void evict() {
        var availableTokens = cacheCapacityTokens == 0
                ? Long.MAX_VALUE
                : Math.max(cacheCapacityTokens / 4, cacheCapacityTokens - reservedTokens);
        var iterator = cachedParts.entrySet().iterator();
        while (cachedTokens > availableTokens && iterator.hasNext()) {
            cachedTokens -= iterator.next().getValue();
            iterator.remove();
        }
    }

    /**
     * Records that this or another router sent the runner a prompt and that this many of its tokens have to be
     * prefilled.
     */
    public void recordPrefill(int tokens, long now) {
        backlogTokens = prefillBacklog(now) + tokens;
        backlogUpdatedAt = now;
    }

    /**
     * Returns how many tokens the runner probably still has to prefill, estimated from the prompts that all routers
     * reported and the rate at which runners prefill.
     */
    double prefillBacklog(long now) {
        return backlogUpdatedAt == Long.MIN_VALUE / 2
                ? 0
                : Math.max(0, backlogTokens - (now - backlogUpdatedAt) * PREFILL_TOKENS_PER_MICRO);
    }

    /** Records that a request of this router no longer runs on the runner. */
    void recordEnd(Prompt prompt) {
        inFlight--;
        reservedTokens -= prompt.promptTokens() + prompt.outputTokens();
    }

    /**
     * Records the load that the runner reported with a response.
     *
     * @param totalRunning the requests that the runner is processing, those of this router included
     * @param queued the requests that wait on the runner
     */
    public void recordLoadReport(int totalRunning, int queued, long now) {
        othersRunning = Math.max(0, totalRunning - inFlight);
        reportedQueued = queued;
        reportedAt = now;
    }

    /**
     * Returns this router's requests on the runner plus, from a recent report, those of other routers and the
     * queue.
     */
    int load(long now) {
        return inFlight + (now - reportedAt < REPORT_VALID_MICROS ? othersRunning + reportedQueued : 0);
    }

    /** Returns the length of the runner's queue from a recent report, else 0. */
    int queued(long now) {
        return now - reportedAt < REPORT_VALID_MICROS ? reportedQueued : 0;
    }

    /**
     * Returns whether all slots are in use or this router's requests may fill more than 90 % of the runner's cache.
     */
    boolean isFull(long now) {
        return load(now) >= slots || cacheCapacityTokens > 0 && reservedTokens > cacheCapacityTokens * 9 / 10;
    }

    /** Records that data arrived from the runner, which is then no longer suspected. */
    public void recordHeard(long now) {
        lastHeardAt = now;
        suspectedSince = Long.MIN_VALUE;
        suspectedUntil = now;
    }

    /** Returns when data last arrived from the runner. */
    public long lastHeardAt() {
        return lastHeardAt;
    }

    /** Records that the runner was found silent or refused a connection; it is then suspected to have failed. */
    public void markSuspected(long now) {
        if (suspectedSince == Long.MIN_VALUE) suspectedSince = now;
        suspectedUntil = now + SUSPECT_DURATION_MICROS;
    }

    /** Returns whether the runner is suspected to have failed. */
    public boolean isSuspected(long now) {
        return now < suspectedUntil;
    }

    /** Returns whether the runner has requests of this router and has sent nothing for longer than this time. */
    boolean isQuietFor(long now, long micros) {
        return inFlight > 0 && now - lastHeardAt > micros;
    }

    /**
     * Returns whether a request may be sent to the runner. One that was suspected and has not been heard since gets
     * a single request at a time as a probe, at intervals.
     */
    boolean mayProbe(long now) {
        return suspectedSince == Long.MIN_VALUE || now - lastProbeAt > SUSPECT_DURATION_MICROS;
    }

    /**
     * Records that a request is sent; to a runner that was suspected and has not been heard since, it is a probe.
     */
    void recordProbe(long now) {
        if (suspectedSince != Long.MIN_VALUE) lastProbeAt = now;
    }

    /** Records that another incarnation answers at the runner's address. */
    public void markReplaced() {
        replaced = true;
    }

    /** Records that a connection to the runner broke in the middle of a request. */
    public void recordBrokenConnection(long now) {
        connectionBrokeAt = now;
    }

    /** Returns whether a connection to the runner broke within the last second. */
    boolean brokeRecently(long now) {
        return now - connectionBrokeAt < 1_000_000;
    }

    /** Empties the estimate of the runner's prefix cache. */
    void clearCachedParts() {
        cachedParts.clear();
        cachedTokens = 0;
    }
}
