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

/**
 * One run of two faults at stores, the second some time after the first, while an operator sends commands all the time.
 * Records a violation if commands get no acknowledgement for too long, an acknowledged one is lost, or a group lacks
 * voters at the end.
 */
final class TwoFaultsRun {
    /**
     * What happens to a store: a crash, a power loss or a lost disk with a restart; an unplanned or a planned
     * replacement by a new store; a restart with other seed addresses; a network partition.
     */
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

    /** Two faults; the second hits the same store as the first, or the store that replaced it, or another one. */
    record FaultPair(
            int storeCount,
            StoreFault firstFault,
            StoreFault secondFault,
            long gapMicros,
            boolean hitsLeader,
            boolean sameStore) {
        @Override
        public String toString() {
            return storeCount + " stores: " + firstFault + (hitsLeader ? " of the leader, " : " of a follower, ")
                    + secondFault + (sameStore ? " of the same " : " of another ") + gapMicros / 1e6 + " s later";
        }
    }

    /** What was seen in a run; commands must keep being acknowledged only if availability was required. */
    record Outcome(
            FaultPair scenario,
            List<String> violations,
            double longestGapSeconds,
            boolean availabilityRequired,
            List<String> eventLog) {}

    private static final Map<String, String> REGION_BY_ZONE =
            Map.of("z1", "a", "z2", "b", "z3", "c", "z4", "a", "z5", "b", "z6", "c");
    private static final long RESTART_DELAY_MICROS = 700_000;
    private static final long PARTITION_MICROS = 3_000_000;
    /** How long a store that stops tries to transfer its leaderships. */
    private static final long LEADERSHIP_TRANSFER_MICROS = 2_000_000;
    /** The time between leaving the core and the end of the process, for the last replies. */
    private static final long SHUTDOWN_DELAY_MICROS = 500_000;
    /** The longest time without an acknowledged command while the faults stay within what the core tolerates. */
    static final double MAX_UNAVAILABLE_SECONDS = 3;

    /** How long after the end of a run a group may still lack a voter. */
    private static final double MAX_SETTLE_SECONDS = 8;

    private final FaultPair faultPair;
    private final Cluster cluster;
    /** How long after the last recovery the core tolerates another fault. */
    private final long resyncMicros;

    private final List<Cluster.Member> currentStores = new ArrayList<>();
    private final Set<Cluster.Member> removedStores = new HashSet<>();
    private int addedStores;
    private long lastRecoveryAt;

    private TwoFaultsRun(FaultPair faultPair) {
        this.faultPair = faultPair;
        resyncMicros = faultPair.storeCount == 3 ? 4_000_000 : 6_000_000;
        cluster = new Cluster(
                TimingProfile.LOW_TRAFFIC, Quorum.toleratingLosses(faultPair.storeCount == 3 ? 1 : 2, REGION_BY_ZONE));
        cluster.founderCount = faultPair.storeCount;
        for (var i = 1; i <= faultPair.storeCount; i++)
            currentStores.add(cluster.addMember("s" + i, Node.STORE, "z" + i));
    }

    static Outcome play(FaultPair faultPair, String manifestText) {
        return new TwoFaultsRun(faultPair).play(manifestText);
    }

    private Outcome play(String manifestText) {
        cluster.runUntil(this::isSettled, 25);
        cluster.runFor(4);
        var operator = new ContinuousOperator(cluster, manifestText);
        cluster.runFor(2);
        var violations = operator.violations;
        if (operator.acknowledgedCount() == 0) violations.add("no command was acknowledged before the faults");
        operator.takeLongestGapSeconds();
        var target = firstTarget();
        var startedAt = cluster.sim.now();
        applyFault(faultPair.firstFault, target);
        var targetIndex = currentStores.indexOf(target);
        var availabilityRequired = faultPair.sameStore || faultPair.storeCount > 3;
        var delayMicros = faultPair.gapMicros;
        if (!availabilityRequired && faultPair.firstFault.losesData() && faultPair.secondFault.losesData())
            delayMicros = minDelayBetweenDiskLosses(startedAt) + faultPair.gapMicros;
        if (delayMicros >= lastRecoveryAt - startedAt + resyncMicros) availabilityRequired = true;
        cluster.runFor(delayMicros / 1e6);
        var nextIndex = faultPair.sameStore ? targetIndex : (targetIndex + 1) % currentStores.size();
        cluster.runUntil(() -> !removedStores.contains(currentStores.get(nextIndex)), 3);
        applyFault(faultPair.secondFault, currentStores.get(nextIndex));
        cluster.runFor(Math.max(0, lastRecoveryAt - cluster.sim.now()) / 1e6);
        var gapDuringFaults = operator.takeLongestGapSeconds();
        if (availabilityRequired && gapDuringFaults > MAX_UNAVAILABLE_SECONDS)
            violations.add("no command was acknowledged for " + gapDuringFaults + " s");
        cluster.runFor(8);
        var gapAfterRecovery = operator.takeLongestGapSeconds();
        if (gapAfterRecovery > MAX_UNAVAILABLE_SECONDS + 1)
            violations.add("no command was acknowledged for " + gapAfterRecovery + " s after the last recovery");
        operator.stop();
        cluster.runFor(2);
        checkFinalState(operator);
        return new Outcome(
                faultPair,
                violations,
                Math.max(availabilityRequired ? gapDuringFaults : 0, gapAfterRecovery),
                availabilityRequired,
                cluster.eventLog);
    }

