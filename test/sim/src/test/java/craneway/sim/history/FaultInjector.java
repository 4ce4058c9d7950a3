package craneway.sim.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Random faults drawn from a seed: kills, losses of power, lost disks, links cut in one or both directions, freezes,
 * slow stores, hung disks, leadership transfers, bad links. Any number of machines may be faulty at once, but disks are
 * lost only as the setting {@code withstand} permits: at most that many, while all others have been healthy for {@code
 * sync_s}; the others may lose power at the same moment.
 */
final class FaultInjector {
    private static final long MIN_GAP_MICROS = 300_000;
    private static final long MAX_EXTRA_GAP_MICROS = 2_500_000;
    private static final long MAX_FAULT_MICROS = 7_000_000;

    /** How long a machine must have been healthy before it counts as holding everything; the setting {@code sync_s}. */
    private static final long RESYNC_MICROS = 4_500_000;

    private static final long MAX_DELAY_AFTER_ACKNOWLEDGEMENT_MICROS = 3_000;
    private static final long MAX_STOP_DELAY_MICROS = 2_000_000;
    private static final long LEAVE_DURATION_MICROS = 500_000;
    private static final double FAULT_AFTER_ACKNOWLEDGEMENT_PROBABILITY = 0.03;

    private final StoreFleet fleet;
    private final Random random;
    private final Map<String, Long> repairedAt = new HashMap<>();
    private final long endTime;

    /** The number of faults so far. */
    int faultCount;

    FaultInjector(StoreFleet fleet, long endTime) {
        this.fleet = fleet;
        this.endTime = endTime;
        random = new Random(fleet.sim.random.nextLong());
    }

    /** Injects faults at random intervals until the end time. */
    void start() {
        fleet.sim.scheduleAfter(MIN_GAP_MICROS + drawDuration(MAX_EXTRA_GAP_MICROS), () -> {
            if (fleet.sim.now() >= endTime) return;
            faultCount++;
            injectFault();
            start();
        });
    }

    private long drawDuration(long max) {
        return (long) (random.nextDouble() * max);
    }

    private void injectFault() {
        var draw = random.nextInt(100);
        if (draw < 16) endAndRestart(pickSome(2), StoreNode::kill);
        else if (draw < 28) endAndRestart(pickSome(fleet.nodes().size()), StoreNode::losePower);
        else if (draw < 36) loseDisks();
        else if (draw < 40) replaceMachine();
        else if (draw < 56) cutLinks();
        else if (draw < 70) freeze(pickNode());
        else if (draw < 78) slow(pickNode());
        else if (draw < 84) hang(pickNode());
        else if (draw < 92) transferLeadership();
        else degradeLinks();
    }

    /** Injects some faults within milliseconds after an acknowledgement. */
    void afterAcknowledgement() {
        if (fleet.sim.now() >= endTime || random.nextDouble() >= FAULT_AFTER_ACKNOWLEDGEMENT_PROBABILITY) return;
        fleet.sim.scheduleAfter(drawDuration(MAX_DELAY_AFTER_ACKNOWLEDGEMENT_MICROS), () -> {
            faultCount++;
            var draw = random.nextInt(4);
            if (draw == 0) endAndRestart(fleet.nodes(), StoreNode::losePower);
            else if (draw == 1) endAndRestart(pickSome(2), StoreNode::kill);
            else loseDisks();
        });
    }

    /** The leader with a probability of one half, otherwise a random store. */
    private StoreNode pickNode() {
        var leader = fleet.leader();
        var nodes = fleet.nodes();
        return leader != null && random.nextDouble() < 0.5 ? leader : nodes.get(random.nextInt(nodes.size()));
    }

    private List<StoreNode> pickSome(int max) {
        var picked = new ArrayList<StoreNode>();
        var draws = 1 + random.nextInt(max);
        for (var i = 0; i < draws; i++) if (!picked.contains(fleet.nodes().get(i))) picked.add(pickNode());
        return picked.stream().distinct().toList();
    }

    /** A way in which a store's process ends. */
    private interface Ending {
        void apply(StoreNode node);
    }

    /** Ends the processes and starts each again after a random time. */
    private void endAndRestart(List<StoreNode> nodes, Ending ending) {
        for (var node : nodes) {
            if (!node.isRunning()) continue;
            fleet.note(node.name, "PROCESS ENDS");
            ending.apply(node);
            scheduleRepair(
                    node,
                    drawDuration(random.nextBoolean() ? MIN_GAP_MICROS : MAX_FAULT_MICROS),
                    () -> node.start(false));
        }
    }

    /**
     * Schedules the end of a fault. The machine counts as faulty until it has been healthy again for {@link
     * #RESYNC_MICROS}.
     */
    private void scheduleRepair(StoreNode node, long delay, Runnable repair) {
        var time = fleet.sim.now() + delay;
        repairedAt.merge(node.name, time, Math::max);
        fleet.sim.scheduleAt(time, repair);
    }

