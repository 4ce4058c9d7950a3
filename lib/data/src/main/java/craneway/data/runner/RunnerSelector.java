package craneway.data.runner;

import craneway.model.unit.RendezvousHash;
import craneway.state.record.Rows;
import java.util.List;

/**
 * Selects a runner by prefix affinity with bounded load: rendezvous hashing sends requests with the same prompt
 * prefix to the same runner, and a runner whose load is well above the average is skipped.
 *
 * <p>Thread-safe, as far as the list of runners that is passed in is not modified.
 */
public final class RunnerSelector {
    /** A runner gets no request by affinity once its load reaches this multiple of the average load. */
    private static final double LOAD_BOUND_FACTOR = 1.25;

    private final String routerName;
    private final RunnerLoads loads;

    /** Creates the selector of the router with this name. */
    public RunnerSelector(String routerName, RunnerLoads loads) {
        this.routerName = routerName;
        this.loads = loads;
    }

    /**
     * Selects a runner, or returns null if none has a slot that this router may use. If all runners with such a
     * slot are at the load bound, the bound is ignored.
     *
     * @param candidates the runners to select from, at least one
     * @param prefixHash the hash of the service and the start of the prompt
     * @param warmUpMicros the time over which a cold runner's usable slots rise to all its slots
     * @param settled whether this router's lease is old enough for the list of routers to be trusted; if not,
     *     runners that are warming up are not used
     * @param routers the names of the routers that share the slots of a runner that is warming up
     * @param now microseconds of the steady clock
     */
    public Rows.Runner selectRunner(
            List<Rows.Runner> candidates,
            long prefixHash,
            long warmUpMicros,
            boolean settled,
            List<String> routers,
            long now) {
        var totalLoad = 1;
        for (var runner : candidates) totalLoad += loads.currentLoad(runner.name, now);
        var loadBound = Math.max(1, (int) Math.ceil(LOAD_BOUND_FACTOR * totalLoad / candidates.size()));
        var available = candidates.stream()
                .filter(runner -> hasUsableSlot(runner, warmUpMicros, settled, routers, now))
                .toList();
        var selected = selectByAffinity(available, prefixHash, loadBound, now);
        return selected != null ? selected : selectByAffinity(available, prefixHash, Integer.MAX_VALUE, now);
    }

    private Rows.Runner selectByAffinity(List<Rows.Runner> runners, long prefixHash, int loadBound, long now) {
        Rows.Runner selected = null;
        var highestWeight = 0L;
        for (var runner : runners) {
            if (loads.currentLoad(runner.name, now) >= loadBound) continue;
            var weight = RendezvousHash.weight(prefixHash, runner.name);
            if (selected == null || Long.compareUnsigned(weight, highestWeight) > 0) {
                selected = runner;
                highestWeight = weight;
            }
        }
        return selected;
    }

    private boolean hasUsableSlot(
            Rows.Runner runner, long warmUpMicros, boolean settled, List<String> routers, long now) {
        var load = loads.currentLoad(runner.name, now);
        if (load >= runner.slots) return false;
        var usableSlots = loads.usableSlots(runner, warmUpMicros, now);
        return usableSlots >= runner.slots
                || settled
                        && load < usableSlots
                        && loads.requestsInFlight(runner.name) < ownSlots(runner.name, usableSlots, routers);
    }

    /**
     * Returns this router's part of the slots of a runner that is warming up. They are divided evenly, and the
     * remainder goes to the routers that rank first for the runner by rendezvous hash.
     */
    private int ownSlots(String runner, int usableSlots, List<String> routers) {
        var higherRanked = 0;
        for (var router : routers)
            if (Long.compareUnsigned(
                            RendezvousHash.weight(runner.hashCode(), router),
                            RendezvousHash.weight(runner.hashCode(), routerName))
                    > 0) higherRanked++;
        var routerCount = Math.max(1, routers.size());
        return usableSlots / routerCount + (higherRanked < usableSlots % routerCount ? 1 : 0);
    }
}