    private void checkFinalState(ContinuousOperator operator) {
        for (var member : currentStores) {
            var readsBefore = operator.readCount();
            operator.readManifest(member);
            cluster.runFor(0.5);
            if (operator.readCount() == readsBefore)
                operator.violations.add(member.name + " did not answer a read at the end");
            if (member.store.membership().isSuperseded()) operator.violations.add(member.name + " was superseded");
        }
        var settleSeconds = cluster.runUntil(this::isSettled, MAX_SETTLE_SECONDS);
        if (settleSeconds >= MAX_SETTLE_SECONDS)
            operator.violations.add("the group does not have its " + cluster.quorum.voterCount() + " voters");
    }

    private boolean isSettled() {
        for (var part = 0; part < Parts.PART_COUNT; part++) {
            if (cluster.leaderOf(part) == null) return false;
            var voters = cluster.voterNames(part);
            if (voters.size() != cluster.quorum.voterCount() || voters.contains("?")) return false;
            for (var voter : voters) if (!currentStores.contains(cluster.member(voter))) return false;
        }
        return true;
    }

    private Cluster.Member firstTarget() {
        var leader = cluster.leaderOf(0);
        return faultPair.hitsLeader
                ? leader
                : currentStores.get((currentStores.indexOf(leader) + 1) % currentStores.size());
    }

    /** The time from the first fault until another store may lose its disk. */
    private long minDelayBetweenDiskLosses(long startedAt) {
        return lastRecoveryAt + resyncMicros - startedAt;
    }

    private void applyFault(StoreFault fault, Cluster.Member store) {
        switch (fault) {
            case KILL -> restartAfter(store, store::crash);
            case POWER -> restartAfter(store, store::losePower);
            case LOST_DISK -> restartAfter(store, store::loseDisk);
            case SEEDS -> restartWithOtherSeeds(store);
            case REPLACE -> {
                store.crash();
                removedStores.add(store);
                addReplacement(store, RESTART_DELAY_MICROS);
            }
            case PLANNED_REPLACE -> {
                addReplacement(store, 0);
                cluster.sim.scheduleAfter(1_000_000, () -> terminate(store, cluster.sim.now()));
                expectRecoveryIn(1_000_000 + LEADERSHIP_TRANSFER_MICROS + SHUTDOWN_DELAY_MICROS);
            }
            case CUT -> partition(store);
        }
    }

    private void expectRecoveryIn(long delayMicros) {
        lastRecoveryAt = Math.max(lastRecoveryAt, cluster.sim.now() + delayMicros);
    }

    private void restartAfter(Cluster.Member store, Runnable stop) {
        if (removedStores.contains(store)) return;
        if (!store.running) {
            cluster.sim.scheduleAfter(RESTART_DELAY_MICROS, () -> restartAfter(store, stop));
            expectRecoveryIn(2 * RESTART_DELAY_MICROS);
            return;
        }
        stop.run();
        cluster.sim.scheduleAfter(RESTART_DELAY_MICROS, () -> {
            if (!store.running && !removedStores.contains(store)) {
                store.start();
                updateSeedAddresses();
            }
        });
        expectRecoveryIn(RESTART_DELAY_MICROS);
    }

    private void restartWithOtherSeeds(Cluster.Member store) {
        var others = currentStores.stream().filter(other -> other != store).toList();
        restartAfter(store, store::crash);
        cluster.sim.scheduleAfter(
                RESTART_DELAY_MICROS - 1,
                () -> cluster.seedAddresses = List.of(others.get(addedStores % others.size()).address, "nowhere"));
    }

    private void addReplacement(Cluster.Member store, long delayMicros) {
        var index = currentStores.indexOf(store);
        cluster.sim.scheduleAfter(delayMicros, () -> {
            updateSeedAddresses();
            var replacement = cluster.addMember("n" + ++addedStores, Node.STORE, store.zone);
            currentStores.set(index, replacement);
        });
        expectRecoveryIn(delayMicros);
    }

    /** Sets the seed addresses of stores that start from now on to those of the running stores. */
    private void updateSeedAddresses() {
        cluster.seedAddresses = currentStores.stream()
                .filter(member -> member.running)
                .limit(3)
                .map(member -> member.address)
                .toList();
    }

    /** Does what the process does on SIGTERM: transfers the leadership, leaves and stops. */
    private void terminate(Cluster.Member member, long startedAt) {
        removedStores.add(member);
        if (!member.running) return;
        if (member.store.transferLeadership() && cluster.sim.now() < startedAt + LEADERSHIP_TRANSFER_MICROS) {
            cluster.sim.scheduleAfter(100_000, () -> terminate(member, startedAt));
            return;
        }
        member.store.membership().leave(cluster.sim.now());
        cluster.sim.scheduleAfter(SHUTDOWN_DELAY_MICROS, member::crash);
    }

    private void partition(Cluster.Member store) {
        for (var member : List.copyOf(cluster.members.values())) {
            cluster.blockedPaths.add(store.name + ">" + member.name);
            cluster.blockedPaths.add(member.name + ">" + store.name);
        }
        cluster.blockedPaths.remove(store.name + ">" + store.name);
        cluster.sim.scheduleAfter(
                PARTITION_MICROS,
                () -> cluster.blockedPaths.removeIf(
                        path -> path.startsWith(store.name + ">") || path.endsWith(">" + store.name)));
        expectRecoveryIn(PARTITION_MICROS);
    }
}
