package craneway.data.placement;

import craneway.control.node.Membership;
import craneway.model.manifest.Manifest;
import craneway.model.unit.Parts;
import craneway.state.message.Plan;
import craneway.state.record.Rows;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The runners of all services, as the newest membership view lists them, with what this router knows of each. A
 * runner that a new view no longer lists is removed together with that knowledge.
 *
 * <p>Times are microseconds of the steady clock. Not thread-safe.
 */
public final class RunnerPool {
    /**
     * Up to this many routers, prefill and silence notices go to all of them, else only to the regions concerned.
     */
    private static final int MAX_ROUTERS_TO_NOTIFY_ALL = 40;

    private static final Comparator<RunnerView> BY_NAME_HASH = (a, b) -> Long.compare(a.nameHash, b.nameHash);
    private final Map<String, RunnerView> runnersById = new HashMap<>();
    private Map<String, List<RunnerView>> runnersByService = Map.of();
    private Set<String> emptiedZones = Set.of();
    private final Map<String, PrefillDemand> demandByServiceAndZone = new HashMap<>();
    private Membership.CoreView view;
    private List<String> servingRouters = List.of();

    /**
     * Takes over a new membership view. The lists of runners, routers and emptied zones are rebuilt only if the
     * view has a manifest and differs from the previous one in more than its leases.
     *
     * @return false if this is the view already in use
     */
    public boolean applyView(Membership.CoreView newView) {
        if (newView == view) return false;
        var previous = view;
        view = newView;
        if (newView.manifest() == null || previous != null && differOnlyInLeases(previous, newView)) return true;
        var newRunners = new HashMap<String, List<RunnerView>>();
        var ids = new HashSet<String>();
        for (var service : newView.services().values()) {
            var definition = newView.manifest().service(service.name);
            if (definition == null) continue;
            var serviceRunners = new ArrayList<RunnerView>();
            for (var registration : service.runners.values()) {
                ids.add(registration.name);
                serviceRunners.add(updateRunner(service, registration, definition.engine()));
            }
            newRunners.put(service.name, serviceRunners);
        }
        runnersById.keySet().retainAll(ids);
        runnersByService = newRunners;
        emptiedZones = findEmptiedZones(newView.manifestRow().marks);
        servingRouters = findServingRouters(newView);
        return true;
    }

    private static boolean differOnlyInLeases(Membership.CoreView a, Membership.CoreView b) {
        return a.manifest() == b.manifest()
                && a.manifestRow() == b.manifestRow()
                && a.services() == b.services()
                && a.membersByPart().get(Parts.MANIFEST_PART)
                        == b.membersByPart().get(Parts.MANIFEST_PART);
    }

    /**
     * Records that this or another router sent a runner a prompt and that this many of its tokens have to be prefilled.
     */
    public void recordPrefill(RunnerView runner, int tokens, long now) {
        runner.recordPrefill(tokens, now);
        demandByServiceAndZone
                .computeIfAbsent(runner.service + "/" + runner.zone, k -> new PrefillDemand())
                .add(tokens, now);
    }

    /**
     * Assigns roles to the runners of each service and zone. In a region that belongs to one of the region sets to
     * which routes of the service are restricted, some runners of a zone take the long prompts and the others the
     * short ones, so that long prefills do not delay streams. The number of runners for long prompts follows the
     * zone's prefill demand. Elsewhere every runner takes all prompts.
     */
    public void assignRunnerRoles(long now) {
        runnersByService.forEach((service, serviceRunners) -> {
            var regionSets = view.manifest().routes().regionSetsOf(service);
            var runnersByZone = new HashMap<String, List<RunnerView>>();
            for (var runner : serviceRunners)
                if (runner.registration.isUp())
                    runnersByZone
                            .computeIfAbsent(runner.zone, k -> new ArrayList<>())
                            .add(runner);
            runnersByZone.forEach((zone, zoneRunners) -> assignRoles(
                    zoneRunners,
                    regionSets,
                    demandByServiceAndZone.computeIfAbsent(service + "/" + zone, k -> new PrefillDemand()),
                    now));
        });
    }

    private static void assignRoles(
            List<RunnerView> zoneRunners, Collection<String> regionSets, PrefillDemand demand, long now) {
        var region = zoneRunners.get(0).region;
        var separateRoles =
                regionSets.stream().anyMatch(set -> List.of(set.split(" ")).contains(region));
        var longPromptRunners = separateRoles ? demand.updateRunnerCount(zoneRunners.size(), now) : zoneRunners.size();
        zoneRunners.sort(BY_NAME_HASH);
        for (var i = 0; i < zoneRunners.size(); i++) {
            zoneRunners.get(i).takesLongPrompts = i < longPromptRunners;
            zoneRunners.get(i).zoneHasRoles = longPromptRunners < zoneRunners.size();
        }
    }

    /** Measures the rate of large prefills in a zone and derives how many runners should take long prompts. */
    private static final class PrefillDemand {
        /** A runner is added when the rate exceeds this for each runner that takes long prompts. */
        private static final double GROW_TOKENS_PER_SECOND = 12_000;

