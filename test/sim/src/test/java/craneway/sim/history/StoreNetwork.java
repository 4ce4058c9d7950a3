package craneway.sim.history;

import craneway.sim.Simulation;
import craneway.state.message.Codec;
import craneway.state.message.Messages.Hello;
import java.util.HashSet;
import java.util.Set;

/**
 * The links between stores, with the behavior of TCP with reconnects: a message may be lost, duplicated, or delayed for
 * seconds and overtaken by later ones; one sent over a cut link may arrive after the link is restored. None reaches a
 * later process of its receiver.
 */
final class StoreNetwork {
    private static final long LOOPBACK_DELAY_MICROS = 50;
    private static final long SAME_REGION_DELAY_MICROS = 300;
    private static final long CROSS_REGION_DELAY_MICROS = 35_000;
    private static final long DELAY_SPREAD_MICROS = 2_000;
    private static final long MIN_LATE_DELAY_MICROS = 100_000;
    private static final long LATE_DELAY_SPREAD_MICROS = 6_000_000;
    private static final long RECONNECT_INTERVAL_MICROS = 300_000;
    private static final long MAX_HOLD_MICROS = 10_000_000;

    private final StoreFleet fleet;
    private final Simulation sim;
    private final Set<String> cutLinks = new HashSet<>();
    double lostShare;
    double duplicateShare;
    double lateShare;

    /** The share of messages sent over a cut link that arrive when it is restored. */
    double heldShare = 0.3;

    StoreNetwork(StoreFleet fleet) {
        this.fleet = fleet;
        sim = fleet.sim;
    }

    /** Cuts one direction. */
    void cut(String from, String to) {
        cutLinks.add(from + ">" + to);
    }

    /** Restores all links. */
    void heal() {
        cutLinks.clear();
    }

    /** Whether no link is cut. */
    boolean isIntact() {
        return cutLinks.isEmpty();
    }

    /** Whether messages pass in this direction. */
    boolean isReachable(String from, String to) {
        return !cutLinks.contains(from + ">" + to);
    }

    void send(StoreNode from, String address, Object message) {
        if (!from.isRunning()) return;
        var to = fleet.node(address);
        if (to == null) return;
        var encoded = Codec.encodeTagged(message);
        var coreId = message instanceof Hello ? 0 : from.coreId();
        var session = to.session();
        if (to == from) {
            sim.scheduleAfter(LOOPBACK_DELAY_MICROS, () -> arrive(to, session, coreId, encoded));
            return;
        }
        if (sim.random.nextDouble() < lostShare) return;
        var delay = drawDelay(from, to);
        if (sim.random.nextDouble() < lateShare) delay += drawLateDelay();
        transmit(from, to, delay, sim.now() + MAX_HOLD_MICROS, () -> arrive(to, session, coreId, encoded));
        if (sim.random.nextDouble() < duplicateShare)
            transmit(
                    from,
                    to,
                    delay + drawLateDelay(),
                    sim.now() + MAX_HOLD_MICROS,
                    () -> arrive(to, session, coreId, encoded));
    }

    private long drawDelay(StoreNode from, StoreNode to) {
        var sameRegion = fleet.regionOf(from.zone).equals(fleet.regionOf(to.zone));
        return (sameRegion ? SAME_REGION_DELAY_MICROS : CROSS_REGION_DELAY_MICROS)
                + (long) (sim.random.nextDouble() * DELAY_SPREAD_MICROS);
    }

    private long drawLateDelay() {
        return MIN_LATE_DELAY_MICROS + (long) (sim.random.nextDouble() * LATE_DELAY_SPREAD_MICROS);
    }

    private void transmit(StoreNode from, StoreNode to, long delay, long heldUntil, Runnable arrival) {
        if (isReachable(from.name, to.name)) sim.scheduleAfter(delay, arrival);
        else if (sim.now() < heldUntil && sim.random.nextDouble() < heldShare)
            transmitWhenRestored(from, to, delay, heldUntil, arrival);
    }

    /** Tries again until the link is restored or the time to hold a message has passed. */
    private void transmitWhenRestored(StoreNode from, StoreNode to, long delay, long heldUntil, Runnable arrival) {
        sim.scheduleAfter(RECONNECT_INTERVAL_MICROS, () -> {
            if (isReachable(from.name, to.name)) sim.scheduleAfter(delay, arrival);
            else if (sim.now() < heldUntil) transmitWhenRestored(from, to, delay, heldUntil, arrival);
        });
    }

    private static void arrive(StoreNode to, int session, long coreId, byte[] encoded) {
        if (!to.isRunning() || to.session() != session) return;
        if (coreId != 0 && to.coreId() != 0 && to.coreId() != coreId) return;
        to.receive(encoded);
    }
}
