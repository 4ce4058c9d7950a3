package craneway.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

public final class RandomFaultRun {
    public record Fault(double second, String target, String action) {
        public String describe() {
            return String.format("%.2f %s %s", second, target, action);
        }
    }

    public record Result(
            long seed, List<Fault> faults, List<String> violations, PromiseChecker checks, String timeline, int submissions) {}

    private static final double END = 40, REPAIR = 18;

    private RandomFaultRun() {}

    public static List<Fault> drawFaults(FleetShape shape, long seed) {
        var r = new Random(seed * 7919 + shape.name().hashCode());
        var all = new ArrayList<Fault>();
        var n = 2 + r.nextInt(6);
        for (var i = 0; i < n; i++) add(shape, all, r, 1 + r.nextDouble() * (END - 6));
        all.sort((a, b) -> Double.compare(a.second, b.second));
        var kept = repaired(all);
        last(shape, kept, r);
        return kept;
    }

    private static List<Fault> repaired(List<Fault> all) {
        var since = Double.NEGATIVE_INFINITY;
        for (var i = 0; i < all.size(); i++) {
            var f = all.get(i);
            if (!f.action.equals("disk-loss")) continue;
            if (f.second < since + REPAIR) all.set(i, new Fault(f.second, f.target, "power-loss"));
            else since = f.second + 10;
        }
        return all;
    }

    private static void last(FleetShape shape, List<Fault> all, Random r) {
        var z = r.nextInt(3);
        switch (r.nextInt(4)) {
            case 0 -> {
                var whole = all.stream().noneMatch(f -> f.action.equals("disk-loss") && f.second > END + 4 - REPAIR - 10);
                if (whole) all.add(new Fault(END + 4, "store-" + (1 + z), "kill"));
            }
            case 1 -> all.add(new Fault(END + 4, "router-" + (1 + z) + "-1", "kill"));
            case 2 -> all.add(new Fault(END + 4, shape.runnerName(0, 1), "kill"));
            default -> {}
        }
    }

    private static void add(FleetShape shape, List<Fault> all, Random r, double at) {
        var until = Math.min(END - 1, at + 0.5 + r.nextDouble() * 10);
        var z = r.nextInt(3);
        var zone = shape.zoneNames().get(z);
        var other = shape.zoneNames().get((z + 1) % 3);
        var store = "store-" + (z + 1);
        var router = "router-" + (z + 1) + "-" + (1 + r.nextInt(shape.routersPerZone()[z]));
        var runner = shape.runnerName(z, r.nextInt(2));
        var node = List.of(store, router, runner).get(r.nextInt(3));
        switch (r.nextInt(22)) {
            case 0 -> pair(all, at, node, "kill", until, "start");
            case 1 -> pair(all, at, node, "freeze", until, "wake");
            case 2 -> pair(all, at, store, "power-loss", until, "start");
            case 3, 20 -> pair(all, at, store, "disk-loss", until, "start");
            case 4 -> pair(all, at, store, "disk-full", until, "disk-free");
            case 5 -> pair(all, at, zone, "cut", until, "heal");
            case 6 -> pair(all, at, zone, "kill", until, "start");
            case 7 -> pair(all, at, runner, "leave", until, "kill", until + 0.1, "start");
            case 8 -> pair(all, at, runner, "go-dark", until, "come-back");
            case 9 -> pair(all, at, router, "stop-gently", Math.max(until, at + 8), "start");
            case 10 -> pair(all, at, router, "cut-from-core", until, "heal-with-core");
            case 11 -> pair(all, at, "operator", "empty " + zone, until, "take-back " + zone);
            case 12 -> {
                all.add(new Fault(at, "operator", "send v" + r.nextInt(1000) + " store-1 1"));
                all.add(new Fault(at, "operator", "send w" + r.nextInt(1000) + " store-2 1"));
            }
            case 13 ->
                pair(
                        all,
                        at,
                        store,
                        "cut-from store-" + ((z + 1) % 3 + 1),
                        until,
                        "heal-with store-" + ((z + 1) % 3 + 1));
            case 14 -> pair(all, at, zone, "cut-out", until, "heal");
            case 15 -> pair(all, at, store, "disk-stall", until, "disk-go-on");
            case 16 -> pair(all, at, "net", "drop 0.05", until, "drop 0");
            case 17 -> pair(all, at, "net", "double 0.2", until, "double 0");
            case 18 -> pair(all, at, "net", "delay 0.1", until, "delay 0");
            case 19 -> {
                pair(all, at, "operator", "empty " + zone, until, "take-back " + zone);
                pair(
                        all,
                        at + 0.01,
                        "operator",
                        "empty " + other + " store-2",
                        until + 0.01,
                        "take-back " + other + " store-2");
            }
            default -> {
                all.add(new Fault(at, node, "clock-jump " + (r.nextInt(7200) - 3600)));
                pair(all, at, node, "kill", until, "start");
            }
        }
    }

    private static void pair(List<Fault> all, Object... x) {
        var node = (String) x[1];
        all.add(new Fault((Double) x[0], node, (String) x[2]));
        for (var i = 3; i < x.length; i += 2) all.add(new Fault((Double) x[i], node, (String) x[i + 1]));
    }

    public static Result run(FleetShape shape, long seed, List<Fault> faults) {
        var s = shape.createScenario(seed);
        s.world.runnersStartWarm = false;
        s.startTraffic(120_000);
        for (var f : faults) {
            if (f.second >= END) continue;
            s.runUntilSecond(f.second);
            s.perform(f.target, f.action);
        }
        s.runUntilSecond(END);
        heal(s);
        for (var f : faults) {
            if (f.second < END) continue;
            s.runUntilSecond(f.second);
            s.perform(f.target, f.action);
        }
        var from = END + 17;
        s.runUntilSecond(from + 10);
        s.stopTraffic();
        s.runUntilSecond(from + 50);
        var c = s.createChecker();
        var wrong = new ArrayList<>(c.checkAll());
        wrong.addAll(c.findUnserved(s.startTime + (long) (from * 1e6)));
        return new Result(seed, faults, wrong, c, s.world.timeline.render(), s.world.journal.submissionCount);
    }

    private static void heal(Scenario s) {
        s.world.net.heal();
        for (var m : s.world.machines.values()) {
            if (m instanceof StoreMachine d) {
                d.disk.setFull(false);
                d.setDiskStalled(false);
            }
            if (m instanceof RunnerMachine r) r.setSilent(false);
            m.resume();
            if (!m.isRunning()) m.start();
        }
        s.endAllOutages();
        s.world.timeline.add(s.world.sim.now(), "all", "* healed");
    }

    public static List<Fault> minimize(FleetShape shape, long seed, List<Fault> faults) {
        var best = faults;
        for (var smaller = true; smaller; ) {
            smaller = false;
            for (var i = 0; i < best.size() && !smaller; i++) {
                var tried = new ArrayList<>(best);
                tried.remove(i);
                if (run(shape, seed, tried).violations.isEmpty()) continue;
                best = tried;
                smaller = true;
            }
        }
        return best;
    }
}
