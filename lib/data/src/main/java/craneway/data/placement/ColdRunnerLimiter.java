package craneway.data.placement;

import craneway.model.unit.Hash;
import craneway.model.unit.RendezvousHash;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits how fast the routers together send requests to a cold runner, without coordination between them.
 * Rendezvous hashing selects a few routers for each cold runner, and each of those sends it about one request per
 * second.
 *
 * <p>Times are microseconds of the steady clock. Not thread-safe.
 */
public final class ColdRunnerLimiter {
    /** Minimum time between two requests of this router to one cold runner: one second plus a margin of 5 %. */
    private static final long MIN_DISPATCH_INTERVAL_MICROS = 1_050_000;

    /** Share of the runner's cold rate that the selected routers may use together. */
    private static final double RATE_SAFETY_FACTOR = 0.8;

    private final String routerName;
    private final Map<String, Long> lastDispatchAt = new HashMap<>();

    /** Creates the limiter of the router with this name. */
    public ColdRunnerLimiter(String routerName) {
        this.routerName = routerName;
    }

    /**
     * Returns whether this router may send a request to a cold runner now.
     *
     * @param coldRequestsPerSecond the rate that the runner can serve while it is cold; at 0 or below, one router
     *     is selected
     * @param routers the names of all serving routers; this router counts whether or not it is among them
     */
    public boolean mayDispatch(String runner, double coldRequestsPerSecond, Collection<String> routers, long now) {
        var selectedRouters =
                coldRequestsPerSecond <= 0 ? 1 : Math.max(1, (int) (coldRequestsPerSecond * RATE_SAFETY_FACTOR));
        var runnerHash = Hash.of(runner);
        var ownWeight = RendezvousHash.weight(runnerHash, routerName);
        var higherRanked = 0;
        for (var router : routers)
            if (!router.equals(routerName)
                    && Long.compareUnsigned(RendezvousHash.weight(runnerHash, router), ownWeight) > 0) higherRanked++;
        return higherRanked < selectedRouters
                && now - lastDispatchAt.getOrDefault(runner, Long.MIN_VALUE / 2) >= MIN_DISPATCH_INTERVAL_MICROS;
    }

    /** Records that this router sent a request to a cold runner. */
    public void recordDispatch(String runner, long now) {
        lastDispatchAt.put(runner, now);
        if (lastDispatchAt.size() > 1_000)
            lastDispatchAt.values().removeIf(sentAt -> now - sentAt > MIN_DISPATCH_INTERVAL_MICROS);
    }
}
