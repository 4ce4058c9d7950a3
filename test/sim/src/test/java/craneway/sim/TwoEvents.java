package craneway.sim;

import craneway.control.store.Quorum;
import craneway.model.unit.Parts;
import craneway.model.unit.TimingProfile;
import craneway.state.message.Node;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** One run: two events at stores, the second some time after the first, under an operator who never rests. */
final class TwoEvents {
    enum Event {
        KILL,
        POWER,
        LOST_DISK,
        REPLACE,
        PLANNED_REPLACE,
        SEEDS,
        CUT;

        boolean losesDisk() {
            return this == LOST_DISK || this == REPLACE || this == PLANNED_REPLACE;
        }
    }

    /** The second event strikes the same store as the first (or the one in its place), or another one. */
    record Run(int stores, Event first, Event second, long gap, boolean leader, boolean same) {
        @Override
        public String toString() {
            return stores + " stores: " + first + (leader ? " of the leader, " : " of a follower, ") + second
                    + (same ? " of the same " : " of another ") + gap / 1e6 + " s later";
        }
    }

    record Result(Run run, List<String> faults, double worst, boolean permitted, List<String> notes) {}

    private static final Map<String, String> REGIONS =
            Map.of("z1", "a", "z2", "b", "z3", "c", "z4", "a", "z5", "b", "z6", "c");
    private static final long BACK = 700_000;
    private static final long CUT = 3_000_000;
    private static final long HAND_OVER = 2_000_000;
    private static final long LAST_REPLIES = 500_000;
    /** Within this time a store that permits it has taken an order again. */
    static final double BOUND = 3;

    /** So long after the end of a run a group may still lack a voter. */
    private static final double WHOLE = 8;

    private final Run run;
    private final Cluster cluster;
    private final long sync;
    private final List<Cluster.Member> core = new ArrayList<>();
    private final Set<Cluster.Member> removed = new HashSet<>();
    private int added;
    private long lastReturn;

