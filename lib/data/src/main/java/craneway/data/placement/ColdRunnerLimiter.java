package craneway.data.placement;

import craneway.model.unit.Hash;
import craneway.model.unit.RendezvousHash;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** Who may send to a cold runner, and how often: a few routers drawn by rendezvous hash, one request each in a second. */
public final class ColdRunnerLimiter {
    private static final long GAP = 1_050_000;
    private static final double CAREFUL = 0.8;

    private final String self;
    private final Map<String, Long> last = new HashMap<>();

    public ColdRunnerLimiter(String self) {
        this.self = self;
    }

    /** True if this router may send one request now to a runner that bears {@code perSecond} while cold. */
    public boolean mayDispatch(String runner, double perSecond, Collection<String> routers, long now) {
        var seats = perSecond <= 0 ? 1 : Math.max(1, (int) (perSecond * CAREFUL));
        var key = Hash.of(runner);
        var mine = RendezvousHash.weight(key, self);
        var before = 0;
        for (var r : routers)
            if (!r.equals(self) && Long.compareUnsigned(RendezvousHash.weight(key, r), mine) > 0) before++;
        return before < seats && now - last.getOrDefault(runner, Long.MIN_VALUE / 2) >= GAP;
    }

    public void recordDispatch(String runner, long now) {
        last.put(runner, now);
        if (last.size() > 1_000) last.values().removeIf(t -> now - t > GAP);
    }
}
