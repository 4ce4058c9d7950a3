package craneway.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

public final class SimulatedNetwork {
    private static final long NEAR = 300, FAR = 4_000, LATE = 400_000;

    private final Simulation sim;
    private final Map<String, Machine> byAddress = new HashMap<>();
    private final Set<String> cuts = new HashSet<>();
    private double setDropShare;
    private double setDuplicateShare;
    private double setDelayShare;

    public SimulatedNetwork(Simulation sim) {
        this.sim = sim;
    }

    public void setDropShare(double share) {
        setDropShare = share;
    }

    public void setDuplicateShare(double share) {
        setDuplicateShare = share;
    }

    public void setDelayShare(double share) {
        setDelayShare = share;
    }

    public void register(Machine m) {
        byAddress.put(m.address, m);
    }

    public Machine machineAt(String address) {
        return byAddress.get(address);
    }

    public void cut(Machine from, Machine to) {
        cuts.add(from.name + ">" + to.name);
    }

    public void heal() {
        cuts.clear();
        setDropShare = 0;
        setDuplicateShare = 0;
        setDelayShare = 0;
    }

    public void heal(Machine a, Machine b) {
        cuts.remove(a.name + ">" + b.name);
        cuts.remove(b.name + ">" + a.name);
    }

    public boolean isReachable(Machine from, Machine to) {
        return !cuts.contains(from.name + ">" + to.name);
    }

    public boolean drawLoss() {
        return setDropShare > 0 && sim.random.nextDouble() < setDropShare;
    }

    public long drawLatency(Machine a, Machine b) {
        var base = a.zone.equals(b.zone) ? NEAR : FAR;
        return base + (long) (sim.random.nextDouble() * base);
    }

    public void send(Machine from, String address, Runnable receive) {
        var to = byAddress.get(address);
        if (to == null || !isReachable(from, to) || drawLoss()) return;
        deliver(from, to, receive);
        if (setDuplicateShare > 0 && sim.random.nextDouble() < setDuplicateShare) deliver(from, to, receive);
    }

    private void deliver(Machine from, Machine to, Runnable receive) {
        var late = setDelayShare > 0 && sim.random.nextDouble() < setDelayShare ? (long) (sim.random.nextDouble() * LATE) : 0;
        sim.scheduleAfter(drawLatency(from, to) + late, () -> {
            if (to.isRunning()) to.runOrDefer(receive);
        });
    }
}