    private TwoEvents(Run run) {
        this.run = run;
        sync = run.stores == 3 ? 4_000_000 : 6_000_000;
        cluster = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.toleratingLosses(run.stores == 3 ? 1 : 2, REGIONS));
        cluster.founders = run.stores;
        for (var i = 1; i <= run.stores; i++) core.add(cluster.add("s" + i, Node.STORE, "z" + i));
    }

    static Result play(Run run, String text) {
        return new TwoEvents(run).play(text);
    }

    private Result play(String text) {
        cluster.until(this::settled, 25);
        cluster.run(4);
        var operator = new SteadyOperator(cluster, text);
        cluster.run(2);
        var faults = operator.faults;
        if (operator.acknowledged() == 0) faults.add("no order was taken before the events");
        operator.worst();
        var victim = victim();
        var began = cluster.sim.now();
        strike(run.first, victim);
        var place = core.indexOf(victim);
        var permitted = run.same || run.stores > 3;
        var gap = run.gap;
        if (!permitted && run.first.losesDisk() && run.second.losesDisk()) gap = delayed(began) + run.gap;
        if (gap >= lastReturn - began + sync) permitted = true;
        cluster.run(gap / 1e6);
        var next = run.same ? place : (place + 1) % core.size();
        cluster.until(() -> !removed.contains(core.get(next)), 3);
        strike(run.second, core.get(next));
        cluster.run(Math.max(0, lastReturn - cluster.sim.now()) / 1e6);
        var during = operator.worst();
        if (permitted && during > BOUND) faults.add("no order was taken for " + during + " s");
        cluster.run(8);
        var after = operator.worst();
        if (after > BOUND + 1) faults.add("no order was taken for " + after + " s after the last return");
        operator.stop();
        cluster.run(2);
        end(operator);
        return new Result(run, faults, Math.max(permitted ? during : 0, after), permitted, cluster.notes);
    }

    private void end(SteadyOperator operator) {
        for (var m : core) {
            var had = operator.readBack();
            operator.read(m);
            cluster.run(0.5);
            if (operator.readBack() == had) operator.faults.add(m.name + " does not read back at the end");
            if (m.store.membership().isSuperseded()) operator.faults.add(m.name + " was superseded");
        }
        var whole = cluster.until(this::settled, WHOLE);
        if (whole >= WHOLE)
            operator.faults.add("the group does not have its " + cluster.quorum.voterCount() + " voters");
    }

    private boolean settled() {
        for (var p = 0; p < Parts.COUNT; p++) {
            if (cluster.owner(p) == null) return false;
            var voters = cluster.voters(p);
            if (voters.size() != cluster.quorum.voterCount() || voters.contains("?")) return false;
            for (var v : voters) if (!core.contains(cluster.get(v))) return false;
        }
        return true;
    }

    private Cluster.Member victim() {
        var o = cluster.owner(0);
        return run.leader ? o : core.get((core.indexOf(o) + 1) % core.size());
    }

    /** The time from the first event until another store may lose its disk. */
    private long delayed(long began) {
        return lastReturn + sync - began;
    }

    private void strike(Event e, Cluster.Member m) {
        switch (e) {
            case KILL -> back(m, m::crash);
            case POWER -> back(m, m::losePower);
            case LOST_DISK -> back(m, m::loseDisk);
            case SEEDS -> seeds(m);
            case REPLACE -> {
                m.crash();
                removed.add(m);
                replaced(m, BACK);
            }
            case PLANNED_REPLACE -> {
                replaced(m, 0);
                cluster.sim.scheduleAfter(1_000_000, () -> terminate(m, cluster.sim.now()));
                returns(1_000_000 + HAND_OVER + LAST_REPLIES);
            }
            case CUT -> cut(m);
        }
    }

    private void returns(long in) {
        lastReturn = Math.max(lastReturn, cluster.sim.now() + in);
    }

    private void back(Cluster.Member m, Runnable down) {
        if (removed.contains(m)) return;
        if (!m.up) {
            cluster.sim.scheduleAfter(BACK, () -> back(m, down));
            returns(2 * BACK);
            return;
        }
        down.run();
        cluster.sim.scheduleAfter(BACK, () -> {
            if (!m.up && !removed.contains(m)) {
                m.start();
                follow();
            }
        });
        returns(BACK);
    }

    private void seeds(Cluster.Member m) {
        var others = core.stream().filter(x -> x != m).toList();
        back(m, m::crash);
        cluster.sim.scheduleAfter(
                BACK - 1, () -> cluster.seeds = List.of(others.get(added % others.size()).address, "nowhere"));
    }

    private void replaced(Cluster.Member m, long in) {
        var place = core.indexOf(m);
        cluster.sim.scheduleAfter(in, () -> {
            follow();
            var by = cluster.add("n" + ++added, Node.STORE, m.zone);
            core.set(place, by);
        });
        returns(in);
    }

    /** Seeds follow the operator's list. */
    private void follow() {
        cluster.seeds =
                core.stream().filter(m -> m.up).limit(3).map(m -> m.address).toList();
    }

    /** What the process does on SIGTERM. */
    private void terminate(Cluster.Member m, long since) {
        removed.add(m);
        if (!m.up) return;
        if (m.store.transferLeadership() && cluster.sim.now() < since + HAND_OVER) {
            cluster.sim.scheduleAfter(100_000, () -> terminate(m, since));
            return;
        }
        m.store.membership().leave(cluster.sim.now());
        cluster.sim.scheduleAfter(LAST_REPLIES, m::crash);
    }

    private void cut(Cluster.Member m) {
        for (var x : List.copyOf(cluster.members.values())) {
            cluster.cut.add(m.name + ">" + x.name);
            cluster.cut.add(x.name + ">" + m.name);
        }
        cluster.cut.remove(m.name + ">" + m.name);
        cluster.sim.scheduleAfter(CUT, () -> cluster.cut.removeIf(k -> k.startsWith(m.name + ">") || k.endsWith(">" + m.name)));
        returns(CUT);
    }
}
