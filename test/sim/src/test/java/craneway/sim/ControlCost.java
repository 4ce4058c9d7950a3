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
public final class ControlCost {
    private static final int SECONDS = 30, SEEDS = 40;

    private static String text;

    private ControlCost() {}

    public static void main(String[] a) throws Exception {
        text = Files.readString(Path.of(
                ControlCost.class.getResource("/craneway/sim/maticar.json").toURI()));
        System.out.println(
                "| pace | nodes | messages/s | message bytes/s | datagrams/s | datagram bytes/s | bytes/s by kind, most first |");
        System.out.println("|---|---|---|---|---|---|---|");
        for (var n : List.of(10, 30, 100))
            for (var p : List.of(TimingProfile.STANDARD, TimingProfile.LOW_TRAFFIC)) row(p, n, text);
        System.out.println();
        System.out.println("| lean pace, 3 stores | s, median | s, most |");
        System.out.println("|---|---|---|");
        mended("owner's process ended", 0);
        mended("owner's disk hangs", 1);
        mended("owner's disk is full", 2);
        mended("a store back without its disk votes on all parts", 3);
        mended("the owner back without its disk votes on all parts", 4);
        mended("all stores back after power loss, 35 ms apart: one owner of all parts", 5);
        mended("all routers current after power loss, 35 ms apart", 6);
        mended("a router started anew is current, 35 ms apart", 7);
    }

    private static void row(TimingProfile pace, int nodes, String text) {
        var c = new Cluster(pace, Quorum.THREE_VOTERS).stores("z1", "z2", "z3").routers(nodes - 3);
        c.until(c::owned, 20);
        c.get("s1").operator.putManifest(0, text, r -> {});
        c.run(20);
        c.meter.clear();
        c.run(SECONDS);
        var m = c.meter;
        var kinds = m.byKind.entrySet().stream()
                .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
                .limit(4)
                .map(e -> e.getKey() + " " + e.getValue() / SECONDS / nodes)
                .collect(Collectors.joining(", "));
        System.out.printf(
                "| %s | %d | %.1f | %.0f | %.1f | %.0f | %s |%n",
                pace.lowTraffic() ? "lean" : "steady",
                nodes,
                per(m.messages, nodes),
                per(m.bytes, nodes),
                per(m.frames, nodes),
                per(m.framed, nodes),
                kinds);
    }

    private static double per(long count, int nodes) {
        return (double) count / SECONDS / nodes;
    }

    private static void mended(String what, int kind) {
        var all = IntStream.range(0, SEEDS)
                .mapToDouble(i -> mend(kind, i))
                .sorted()
                .toArray();
        System.out.printf("| %s | %.2f | %.2f |%n", what, all[all.length / 2], all[all.length - 1]);
    }

    private static double mend(int kind, int seed) {
        var c = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.THREE_VOTERS);
        c.sim.random.setSeed(seed);
        c.stores("z1", "z2", "z3");
        c.until(c::owned, 20);
        c.run(5 + seed * 0.037);
        var o = c.owner(0);
        var m = kind == 3
                ? c.members.values().stream().filter(x -> x != o).findFirst().get()
                : o;
        if (kind == 5) return lights(c);
        if (kind > 5) return current(c, kind == 6);
        if (kind == 0) o.crash();
        else if (kind == 1) o.hang(true);
        else if (kind == 2) full(c, o);
        else {
            m.loseDisk();
            c.run(0.7);
            m.start();
        }
        return c.until(() -> kind < 3 ? c.ownedBut(o) : c.votesEverywhere(m, 3), 20);
    }

    private static double current(Cluster c, boolean all) {
        c.delay = 35_000;
        c.routers(9);
        c.until(c::owned, 5);
        var version = new long[1];
        c.get("s1").operator.putManifest(0, text, r -> version[0] = r.get().version());
        c.run(4);
        if (!all) {
            c.get("r5").crash();
            c.run(1);
            c.get("r5").start();
            return c.until(() -> c.current(c.get("r5"), version[0]), 20);
        }
        back(c);
        return c.until(() -> c.allCurrent(version[0]), 20);
    }

    private static double lights(Cluster c) {
        c.delay = 35_000;
        c.run(4);
        back(c);
        return c.until(() -> c.owned() && c.ownedBy(c.owner(0)), 20);
    }

    private static void back(Cluster c) {
        c.members.values().forEach(Cluster.Member::losePower);
        c.run(1.4);
        c.members.values().forEach(m -> c.sim.scheduleAfter((long) (c.sim.random.nextDouble() * 160_000), m::start));
        c.run(0.16);
    }

    private static void full(Cluster c, Cluster.Member o) {
        o.disk.setFull(true);
        c.routers(1);
    }
}
