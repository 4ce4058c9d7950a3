package craneway.sim;

import craneway.control.store.Quorum;
import craneway.model.unit.TimingProfile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Prints the traffic of an idle control plane per node, by timing profile and number of nodes, and how long the core
 * and the routers take to recover from faults.
 */
public final class TrafficAndRecoveryCost {
    private static final int MEASURED_SECONDS = 30;
    private static final int SEED_COUNT = 40;

    private static String manifestText;

    private TrafficAndRecoveryCost() {}

    /** Prints all tables. */
    public static void main(String[] arguments) throws Exception {
        manifestText = Files.readString(Path.of(TrafficAndRecoveryCost.class
                .getResource("/craneway/sim/maticar.json")
                .toURI()));
        System.out.println(
                "| pace | nodes | messages/s | message bytes/s | datagrams/s | datagram bytes/s | bytes/s by kind, most first |");
        System.out.println("|---|---|---|---|---|---|---|");
        for (var nodes : List.of(10, 30, 100))
            for (var timingProfile : List.of(TimingProfile.STANDARD, TimingProfile.LOW_TRAFFIC))
                printTrafficRow(timingProfile, nodes, manifestText);
        System.out.println();
        System.out.println("| lean pace, 3 stores | s, median | s, most |");
        System.out.println("|---|---|---|");
        printRecoveryRow("owner's process ended", 0);
        printRecoveryRow("owner's disk hangs", 1);
        printRecoveryRow("owner's disk is full", 2);
        printRecoveryRow("a store back without its disk votes on all parts", 3);
        printRecoveryRow("the owner back without its disk votes on all parts", 4);
        printRecoveryRow("all stores back after power loss, 35 ms apart: one owner of all parts", 5);
        printRecoveryRow("all routers current after power loss, 35 ms apart", 6);
        printRecoveryRow("a router started anew is current, 35 ms apart", 7);
    }

    private static void printTrafficRow(TimingProfile timingProfile, int nodes, String manifest) {
        var cluster = new Cluster(timingProfile, Quorum.THREE_VOTERS)
                .addStores("z1", "z2", "z3")
                .addRouters(nodes - 3);
        cluster.runUntil(cluster::allPartsHaveLeaders, 20);
        cluster.member("s1").operator.putManifest(0, manifest, r -> {});
        cluster.runFor(20);
        cluster.meter.reset();
        cluster.runFor(MEASURED_SECONDS);
        var meter = cluster.meter;
        var kinds = meter.bytesByType.entrySet().stream()
                .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
                .limit(4)
                .map(e -> e.getKey() + " " + e.getValue() / MEASURED_SECONDS / nodes)
                .collect(Collectors.joining(", "));
        System.out.printf(
                "| %s | %d | %.1f | %.0f | %.1f | %.0f | %s |%n",
                timingProfile.lowTraffic() ? "lean" : "steady",
                nodes,
                perSecondAndNode(meter.messages, nodes),
                perSecondAndNode(meter.bytes, nodes),
                perSecondAndNode(meter.frames, nodes),
                perSecondAndNode(meter.frameBytes, nodes),
                kinds);
    }

    private static double perSecondAndNode(long count, int nodes) {
        return (double) count / MEASURED_SECONDS / nodes;
    }

    private static void printRecoveryRow(String description, int scenario) {
        var seconds = IntStream.range(0, SEED_COUNT)
                .mapToDouble(seed -> measureRecovery(scenario, seed))
                .sorted()
                .toArray();
        System.out.printf(
                "| %s | %.2f | %.2f |%n", description, seconds[seconds.length / 2], seconds[seconds.length - 1]);
    }

    /** The seconds that the recovery in one of the scenarios 0 to 7 of {@link #main} takes. */
    private static double measureRecovery(int scenario, int seed) {
        var cluster = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.THREE_VOTERS);
        cluster.sim.random.setSeed(seed);
        cluster.addStores("z1", "z2", "z3");
        cluster.runUntil(cluster::allPartsHaveLeaders, 20);
        cluster.runFor(5 + seed * 0.037);
        var leader = cluster.leaderOf(0);
        var store = scenario == 3
                ? cluster.members.values().stream()
                        .filter(member -> member != leader)
                        .findFirst()
                        .get()
                : leader;
        if (scenario == 5) return measurePowerLossRecovery(cluster);
        if (scenario > 5) return measureRouterRecovery(cluster, scenario == 6);
        if (scenario == 0) leader.crash();
        else if (scenario == 1) leader.setDiskHung(true);
        else if (scenario == 2) fillDisk(cluster, leader);
        else {
            store.loseDisk();
            cluster.runFor(0.7);
            store.start();
        }
        return cluster.runUntil(
                () -> scenario < 3 ? cluster.allPartsLedByOtherThan(leader) : cluster.isVoterOfAllParts(store, 3), 20);
    }

    private static double measureRouterRecovery(Cluster cluster, boolean restartAllMembers) {
        cluster.oneWayDelayMicros = 35_000;
        cluster.addRouters(9);
        cluster.runUntil(cluster::allPartsHaveLeaders, 5);
        var version = new long[1];
        cluster.member("s1")
                .operator
                .putManifest(
                        0, manifestText, result -> version[0] = result.get().version());
        cluster.runFor(4);
        if (!restartAllMembers) {
            cluster.member("r5").crash();
            cluster.runFor(1);
            cluster.member("r5").start();
            return cluster.runUntil(() -> cluster.isRouterCurrent(cluster.member("r5"), version[0]), 20);
        }
        restartAll(cluster);
        return cluster.runUntil(() -> cluster.allRoutersCurrent(version[0]), 20);
    }

    private static double measurePowerLossRecovery(Cluster cluster) {
        cluster.oneWayDelayMicros = 35_000;
        cluster.runFor(4);
        restartAll(cluster);
        return cluster.runUntil(() -> cluster.allPartsHaveLeaders() && cluster.allPartsLedBy(cluster.leaderOf(0)), 20);
    }

    private static void restartAll(Cluster cluster) {
        cluster.members.values().forEach(Cluster.Member::losePower);
        cluster.runFor(1.4);
        cluster.members
                .values()
                .forEach(member ->
                        cluster.sim.scheduleAfter((long) (cluster.sim.random.nextDouble() * 160_000), member::start));
        cluster.runFor(0.16);
    }

    /** Fills the disk of a store and adds a router, whose membership has to be written. */
    private static void fillDisk(Cluster cluster, Cluster.Member store) {
        store.disk.setFull(true);
        cluster.addRouters(1);
    }
}
