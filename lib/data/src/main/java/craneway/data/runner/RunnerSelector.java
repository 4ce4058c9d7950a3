package craneway.data.runner;

import craneway.model.unit.RendezvousHash;
import craneway.state.record.Rows;
import java.util.List;

public final class RunnerSelector {
    private static final double BOUND = 1.25;

    private final String self;
    private final RunnerLoads loads;

    public RunnerSelector(String self, RunnerLoads loads) {
        this.self = self;
        this.loads = loads;
    }

    public Rows.Runner selectRunner(
            List<Rows.Runner> from, long prefix, long warmUp, boolean settled, List<String> routers, long now) {
        var total = 1;
        for (var r : from) total += loads.currentLoad(r.name, now);
        var bound = Math.max(1, (int) Math.ceil(BOUND * total / from.size()));
        var able = from.stream()
                .filter(r -> fits(r, warmUp, settled, routers, now))
                .toList();
        var best = pick(able, prefix, bound, now);
        return best != null ? best : pick(able, prefix, Integer.MAX_VALUE, now);
    }

    private Rows.Runner pick(List<Rows.Runner> from, long prefix, int bound, long now) {
        Rows.Runner best = null;
        var most = 0L;
        for (var r : from) {
            if (loads.currentLoad(r.name, now) >= bound) continue;
            var w = RendezvousHash.weight(prefix, r.name);
            if (best == null || Long.compareUnsigned(w, most) > 0) {
                best = r;
                most = w;
            }
        }
        return best;
    }

    private boolean fits(Rows.Runner r, long warmUp, boolean settled, List<String> routers, long now) {
        var load = loads.currentLoad(r.name, now);
        if (load >= r.slots) return false;
        var ramp = loads.usableSlots(r, warmUp, now);
        return ramp >= r.slots || settled && load < ramp && loads.requestsInFlight(r.name) < share(r.name, ramp, routers);
    }

    private int share(String runner, int ramp, List<String> routers) {
        var before = 0;
        for (var n : routers)
            if (Long.compareUnsigned(
                            RendezvousHash.weight(runner.hashCode(), n), RendezvousHash.weight(runner.hashCode(), self))
                    > 0) before++;
        var n = Math.max(1, routers.size());
        return ramp / n + (before < ramp % n ? 1 : 0);
    }
}
