package craneway.data.runner;

import craneway.model.unit.Rendezvous;
import craneway.state.record.Rows;
import java.util.List;

public final class Chooser {
    private static final double BOUND = 1.25;

    private final Loads loads;

    public Chooser(Loads loads) { this.loads = loads; }

    public Rows.Runner choose(List<Rows.Runner> from, long prefix, long warmUp, int routers, long now) {
        var total = 1;
        for (var r : from) total += loads.load(r.name, now);
        var bound = Math.max(1, (int) Math.ceil(BOUND * total / from.size()));
        var best = pick(from, prefix, warmUp, routers, bound, now);
        return best != null ? best : pick(from, prefix, warmUp, routers, Integer.MAX_VALUE, now);
    }

    private Rows.Runner pick(List<Rows.Runner> from, long prefix, long warmUp, int routers, int bound, long now) {
        Rows.Runner best = null;
        var most = 0L;
        for (var r : from) {
            if (!fits(r, warmUp, routers, bound, now)) continue;
            var w = Rendezvous.weight(prefix, r.name);
            if (best == null || Long.compareUnsigned(w, most) > 0) {
                best = r;
                most = w;
            }
        }
        return best;
    }

    private boolean fits(Rows.Runner r, long warmUp, int routers, int bound, long now) {
        var load = loads.load(r.name, now);
        if (load >= r.slots || load >= bound) return false;
        return loads.running(r.name) < loads.room(r, warmUp, routers, now);
    }
}
