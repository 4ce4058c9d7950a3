package craneway.data.placement;

import craneway.model.manifest.Route;
import craneway.model.unit.PlacementTable;
import craneway.model.unit.RendezvousHash;
import craneway.model.unit.Units;
import craneway.state.record.Rows;
import java.util.Collection;
import java.util.List;
import java.util.Set;

/**
 * Selects the runner for a request: the one with the lowest estimated cost, which is mostly the time until the
 * prompt is prefilled. Runners outside the home zone of the request's unit are candidates too, at an extra cost.
 *
 * <p>A unit is a region set together with a slice of the hash of the prompt's last shared part. If the shared parts
 * are short, the region set is just the region where the request arrived, provided that the route allows that
 * region and the unit has a home there. A long shared prefix has one home for all regions that the route allows,
 * since prefilling it a second time costs more than the network latency to another region.
 *
 * <p>Costs and times are microseconds, the latter of the steady clock. Does no I/O. Not thread-safe.
 */
public final class RunnerPlacer {
    /**
     * The runner selected for a request, and the estimate that led to it.
     *
     * <p>{@link Placement#prefillTokens} is the number of prompt tokens that the runner still has to prefill, and
     * {@link Placement#costMicros} the estimated cost in microseconds.
     * {@link Placement#backlogTokens} is the runner's prefill backlog in tokens and
     * {@link Placement#runnerLoad} its number of requests, both before this request.
     * {@link Placement#preferred} tells whether the runner ranks first for the prompt by rendezvous hash, and
     * {@link Placement#inHomeZone} whether it is in the unit's home zone or the unit has none.
     */
    public record Placement(
            RunnerView runner,
            int prefillTokens,
            long costMicros,
            boolean preferred,
            boolean inHomeZone,
            int backlogTokens,
            int runnerLoad) {
        /** Describes the choice for log messages. */
        public String describe() {
            return "runner " + runner.id() + " in " + runner.zone + (preferred ? " (preferred)" : "")
                    + (inHomeZone ? " (home zone)" : "") + ", prefill tokens " + prefillTokens + ", backlog tokens "
                    + backlogTokens
                    + ", load " + runnerLoad + ", cost " + costMicros / 1000 + " ms";
        }
    }

    /** Time to prefill one token: runners prefill about 24 tokens per millisecond. */
    private static final double PREFILL_MICROS_PER_TOKEN = 1_000 / 24.0;

    /**
     * Cost of a token of a shared part that is not in the runner's prefix cache. It exceeds the time of the prefill
     * itself, so that requests go to runners that have the part cached.
     */
    private static final double UNCACHED_SHARED_TOKEN_COST_MICROS = PREFILL_MICROS_PER_TOKEN + 45;

    /** Extra cost of a runner in another zone of this router's region. */
    private static final long OTHER_ZONE_COST_MICROS = 15_000;

    /** Extra cost of a runner in another region. */
    private static final long OTHER_REGION_COST_MICROS = 110_000;

    /** Extra cost of a runner's load, multiplied by the square of the number of its requests. */
    private static final long SQUARED_LOAD_COST_MICROS = 25;

    /** Extra cost of a cold runner. */
    private static final long COLD_COST_MICROS = 400_000;

    /** Extra cost of a runner that is suspected to have failed. */
    private static final long SUSPECTED_COST_MICROS = 5_000_000;

    /**
     * Extra cost of a runner outside the home zone; also the base of the cost of a runner that is not preferred.
     */
    private static final long NOT_PREFERRED_COST_MICROS = 60_000;

    /** Extra cost of a runner to which a connection broke recently. */
    private static final long RECENT_BREAK_COST_MICROS = 300_000;

    /** In a zone with a suspected runner, other runners count as suspected after this time without a response. */
    private static final long MAX_QUIET_IN_SUSPECTED_ZONE_MICROS = 400_000;

    /** Extra cost of a long prompt on a runner that its zone reserves for short prompts. */
    private static final long LONG_PROMPT_ON_SHORT_RUNNER_COST_MICROS = 300_000;

    /** Extra cost of a short prompt on a runner that its zone reserves for long prompts. */
    private static final long SHORT_PROMPT_ON_LONG_RUNNER_COST_MICROS = 120_000;

    /** Prompts with at least this many shared tokens have one home for all regions. */
    private static final int MIN_CROSS_REGION_SHARED_TOKENS = 2_000;

