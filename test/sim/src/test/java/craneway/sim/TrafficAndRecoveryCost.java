package craneway.sim;

import craneway.control.store.Quorum;
import craneway.model.unit.TimingProfile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Prints what hollow nodes say to one another while nothing happens, and how long losses of the core take to mend. */
public final class TrafficAndRecoveryCost {
    private static final int MEASURED_SECONDS = 30, SEED_COUNT = 40;

    private static String manifestText;

    private TrafficAndRecoveryCost() {}

    public static void main(String[] a) throws Exception {
        manifestText = Files.readString(Path.of(
                TrafficAndRecoveryCost.class.getResource("/craneway/sim/maticar.json").toURI()));
        System.out.println(
                "| pace | nodes | messages/s | message bytes/s | datagrams/s | datagram bytes/s | bytes/s by kind, most first |");
        System.out.println("|---|---|---|---|---|---|---|");
        for (var n : List.of(10, 30, 100))
            for (var p : List.of(TimingProfile.STANDARD, TimingProfile.LOW_TRAFFIC)) printTrafficRow(p, n, manifestText);
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

    private static void printTrafficRow(TimingProfile pace, int nodes, String text) {
        var c = new Cluster(pace, Quorum.THREE_VOTERS).addStores("z1", "z2", "z3").addRouters(nodes - 3);
        c.runUntil(c::allPartsHaveLeaders, 20);
        c.member("s1").operator.putManifest(0, text, r -> {});
        c.runFor(20);
        c.meter.reset();
        c.runFor(MEASURED_SECONDS);
        var m = c.meter;
        var kinds = m.bytesByType.entrySet().stream()
                .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
                .limit(4)
                .map(e -> e.getKey() + " " + e.getValue() / MEASURED_SECONDS / nodes)
                .collect(Collectors.joining(", "));
        System.out.printf(
                "| %s | %d | %.1f | %.0f | %.1f | %.0f | %s |%n",
                pace.lowTraffic() ? "lean" : "steady",
                nodes,
                perSecondAndNode(m.messages, nodes),
                perSecondAndNode(m.bytes, nodes),
                perSecondAndNode(m.frames, nodes),
                perSecondAndNode(m.frameBytes, nodes),
                kinds);
    }

    private static double perSecondAndNode(long count, int nodes) {
        return (double) count / MEASURED_SECONDS / nodes;
    }

    private static void printRecoveryRow(String what, int kind) {
        var all = IntStream.range(0, SEED_COUNT)
                .mapToDouble(i -> measureRecovery(kind, i))
                .sorted()
                .toArray();
        System.out.printf("| %s | %.2f | %.2f |%n", what, all[all.length / 2], all[all.length - 1]);
    }

    private static double measureRecovery(int kind, int seed) {
        var c = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.THREE_VOTERS);
        c.sim.random.setSeed(seed);
        c.addStores("z1", "z2", "z3");
        c.runUntil(c::allPartsHaveLeaders, 20);
        c.runFor(5 + seed * 0.037);
        var o = c.leaderOf(0);
        var m = kind == 3
                ? c.members.values().stream().filter(x -> x != o).findFirst().get()
                : o;
        if (kind == 5) return measurePowerLossRecovery(c);
        if (kind > 5) return measureRouterRecovery(c, kind == 6);
        if (kind == 0) o.crash();
        else if (kind == 1) o.setDiskHung(true);
        else if (kind == 2) fillDisk(c, o);
        else {
            m.loseDisk();
            c.runFor(0.7);
            m.start();
        }
        return c.runUntil(() -> kind < 3 ? c.allPartsLedByOtherThan(o) : c.isVoterOfAllParts(m, 3), 20);
    }

    private static double measureRouterRecovery(Cluster c, boolean all) {
        c.oneWayDelayMicros = 35_000;
        c.addRouters(9);
        c.runUntil(c::allPartsHaveLeaders, 5);
        var version = new long[1];
        c.member("s1").operator.putManifest(0, manifestText, r -> version[0] = r.get().version());
        c.runFor(4);
        if (!all) {
            c.member("r5").crash();
            c.runFor(1);
            c.member("r5").start();
            return c.runUntil(() -> c.isRouterCurrent(c.member("r5"), version[0]), 20);
        }
        restartAll(c);
        return c.runUntil(() -> c.allRoutersCurrent(version[0]), 20);
    }

    private static double measurePowerLossRecovery(Cluster c) {
        c.oneWayDelayMicros = 35_000;
        c.runFor(4);
        restartAll(c);
        return c.runUntil(() -> c.allPartsHaveLeaders() && c.allPartsLedBy(c.leaderOf(0)), 20);
    }

    private static void restartAll(Cluster c) {
        c.members.values().forEach(Cluster.Member::losePower);
        c.runFor(1.4);
        c.members.values().forEach(m -> c.sim.after((long) (c.sim.random.nextDouble() * 160_000), m::start));
        c.runFor(0.16);
    }

    private static void fillDisk(Cluster c, Cluster.Member o) {
        o.disk.full(true);
        c.addRouters(1);
    }
}
