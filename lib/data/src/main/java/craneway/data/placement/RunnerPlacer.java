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
 * Decides which runner takes a request: the unit's home by the table, and within it the runner that reads the prompt soonest.
 * A unit is (region set, slice of the prompt's last shared part). The set is first the region where the request arrived; a long
 * shared part has one home for all regions, since reading it again costs more than the way there.
 */
public final class RunnerPlacer {
    /** Costs are microseconds. */
    public record Placement(RunnerView runner, int prefillTokens, long costMicros, boolean preferred, boolean inHomeZone, int backlogTokens, int runnerLoad) {
        public String describe() {
            return "runner " + runner.id() + " in " + runner.zone + (preferred ? " favourite" : "")
                    + (inHomeZone ? " home" : "") + ", read " + prefillTokens + ", level " + backlogTokens + ", load " + runnerLoad + ", cost "
                    + costMicros / 1000 + " ms";
        }
    }

    private static final double READ = 1_000 / 24.0, AGAIN = READ + 45;
    private static final long ZONE = 15_000,
            REGION = 110_000,
            RUNNING = 25,
            COLD = 400_000,
            SUSPECT = 5_000_000,
            STRANGER = 60_000,
            BROKE = 300_000,
            QUIET = 400_000,
            READS = 300_000,
            STREAMS = 120_000;
    private static final int FAR = 2_000, SHORT = 1_000, BURDEN = 8_000, QUEUE = 1_500;

    private final RunnerPool pool;
    private final ColdRunnerLimiter cold;
    private final String zone;
    private final String region;

    public RunnerPlacer(RunnerPool pool, ColdRunnerLimiter cold, String zone, String region) {
        this.pool = pool;
        this.cold = cold;
        this.zone = zone;
        this.region = region;
    }

    /** Null where no runner may take it now. */
    public Placement selectRunner(Route route, String service, Prompt p, Set<String> tried, long now) {
        var home = home(route, service, p);
        Placement best = null;
        var favourite = favourite(route, service, p, home);
        for (var r : pool.runnersOf(service)) {
            if (!allowed(route, r) || tried.contains(r.id())) continue;
            if (r.isCold(now) && !cold.mayDispatch(r.id(), coldRate(service), pool.servingRouters(), now)) continue;
            if (!r.mayProbe(now)) continue;
            var c = cost(r, p, r == favourite, home == null || r.zone.equals(home), now);
            if (best == null || c.costMicros() < best.costMicros()) best = c;
        }
        return best;
    }

    private double coldRate(String service) {
        var s = pool.view().manifest().service(service);
        return s == null ? 0 : s.engine().coldRequestsPerSecond();
    }

    private boolean allowed(Route route, RunnerView r) {
        return r.row.isUp()
                && !r.stale
                && !pool.isZoneEmptied(r.zone)
                && (route.allowedRegions().isEmpty() || route.allowedRegions().contains(r.region));
    }

    /** The zone where the unit is at home, or null. */
    String home(Route route, String service, Prompt p) {
        var s = pool.view().services().get(service);
        if (s == null) return null;
        var near = s.regions.indexOf(region);
        if (near >= 0
                && p.sharedTokenCount() < FAR
                && (route.allowedRegions().isEmpty() || route.allowedRegions().contains(region))) {
            var h = zoneOf(s, 1 << near, p);
            if (h != null) return h;
        }
        return zoneOf(s, set(s, route.allowedRegions()), p);
    }

    private static int set(Rows.Service s, List<String> regions) {
        var set = 0;
        for (var i = 0; i < s.regions.size(); i++)
            if (regions.isEmpty() || regions.contains(s.regions.get(i))) set |= 1 << i;
        return set;
    }

    private static String zoneOf(Rows.Service s, int set, Prompt p) {
        var unit = set * Units.SLICE_COUNT + p.unitSlice();
        var cell = unit < s.homeCells.length ? s.homeCells[unit] : PlacementTable.NOWHERE;
        return cell == PlacementTable.NOWHERE ? null : s.zones.get(cell);
    }

    private RunnerView favourite(Route route, String service, Prompt p, String home) {
        RunnerView best = null;
        var most = 0L;
        for (var r : pool.runnersOf(service)) {
            if (!allowed(route, r) || home != null && !r.zone.equals(home) || r.mixed && r.reader != p.isLong())
                continue;
            var w = RendezvousHash.weight(p.affinityKey(), r.hash);
            if (best == null || Long.compareUnsigned(w, most) > 0) {
                best = r;
                most = w;
            }
        }
        return best;
    }

    private Placement cost(RunnerView r, Prompt p, boolean favourite, boolean home, long now) {
        var missing = r.missing(p);
        var level = r.level(now);
        var read = r.own(p) + missing;
        var c = (long) (READ * (r.own(p) + level) + AGAIN * missing);
        c += RUNNING * r.load(now) * r.load(now)
                + (favourite || missing == 0 ? 0 : p.isLong() ? 2 * STRANGER : STRANGER / 4);
        if (!r.zone.equals(zone)) c += r.region.equals(region) ? ZONE : REGION;
        if (r.mixed && r.reader != p.isLong()) c += p.isLong() ? READS : STREAMS;
        if (!home) c += STRANGER;
        c += 40L * Math.max(0, (long) level + read - BURDEN) * Math.min(r.load(now), 10);
        if (r.crowded(now)) c += 1_000_000;
        if (r.waiting(now) > 0) c += 50_000L * r.waiting(now);
        if (r.isCold(now)) c += COLD;
        if (r.isSuspected(now) || r.quietSince(now, QUIET) && pool.silent(r.zone, now)) c += SUSPECT;
        if (r.brokeLately(now)) c += BROKE;
        return new Placement(r, read, c, favourite, home, (int) level, r.load(now));
    }

    /** Whether it is better to wait a little than to pile a long prompt on running streams. */
    public boolean shouldWait(Placement c, long now) {
        return c.prefillTokens() > SHORT && c.runner().level(now) > QUEUE && c.runner().level(now) + c.prefillTokens() > BURDEN;
    }

    public void recordStart(Placement c, Prompt p, long now) {
        c.runner().started(p, now);
        if (c.prefillTokens() >= SHORT) pool.recordPrefill(c.runner(), c.prefillTokens(), now);
        else c.runner().recordPrefill(c.prefillTokens(), now);
        c.runner().probed(now);
        if (c.runner().isCold(now)) cold.recordDispatch(c.runner().id(), now);
    }

    public void recordEnd(Placement c, Prompt p) {
        c.runner().ended(p);
    }

    public Collection<String> servingRouters() {
        return pool.servingRouters();
    }
}