    /** From this size on, a prefill counts as load of its zone; only larger ones wait for a backlog to shrink. */
    private static final int LARGE_PREFILL_TOKENS = 1_000;

    /** A backlog above this size, including the new prompt, noticeably delays the streams of the runner. */
    private static final int BACKLOG_LIMIT_TOKENS = 8_000;

    /** A large prefill waits only behind a backlog above this size. */
    private static final int MIN_BACKLOG_TO_WAIT_TOKENS = 1_500;

    private final RunnerPool pool;
    private final ColdRunnerLimiter coldLimiter;
    private final String zone;
    private final String region;

    /** Creates the placer of a router in this zone and region. */
    public RunnerPlacer(RunnerPool pool, ColdRunnerLimiter coldLimiter, String zone, String region) {
        this.pool = pool;
        this.coldLimiter = coldLimiter;
        this.zone = zone;
        this.region = region;
    }

    /**
     * Returns the runner with the lowest cost for a prompt, or null if no runner may take it now. Nothing is
     * recorded until {@link RunnerPlacer#recordStart} is called.
     *
     * @param tried ids of runners that are excluded because the request was sent to them before
     */
    public Placement selectRunner(Route route, String service, Prompt prompt, Set<String> tried, long now) {
        var homeZone = homeZone(route, service, prompt);
        Placement cheapest = null;
        var preferred = preferredRunner(route, service, prompt, homeZone);
        for (var runner : pool.runnersOf(service)) {
            if (!isEligible(route, runner) || tried.contains(runner.id())) continue;
            if (runner.isCold(now)
                    && !coldLimiter.mayDispatch(
                            runner.id(), coldRequestsPerSecond(service), pool.servingRouters(), now)) continue;
            if (!runner.mayProbe(now)) continue;
            var candidate = estimateCost(
                    runner, prompt, runner == preferred, homeZone == null || runner.zone.equals(homeZone), now);
            if (cheapest == null || candidate.costMicros() < cheapest.costMicros()) cheapest = candidate;
        }
        return cheapest;
    }

    private double coldRequestsPerSecond(String serviceName) {
        var service = pool.view().manifest().service(serviceName);
        return service == null ? 0 : service.engine().coldRequestsPerSecond();
    }

    private boolean isEligible(Route route, RunnerView runner) {
        return runner.registration.isUp()
                && !runner.replaced
                && !pool.isZoneEmptied(runner.zone)
                && (route.allowedRegions().isEmpty() || route.allowedRegions().contains(runner.region));
    }

    /** Returns the home zone of the prompt's unit, or null if it has none. */
    String homeZone(Route route, String serviceName, Prompt prompt) {
        var service = pool.view().services().get(serviceName);
        if (service == null) return null;
        var localRegion = service.regions.indexOf(region);
        if (localRegion >= 0
                && prompt.sharedTokenCount() < MIN_CROSS_REGION_SHARED_TOKENS
                && (route.allowedRegions().isEmpty() || route.allowedRegions().contains(region))) {
            var localHome = homeZoneOfUnit(service, 1 << localRegion, prompt);
            if (localHome != null) return localHome;
        }
        return homeZoneOfUnit(service, regionSet(service, route.allowedRegions()), prompt);
    }

    /**
     * Returns the set of these regions as bits over the service's regions; an empty list stands for all of them.
     */
    private static int regionSet(Rows.Service service, List<String> regions) {
        var regionSet = 0;
        for (var i = 0; i < service.regions.size(); i++)
            if (regions.isEmpty() || regions.contains(service.regions.get(i))) regionSet |= 1 << i;
        return regionSet;
    }

    private static String homeZoneOfUnit(Rows.Service service, int regionSet, Prompt prompt) {
        var unit = regionSet * Units.SLICE_COUNT + prompt.unitSlice();
        var cell = unit < service.homeCells.length ? service.homeCells[unit] : PlacementTable.NOWHERE;
        return cell == PlacementTable.NOWHERE ? null : service.zones.get(cell);
    }

