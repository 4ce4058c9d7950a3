package craneway.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The simulated network: latencies, lost, duplicated and delayed messages, and cut links. A link is cut for one
 * direction.
 */
public final class SimulatedNetwork {
    /** Least one-way latency within a zone. */
    private static final long SAME_ZONE_LATENCY_MICROS = 300;

    /** Least one-way latency between zones. */
    private static final long CROSS_ZONE_LATENCY_MICROS = 4_000;

    private static final long MAX_EXTRA_DELAY_MICROS = 400_000;

    private final Simulation sim;
    private final Map<String, Machine> byAddress = new HashMap<>();
    private final Set<String> cutLinks = new HashSet<>();
    private double dropShare;
    private double duplicateShare;
    private double delayShare;

    /** Creates a network without machines and without faults. */
    public SimulatedNetwork(Simulation sim) {
        this.sim = sim;
    }

    /** Sets the share of messages that are lost. */
    public void setDropShare(double share) {
        dropShare = share;
    }

    /** Sets the share of messages that are delivered twice. */
    public void setDuplicateShare(double share) {
        duplicateShare = share;
    }

    /** Sets the share of messages that are delayed by up to {@link #MAX_EXTRA_DELAY_MICROS}. */
    public void setDelayShare(double share) {
        delayShare = share;
    }

    /** Makes a machine reachable at its current address. */
    public void register(Machine machine) {
        byAddress.put(machine.address, machine);
    }

    /** The machine at an address, or null. */
    public Machine machineAt(String address) {
        return byAddress.get(address);
    }

    /** Cuts the direction from one machine to the other. */
    public void cut(Machine from, Machine to) {
        cutLinks.add(from.name + ">" + to.name);
    }

    /** Restores all links and ends all random message faults. */
    public void heal() {
        cutLinks.clear();
        dropShare = 0;
        duplicateShare = 0;
        delayShare = 0;
    }

    /** Restores both directions between two machines. */
    public void heal(Machine first, Machine second) {
        cutLinks.remove(first.name + ">" + second.name);
        cutLinks.remove(second.name + ">" + first.name);
    }

    /** Whether messages pass from one machine to the other. */
    public boolean isReachable(Machine from, Machine to) {
        return !cutLinks.contains(from.name + ">" + to.name);
    }

    /** Draws whether a message is lost; draws nothing while no loss is set. */
    public boolean drawLoss() {
        return dropShare > 0 && sim.random.nextDouble() < dropShare;
    }

    /** Draws a one-way latency in microseconds. */
    public long drawLatency(Machine from, Machine to) {
        var minLatency = from.zone.equals(to.zone) ? SAME_ZONE_LATENCY_MICROS : CROSS_ZONE_LATENCY_MICROS;
        return minLatency + (long) (sim.random.nextDouble() * minLatency);
    }

    /** Sends a message; {@code receive} runs on the receiving machine, possibly twice or never. */
    public void send(Machine from, String address, Runnable receive) {
        var to = byAddress.get(address);
        if (to == null || !isReachable(from, to) || drawLoss()) return;
        deliver(from, to, receive);
        if (duplicateShare > 0 && sim.random.nextDouble() < duplicateShare) deliver(from, to, receive);
    }

    private void deliver(Machine from, Machine to, Runnable receive) {
        var extraDelay = delayShare > 0 && sim.random.nextDouble() < delayShare
                ? (long) (sim.random.nextDouble() * MAX_EXTRA_DELAY_MICROS)
                : 0;
        sim.scheduleAfter(drawLatency(from, to) + extraDelay, () -> {
            if (to.isRunning()) to.runOrDefer(receive);
        });
    }
}