        /** A runner is removed when the rate stays at or below this for each of the runners that would remain. */
        private static final double SHRINK_TOKENS_PER_SECOND = 7_000;

        /** Time constant of the exponentially decaying rate. */
        private static final double RATE_DECAY_MICROS = 3_000_000;

        /** How long the rate has to stay low before a runner is removed. */
        private static final long SHRINK_DELAY_MICROS = 5_000_000;

        private double tokensPerSecond;
        private long rateUpdatedAt;
        private int runnerCount = 1;
        private long lastNeededAt;

        void add(int tokens, long now) {
            tokensPerSecond = currentRate(now) + tokens / (RATE_DECAY_MICROS / 1_000_000);
            rateUpdatedAt = now;
        }

        private double currentRate(long now) {
            return rateUpdatedAt == 0 ? 0 : tokensPerSecond * Math.exp(-(now - rateUpdatedAt) / RATE_DECAY_MICROS);
        }

        int updateRunnerCount(int maxRunners, long now) {
            var rate = currentRate(now);
            if (rate > GROW_TOKENS_PER_SECOND * runnerCount && runnerCount < maxRunners) {
                runnerCount++;
                lastNeededAt = now;
            }
            if (rate > SHRINK_TOKENS_PER_SECOND * (runnerCount - 1)) lastNeededAt = now;
            if (runnerCount > 1 && now - lastNeededAt > SHRINK_DELAY_MICROS) {
                runnerCount--;
                lastNeededAt = now;
            }
            runnerCount = Math.max(1, Math.min(runnerCount, maxRunners));
            return runnerCount;
        }
    }

    private RunnerView updateRunner(Rows.Service service, Rows.Runner registration, Manifest.Engine engine) {
        var runner = runnersById.get(registration.name);
        if (runner == null) {
            var cellIndex = service.cells.indexOf(registration.cell);
            runner = new RunnerView(
                    service.name,
                    cellIndex < 0 ? "" : service.cellRegions.get(cellIndex),
                    cellIndex < 0 ? registration.cell : service.zones.get(cellIndex),
                    registration,
                    Math.max(1, registration.slots),
                    engine.cacheCapacityTokens());
            runnersById.put(registration.name, runner);
        }
        runner.registration = registration;
        runner.slots = Math.max(1, registration.slots);
        return runner;
    }

    private static Set<String> findEmptiedZones(Map<String, String> marks) {
        var zones = new HashSet<String>();
        marks.forEach((key, value) -> {
            if (value.equals(Plan.EMPTIED) && key.startsWith("zone:")) zones.add(key.substring(5));
        });
        return zones;
    }

    private static List<String> findServingRouters(Membership.CoreView view) {
        var names = new ArrayList<String>();
        for (var node : view.membersByPart().get(Parts.MANIFEST_PART))
            if (node.isRouter() && node.serving) names.add(node.name);
        return names;
    }

    /** Returns whether any runner of this zone is suspected to have failed. */
    boolean hasSuspectedRunner(String zone, long now) {
        for (var runner : runnersById.values()) if (runner.zone.equals(zone) && runner.isSuspected(now)) return true;
        return false;
    }

    /** Returns the runner with this id, or null. */
    public RunnerView findRunner(String id) {
        return runnersById.get(id);
    }

    /**
     * Returns the peer addresses of the other serving routers. With more than 40 serving routers, only those in the
     * two given regions are returned.
     *
     * @param self the name of this router
     */
    public List<String> peerRouterAddresses(String self, String region, String otherRegion) {
        var notifyAll = servingRouters.size() <= MAX_ROUTERS_TO_NOTIFY_ALL;
        var addresses = new ArrayList<String>();
        for (var node : view.membersByPart().get(Parts.MANIFEST_PART)) {
            var nodeRegion = view.manifest().regionOfZone(node.zone);
            if (node.isRouter()
                    && node.serving
                    && !node.name.equals(self)
                    && (notifyAll || region.equals(nodeRegion) || otherRegion.equals(nodeRegion)))
                addresses.add(node.peerAddress);
        }
        return addresses;
    }

    /** Returns the newest membership view, or null before the first one. */
    public Membership.CoreView view() {
        return view;
    }

    /** Returns the names of all serving routers, this one included. */
    public Collection<String> servingRouters() {
        return servingRouters;
    }

    /** Returns the runners of all services. */
    public Collection<RunnerView> allRunners() {
        return runnersById.values();
    }

    /** Returns whether the state of this service has arrived; before that, its runners are unknown. */
    public boolean hasService(String service) {
        return runnersByService.containsKey(service);
    }

    /** Returns the runners of a service; an unknown service has none. */
    public List<RunnerView> runnersOf(String service) {
        return runnersByService.getOrDefault(service, List.of());
    }

    /** Returns whether a plan has marked this zone as emptied, so that it gets no requests. */
    public boolean isZoneEmptied(String zone) {
        return emptiedZones.contains(zone);
    }
}