    /**
     * Returns the runner that ranks first for the prompt's key by rendezvous hash, among the eligible runners of
     * the home zone whose role fits the prompt, or null. Routers that see the same runners agree on it, so that a
     * shared part is cached on few runners.
     */
    private RunnerView preferredRunner(Route route, String service, Prompt prompt, String homeZone) {
        RunnerView preferred = null;
        var highestWeight = 0L;
        for (var runner : pool.runnersOf(service)) {
            if (!isEligible(route, runner)
                    || homeZone != null && !runner.zone.equals(homeZone)
                    || runner.zoneHasRoles && runner.takesLongPrompts != prompt.isLong()) continue;
            var weight = RendezvousHash.weight(prompt.affinityKey(), runner.nameHash);
            if (preferred == null || Long.compareUnsigned(weight, highestWeight) > 0) {
                preferred = runner;
                highestWeight = weight;
            }
        }
        return preferred;
    }

    private Placement estimateCost(RunnerView runner, Prompt prompt, boolean preferred, boolean home, long now) {
        var uncachedShared = runner.uncachedSharedTokens(prompt);
        var backlog = runner.prefillBacklog(now);
        var prefillTokens = runner.unsharedTokens(prompt) + uncachedShared;
        var costMicros = (long) (PREFILL_MICROS_PER_TOKEN * (runner.unsharedTokens(prompt) + backlog)
                + UNCACHED_SHARED_TOKEN_COST_MICROS * uncachedShared);
        costMicros += SQUARED_LOAD_COST_MICROS * runner.load(now) * runner.load(now)
                + (preferred || uncachedShared == 0
                        ? 0
                        : prompt.isLong() ? 2 * NOT_PREFERRED_COST_MICROS : NOT_PREFERRED_COST_MICROS / 4);
        if (!runner.zone.equals(zone))
            costMicros += runner.region.equals(region) ? OTHER_ZONE_COST_MICROS : OTHER_REGION_COST_MICROS;
        if (runner.zoneHasRoles && runner.takesLongPrompts != prompt.isLong())
            costMicros +=
                    prompt.isLong() ? LONG_PROMPT_ON_SHORT_RUNNER_COST_MICROS : SHORT_PROMPT_ON_LONG_RUNNER_COST_MICROS;
        if (!home) costMicros += NOT_PREFERRED_COST_MICROS;
        // Each token above the limit delays every stream of the runner; the number of streams counted is capped at 10.
        costMicros += 40L
                * Math.max(0, (long) backlog + prefillTokens - BACKLOG_LIMIT_TOKENS)
                * Math.min(runner.load(now), 10);
        if (runner.isFull(now)) costMicros += 1_000_000;
        if (runner.queued(now) > 0) costMicros += 50_000L * runner.queued(now);
        if (runner.isCold(now)) costMicros += COLD_COST_MICROS;
        if (runner.isSuspected(now)
                || runner.isQuietFor(now, MAX_QUIET_IN_SUSPECTED_ZONE_MICROS)
                        && pool.hasSuspectedRunner(runner.zone, now)) costMicros += SUSPECTED_COST_MICROS;
        if (runner.brokeRecently(now)) costMicros += RECENT_BREAK_COST_MICROS;
        return new Placement(runner, prefillTokens, costMicros, preferred, home, (int) backlog, runner.load(now));
    }

    /**
     * Returns whether a request should wait a short time before it is sent, because its large prefill on top of the
     * runner's backlog would delay the streams running there.
     */
    public boolean shouldWait(Placement placement, long now) {
        return placement.prefillTokens() > LARGE_PREFILL_TOKENS
                && placement.runner().prefillBacklog(now) > MIN_BACKLOG_TO_WAIT_TOKENS
                && placement.runner().prefillBacklog(now) + placement.prefillTokens() > BACKLOG_LIMIT_TOKENS;
    }

    /** Records that a request is sent to the chosen runner. */
    public void recordStart(Placement placement, Prompt prompt, long now) {
        placement.runner().recordStart(prompt, now);
        if (placement.prefillTokens() >= LARGE_PREFILL_TOKENS)
            pool.recordPrefill(placement.runner(), placement.prefillTokens(), now);
        else placement.runner().recordPrefill(placement.prefillTokens(), now);
        placement.runner().recordProbe(now);
        if (placement.runner().isCold(now))
            coldLimiter.recordDispatch(placement.runner().id(), now);
    }

    /** Records that a request recorded by {@link RunnerPlacer#recordStart} no longer runs on its runner. */
    public void recordEnd(Placement placement, Prompt prompt) {
        placement.runner().recordEnd(prompt);
    }

    /** Returns the names of the routers that are serving. */
    public Collection<String> servingRouters() {
        return pool.servingRouters();
    }
}
