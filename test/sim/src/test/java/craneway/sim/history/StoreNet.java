package craneway.sim.history;

import craneway.sim.Simulation;
import craneway.state.message.Codec;
import craneway.state.message.Messages.Hello;
import java.util.HashSet;
import java.util.Set;

/**
 * The links between stores, as TCP gives them with reconnects: a message may be lost, come twice, or be held up for seconds and come
 * after later ones; one sent into a cut may come once the cut is over. None reaches a later life of its receiver.
 */
final class StoreNet {
    private static final long SELF = 50;
    private static final long NEAR = 300;
    private static final long FAR = 35_000;
    private static final long SPREAD = 2_000;
    private static final long LATE_LEAST = 100_000;
    private static final long LATE_MOST = 6_000_000;
    private static final long CUT_TRY = 300_000;
    private static final long CUT_MOST = 10_000_000;

    private final Fleet fleet;
    private final Simulation sim;
    private final Set<String> cuts = new HashSet<>();
    double lost;
    double doubled;
    double late;
    /** How much of what is sent into a cut comes when it is over. */
    double heldByCut = 0.3;

    StoreNet(Fleet fleet) {
        this.fleet = fleet;
        sim = fleet.sim;
    }

    /** Cuts one direction. */
    void cut(String from, String to) {
        cuts.add(from + ">" + to);
    }

    void heal() {
        cuts.clear();
    }

    boolean whole() {
        return cuts.isEmpty();
    }

    boolean open(String from, String to) {
        return !cuts.contains(from + ">" + to);
    }

    void send(StoreNode from, String address, Object message) {
        if (!from.up()) return;
        var to = fleet.node(address);
        if (to == null) return;
        var b = Codec.encodeTagged(message);
        var core = message instanceof Hello ? 0 : from.core();
        var life = to.life();
        if (to == from) {
            sim.scheduleAfter(SELF, () -> arrive(to, life, core, b));
            return;
        }
        if (sim.random.nextDouble() < lost) return;
        var span = delay(from, to);
        if (sim.random.nextDouble() < late) span += lateness();
        travel(from, to, span, sim.now() + CUT_MOST, () -> arrive(to, life, core, b));
        if (sim.random.nextDouble() < doubled)
            travel(from, to, span + lateness(), sim.now() + CUT_MOST, () -> arrive(to, life, core, b));
    }

    private long delay(StoreNode a, StoreNode b) {
        var near = fleet.region(a.zone).equals(fleet.region(b.zone));
        return (near ? NEAR : FAR) + (long) (sim.random.nextDouble() * SPREAD);
    }

    private long lateness() {
        return LATE_LEAST + (long) (sim.random.nextDouble() * LATE_MOST);
    }

    private void travel(StoreNode from, StoreNode to, long span, long until, Runnable then) {
        if (open(from.name, to.name)) sim.scheduleAfter(span, then);
        else if (sim.now() < until && sim.random.nextDouble() < heldByCut) again(from, to, span, until, then);
    }

    private void again(StoreNode from, StoreNode to, long span, long until, Runnable then) {
        sim.scheduleAfter(CUT_TRY, () -> {
            if (open(from.name, to.name)) sim.scheduleAfter(span, then);
            else if (sim.now() < until) again(from, to, span, until, then);
        });
    }

    private static void arrive(StoreNode to, int life, long core, byte[] b) {
        if (!to.up() || to.life() != life) return;
        if (core != 0 && to.core() != 0 && to.core() != core) return;
        to.receive(b);
    }
}
