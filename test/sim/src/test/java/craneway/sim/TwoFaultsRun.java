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
final class TwoFaultsRun {
    enum StoreFault {
        KILL,
        POWER,
        LOST_DISK,
        REPLACE,
        PLANNED_REPLACE,
        SEEDS,
        CUT;

        boolean losesData() {
            return this == LOST_DISK || this == REPLACE || this == PLANNED_REPLACE;
        }
    }

    /** The second event strikes the same store as the first (or the one in its place), or another one. */
    record FaultPair(int storeCount, StoreFault firstFault, StoreFault secondFault, long gapMicros, boolean hitsLeader, boolean sameStore) {
        @Override
        public String toString() {
            return storeCount + " stores: " + firstFault + (hitsLeader ? " of the leader, " : " of a follower, ") + secondFault
                    + (sameStore ? " of the same " : " of another ") + gapMicros / 1e6 + " s later";
        }
    }

    record Outcome(FaultPair scenario, List<String> violations, double longestGapSeconds, boolean availabilityRequired, List<String> eventLog) {}

    private static final Map<String, String> REGIONS =
            Map.of("z1", "a", "z2", "b", "z3", "c", "z4", "a", "z5", "b", "z6", "c");
    private static final long RESTART_DELAY_MICROS = 700_000;
    private static final long PARTITION_MICROS = 3_000_000;
    private static final long LEADERSHIP_TRANSFER_MICROS = 2_000_000;
    private static final long SHUTDOWN_DELAY_MICROS = 500_000;
    /** Within this time a store that permits it has taken an order again. */
    static final double MAX_UNAVAILABLE_SECONDS = 3;

    /** So long after the end of a run a group may still lack a voter. */
    private static final double MAX_SETTLE_SECONDS = 8;

    private final FaultPair run;
    private final Cluster cluster;
    private final long resyncMicros;
    private final List<Cluster.Member> currentStores = new ArrayList<>();
    private final Set<Cluster.Member> removedStores = new HashSet<>();
    private int addedStores;
    private long lastRecoveryAt;