    /** Whether the machine has been healthy for {@link #RESYNC_MICROS}. */
    private boolean isSynchronized(StoreNode node) {
        return node.isHealthy() && fleet.sim.now() - repairedAt.getOrDefault(node.name, 0L) >= RESYNC_MICROS;
    }

    private void loseDisks() {
        if (!fleet.net.isIntact() || !fleet.nodes().stream().allMatch(this::isSynchronized)) return;
        var lost = new ArrayList<StoreNode>();
        for (var i = 0; i <= random.nextInt(fleet.maxLosses()); i++) lost.add(pickNode());
        var othersLosePower = random.nextBoolean();
        for (var node : fleet.nodes()) {
            if (lost.contains(node)) endAndRestart(List.of(node), StoreNode::loseDisk);
            else if (othersLosePower) endAndRestart(List.of(node), StoreNode::losePower);
        }
    }

    /** Stops a machine as planned and starts another in its place, with an empty disk and another address. */
    private void replaceMachine() {
        if (!fleet.net.isIntact() || !fleet.nodes().stream().allMatch(this::isSynchronized)) return;
        var node = pickNode();
        var replacement = fleet.replace(node);
        fleet.note(node.name, "REPLACED by " + replacement.name);
        node.store().transferLeadership();
        var stopDelay = drawDuration(MAX_STOP_DELAY_MICROS);
        fleet.sim.scheduleAfter(stopDelay, node::leave);
        fleet.sim.scheduleAfter(stopDelay + LEAVE_DURATION_MICROS, node::loseDisk);
        scheduleRepair(
                replacement, random.nextBoolean() ? 0 : drawDuration(MAX_FAULT_MICROS), () -> replacement.start(false));
    }

    /** Cuts a store off: from all others in both directions, in one direction only, or from some of them. */
    private void cutLinks() {
        var node = pickNode();
        var direction = random.nextInt(4);
        fleet.note(node.name, "CUT " + direction);
        for (var other : fleet.nodes()) {
            if (other == node || direction == 3 && random.nextBoolean()) continue;
            if (direction != 1) fleet.net.cut(node.name, other.name);
            if (direction != 2) fleet.net.cut(other.name, node.name);
        }
        scheduleRepair(node, drawDuration(MAX_FAULT_MICROS), () -> {
            fleet.net.heal();
            fleet.nodes().forEach(other -> repairedAt.merge(other.name, fleet.sim.now(), Math::max));
        });
    }

    private void freeze(StoreNode node) {
        if (!node.isHealthy()) return;
        fleet.note(node.name, "FROZEN");
        node.freeze();
        scheduleRepair(node, drawDuration(MAX_FAULT_MICROS), node::thaw);
    }

    private void slow(StoreNode node) {
        node.setMaxReceiveDelay(20_000 + drawDuration(600_000));
        scheduleRepair(node, drawDuration(MAX_FAULT_MICROS), () -> node.setMaxReceiveDelay(0));
    }

    private void hang(StoreNode node) {
        if (!node.isHealthy()) return;
        node.setDiskHung(true);
        scheduleRepair(node, drawDuration(MAX_FAULT_MICROS), () -> node.setDiskHung(false));
    }

    /** Transfers leadership as a planned stop does. It counts as a fault, since a planned stop would. */
    private void transferLeadership() {
        var node = fleet.leader();
        if (node == null || !node.isHealthy()) return;
        fleet.note(node.name, "TRANSFERS LEADERSHIP");
        node.store().transferLeadership();
        repairedAt.merge(node.name, fleet.sim.now(), Math::max);
    }

    private void degradeLinks() {
        var net = fleet.net;
        fleet.note("links", "BAD");
        net.lostShare = random.nextDouble() * 0.2;
        net.duplicateShare = random.nextDouble() * 0.2;
        net.lateShare = random.nextDouble() * 0.2;
        fleet.nodes().forEach(node -> scheduleRepair(node, MAX_EXTRA_GAP_MICROS, this::setUsualLinkFaults));
    }

    /** Sets the links' usual rates of faults. */
    void setUsualLinkFaults() {
        fleet.net.lostShare = 0.002;
        fleet.net.duplicateShare = 0.02;
        fleet.net.lateShare = 0.01;
    }

    /** Ends every fault and starts every store. */
    void endAll() {
        fleet.net.heal();
        fleet.net.lostShare = fleet.net.duplicateShare = fleet.net.lateShare = 0;
        for (var node : fleet.nodes()) {
            node.setMaxReceiveDelay(0);
            node.setDiskHung(false);
            node.thaw();
            node.start(false);
        }
    }
}
