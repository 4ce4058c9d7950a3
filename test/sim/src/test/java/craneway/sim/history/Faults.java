package craneway.sim.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Faults drawn from a seed: kills, losses of power, lost disks, cuts of one or both ways, freezes, slow stores, hung disks, handed
 * over leaders, bad links. Any number of machines may be in trouble at once, but disks are lost only as {@code withstand} has it: as
 * many as that, while all others have been well for {@code sync_s}; the others may lose their power at the same moment.
 */
final class Faults {
    private static final long LEAST = 300_000;
    private static final long MOST_GAP = 2_500_000;
    private static final long MOST_SPAN = 7_000_000;
    private static final long SYNC = 4_500_000;
    private static final long AT_ONCE = 3_000;
    private static final long STOPS = 2_000_000;
    private static final long LEAVES = 500_000;
    private static final double AFTER_ACKNOWLEDGED = 0.03;

    private final Fleet fleet;
    private final Random random;
    private final Map<String, Long> trouble = new HashMap<>();
    private final long stop;
    int count;

    Faults(Fleet fleet, long stop) {
        this.fleet = fleet;
        this.stop = stop;
        random = new Random(fleet.sim.random.nextLong());
    }

    void begin() {
        fleet.sim.scheduleAfter(LEAST + span(MOST_GAP), () -> {
            if (fleet.sim.now() >= stop) return;
            count++;
            draw();
            begin();
        });
    }

    private long span(long most) {
        return (long) (random.nextDouble() * most);
    }

    private void draw() {
        var dice = random.nextInt(100);
        if (dice < 16) end(some(2), StoreNode::kill);
        else if (dice < 28) end(some(fleet.nodes().size()), StoreNode::losePower);
        else if (dice < 36) loseDisks();
        else if (dice < 40) replace();
        else if (dice < 56) cut();
        else if (dice < 70) freeze(pick());
        else if (dice < 78) slow(pick());
        else if (dice < 84) hang(pick());
        else if (dice < 92) handOver();
        else badLinks();
    }

    /** Some faults strike the moment after an acknowledgement. */
    void acknowledged() {
        if (fleet.sim.now() >= stop || random.nextDouble() >= AFTER_ACKNOWLEDGED) return;
        fleet.sim.scheduleAfter(span(AT_ONCE), () -> {
            count++;
            var dice = random.nextInt(4);
            if (dice == 0) end(fleet.nodes(), StoreNode::losePower);
            else if (dice == 1) end(some(2), StoreNode::kill);
            else loseDisks();
        });
    }

    private StoreNode pick() {
        var leader = fleet.leader();
        var all = fleet.nodes();
        return leader != null && random.nextDouble() < 0.5 ? leader : all.get(random.nextInt(all.size()));
    }

    private List<StoreNode> some(int most) {
        var all = new ArrayList<StoreNode>();
        var n = 1 + random.nextInt(most);
        for (var i = 0; i < n; i++) if (!all.contains(fleet.nodes().get(i))) all.add(pick());
        return all.stream().distinct().toList();
    }

    private interface End {
        void of(StoreNode n);
    }

    private void end(List<StoreNode> all, End how) {
        for (var n : all) {
            if (!n.up()) continue;
            fleet.note(n.name, "ENDS");
            how.of(n);
            repair(n, span(random.nextBoolean() ? LEAST : MOST_SPAN), () -> n.start(false));
        }
    }

    /** Counts the machine as lost until it has been well again for a while. */
    private void repair(StoreNode n, long after, Runnable how) {
        var over = fleet.sim.now() + after;
        trouble.merge(n.name, over, Math::max);
        fleet.sim.scheduleAt(over, how);
    }

    private boolean counts(StoreNode n) {
        return n.well() && fleet.sim.now() - trouble.getOrDefault(n.name, 0L) >= SYNC;
    }

    private void loseDisks() {
        if (!fleet.net.whole() || !fleet.nodes().stream().allMatch(this::counts)) return;
        var lost = new ArrayList<StoreNode>();
        for (var i = 0; i <= random.nextInt(fleet.losses()); i++) lost.add(pick());
        var dark = random.nextBoolean();
        for (var n : fleet.nodes()) {
            if (lost.contains(n)) end(List.of(n), StoreNode::loseDisk);
            else if (dark) end(List.of(n), StoreNode::losePower);
        }
    }

    /** A machine is told to stop and another comes in its place, with an empty disk and another address. */
    private void replace() {
        if (!fleet.net.whole() || !fleet.nodes().stream().allMatch(this::counts)) return;
        var n = pick();
        var by = fleet.replace(n);
        fleet.note(n.name, "REPLACED by " + by.name);
        n.store().transferLeadership();
        var stops = span(STOPS);
        fleet.sim.scheduleAfter(stops, n::leave);
        fleet.sim.scheduleAfter(stops + LEAVES, n::loseDisk);
        repair(by, random.nextBoolean() ? 0 : span(MOST_SPAN), () -> by.start(false));
    }

    private void cut() {
        var n = pick();
        var way = random.nextInt(4);
        fleet.note(n.name, "CUT " + way);
        for (var o : fleet.nodes()) {
            if (o == n || way == 3 && random.nextBoolean()) continue;
            if (way != 1) fleet.net.cut(n.name, o.name);
            if (way != 2) fleet.net.cut(o.name, n.name);
        }
        repair(n, span(MOST_SPAN), () -> {
            fleet.net.heal();
            fleet.nodes().forEach(o -> trouble.merge(o.name, fleet.sim.now(), Math::max));
        });
    }

    private void freeze(StoreNode n) {
        if (!n.well()) return;
        fleet.note(n.name, "FROZEN");
        n.freeze();
        repair(n, span(MOST_SPAN), n::thaw);
    }

    private void slow(StoreNode n) {
        n.slow(20_000 + span(600_000));
        repair(n, span(MOST_SPAN), () -> n.slow(0));
    }

    private void hang(StoreNode n) {
        if (!n.well()) return;
        n.hang(true);
        repair(n, span(MOST_SPAN), () -> n.hang(false));
    }

    /** As a planned stop does it; counts as trouble, as that would. */
    private void handOver() {
        var n = fleet.leader();
        if (n == null || !n.well()) return;
        fleet.note(n.name, "HANDS OVER");
        n.store().transferLeadership();
        trouble.merge(n.name, fleet.sim.now(), Math::max);
    }

    private void badLinks() {
        var net = fleet.net;
        fleet.note("links", "BAD");
        net.lost = random.nextDouble() * 0.2;
        net.doubled = random.nextDouble() * 0.2;
        net.late = random.nextDouble() * 0.2;
        fleet.nodes().forEach(n -> repair(n, MOST_GAP, this::usualLinks));
    }

    /** The links' usual faults. */
    void usualLinks() {
        fleet.net.lost = 0.002;
        fleet.net.doubled = 0.02;
        fleet.net.late = 0.01;
    }

    /** Ends every trouble. */
    void over() {
        fleet.net.heal();
        fleet.net.lost = fleet.net.doubled = fleet.net.late = 0;
        for (var n : fleet.nodes()) {
            n.slow(0);
            n.hang(false);
            n.thaw();
            n.start(false);
        }
    }
}