    private TwoFaultsRun(FaultPair run) {
        this.run = run;
        resyncMicros = run.storeCount == 3 ? 4_000_000 : 6_000_000;
        cluster = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.toleratingLosses(run.storeCount == 3 ? 1 : 2, REGIONS));
        cluster.founderCount = run.storeCount;
        for (var i = 1; i <= run.storeCount; i++) currentStores.add(cluster.addMember("s" + i, Node.STORE, "z" + i));
    }

    static Outcome play(FaultPair run, String text) {
        return new TwoFaultsRun(run).play(text);
    }

    private Outcome play(String text) {
        cluster.runUntil(this::isSettled, 25);
        cluster.runFor(4);
        var operator = new ContinuousOperator(cluster, text);
        cluster.runFor(2);
        var faults = operator.violations;
        if (operator.acknowledgedCount() == 0) faults.add("no order was taken before the events");
        operator.takeLongestGapSeconds();
        var victim = firstTarget();
        var began = cluster.sim.now();
        applyFault(run.firstFault, victim);
        var place = currentStores.indexOf(victim);
        var permitted = run.sameStore || run.storeCount > 3;
        var gap = run.gapMicros;
        if (!permitted && run.firstFault.losesData() && run.secondFault.losesData()) gap = minDelayBetweenDiskLosses(began) + run.gapMicros;
        if (gap >= lastRecoveryAt - began + resyncMicros) permitted = true;
        cluster.runFor(gap / 1e6);
        var next = run.sameStore ? place : (place + 1) % currentStores.size();
        cluster.runUntil(() -> !removedStores.contains(currentStores.get(next)), 3);
        applyFault(run.secondFault, currentStores.get(next));
        cluster.runFor(Math.max(0, lastRecoveryAt - cluster.sim.now()) / 1e6);
        var during = operator.takeLongestGapSeconds();
        if (permitted && during > MAX_UNAVAILABLE_SECONDS) faults.add("no order was taken for " + during + " s");
        cluster.runFor(8);
        var after = operator.takeLongestGapSeconds();
        if (after > MAX_UNAVAILABLE_SECONDS + 1) faults.add("no order was taken for " + after + " s after the last return");
        operator.stop();
        cluster.runFor(2);
        checkFinalState(operator);
        return new Outcome(run, faults, Math.max(permitted ? during : 0, after), permitted, cluster.eventLog);
    }

    private void checkFinalState(ContinuousOperator operator) {
        for (var m : currentStores) {
            var had = operator.readCount();
            operator.readManifest(m);
            cluster.runFor(0.5);
            if (operator.readCount() == had) operator.violations.add(m.name + " does not read back at the end");
            if (m.store.membership().isSuperseded()) operator.violations.add(m.name + " was superseded");
        }
        var whole = cluster.runUntil(this::isSettled, MAX_SETTLE_SECONDS);
        if (whole >= MAX_SETTLE_SECONDS)
            operator.violations.add("the group does not have its " + cluster.quorum.voterCount() + " voters");
    }

    private boolean isSettled() {
        for (var p = 0; p < Parts.COUNT; p++) {
            if (cluster.leaderOf(p) == null) return false;
            var voters = cluster.voterNames(p);
            if (voters.size() != cluster.quorum.voterCount() || voters.contains("?")) return false;
            for (var v : voters) if (!currentStores.contains(cluster.member(v))) return false;
        }
        return true;
    }

    private Cluster.Member firstTarget() {
        var o = cluster.leaderOf(0);
        return run.hitsLeader ? o : currentStores.get((currentStores.indexOf(o) + 1) % currentStores.size());
    }

    /** The time from the first event until another store may lose its disk. */
    private long minDelayBetweenDiskLosses(long began) {
        return lastRecoveryAt + resyncMicros - began;
    }

    private void applyFault(StoreFault e, Cluster.Member m) {
        switch (e) {
            case KILL -> restartAfter(m, m::crash);
            case POWER -> restartAfter(m, m::losePower);
            case LOST_DISK -> restartAfter(m, m::loseDisk);
            case SEEDS -> restartWithOtherSeeds(m);
            case REPLACE -> {
                m.crash();
                removedStores.add(m);
                addReplacement(m, RESTART_DELAY_MICROS);
            }
            case PLANNED_REPLACE -> {
                addReplacement(m, 0);
                cluster.sim.after(1_000_000, () -> terminate(m, cluster.sim.now()));
                expectRecoveryIn(1_000_000 + LEADERSHIP_TRANSFER_MICROS + SHUTDOWN_DELAY_MICROS);
            }
            case CUT -> partition(m);
        }
    }

    private void expectRecoveryIn(long in) {
        lastRecoveryAt = Math.max(lastRecoveryAt, cluster.sim.now() + in);
    }

    private void restartAfter(Cluster.Member m, Runnable down) {
        if (removedStores.contains(m)) return;
        if (!m.running) {
            cluster.sim.after(RESTART_DELAY_MICROS, () -> restartAfter(m, down));
            expectRecoveryIn(2 * RESTART_DELAY_MICROS);
            return;
        }
        down.run();
        cluster.sim.after(RESTART_DELAY_MICROS, () -> {
            if (!m.running && !removedStores.contains(m)) {
                m.start();
                updateSeedAddresses();
            }
        });
        expectRecoveryIn(RESTART_DELAY_MICROS);
    }

    private void restartWithOtherSeeds(Cluster.Member m) {
        var others = currentStores.stream().filter(x -> x != m).toList();
        restartAfter(m, m::crash);
        cluster.sim.after(
                RESTART_DELAY_MICROS - 1, () -> cluster.seedAddresses = List.of(others.get(addedStores % others.size()).address, "nowhere"));
    }

    private void addReplacement(Cluster.Member m, long in) {
        var place = currentStores.indexOf(m);
        cluster.sim.after(in, () -> {
            updateSeedAddresses();
            var by = cluster.addMember("n" + ++addedStores, Node.STORE, m.zone);
            currentStores.set(place, by);
        });
        expectRecoveryIn(in);
    }

    /** Seeds follow the operator's list. */
    private void updateSeedAddresses() {
        cluster.seedAddresses =
                currentStores.stream().filter(m -> m.running).limit(3).map(m -> m.address).toList();
    }

    /** What the process does on SIGTERM. */
    private void terminate(Cluster.Member m, long since) {
        removedStores.add(m);
        if (!m.running) return;
        if (m.store.transferLeadership() && cluster.sim.now() < since + LEADERSHIP_TRANSFER_MICROS) {
            cluster.sim.after(100_000, () -> terminate(m, since));
            return;
        }
        m.store.membership().leave(cluster.sim.now());
        cluster.sim.after(SHUTDOWN_DELAY_MICROS, m::crash);
    }

    private void partition(Cluster.Member m) {
        for (var x : List.copyOf(cluster.members.values())) {
            cluster.blockedPaths.add(m.name + ">" + x.name);
            cluster.blockedPaths.add(x.name + ">" + m.name);
        }
        cluster.blockedPaths.remove(m.name + ">" + m.name);
        cluster.sim.after(PARTITION_MICROS, () -> cluster.blockedPaths.removeIf(k -> k.startsWith(m.name + ">") || k.endsWith(">" + m.name)));
        expectRecoveryIn(PARTITION_MICROS);
    }
}
