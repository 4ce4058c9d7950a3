package craneway.sim;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

public final class Chaos {
    public record Fault(double at, String node, String what) {
        public String text() { return String.format("%.2f %s %s", at, node, what); }
    }

    public record Result(long seed, List<Fault> faults, List<String> wrong, Checks checks, String timeline, int submissions) { }

    private static final double END = 40;

    private Chaos() { }

    public static List<Fault> faults(long seed) {
        var r = new Random(seed * 7919);
        var all = new ArrayList<Fault>();
        var n = 2 + r.nextInt(6);
        for (var i = 0; i < n; i++) add(all, r, 1 + r.nextDouble() * (END - 6));
        all.sort((a, b) -> Double.compare(a.at, b.at));
        return oneDiskAtMost(all);
    }

    private static List<Fault> oneDiskAtMost(List<Fault> all) {
        var lost = false;
        for (var i = 0; i < all.size(); i++) {
            var f = all.get(i);
            if (!f.what.equals("disk-loss")) continue;
            if (lost) all.set(i, new Fault(f.at, f.node, "power-loss"));
            lost = true;
        }
        return all;
    }

    private static void add(List<Fault> all, Random r, double at) {
        var until = Math.min(END - 1, at + 0.5 + r.nextDouble() * 10);
        var zones = List.of("zagreb-1", "split-1", "osijek-1");
        var z = 1 + r.nextInt(3);
        var store = "store-" + z;
        var router = "router-" + z + "-" + (1 + r.nextInt(2));
        var cell = List.of("zagreb-a", "split-a", "osijek-a").get(z - 1);
        var runner = "runner-" + cell + "-" + (1 + r.nextInt(2));
        var node = List.of(store, router, runner).get(r.nextInt(3));
        switch (r.nextInt(17)) {
            case 0 -> pair(all, at, node, "kill", until, "start");
            case 1 -> pair(all, at, node, "freeze", until, "wake");
            case 2 -> pair(all, at, store, "power-loss", until, "start");
            case 3 -> pair(all, at, store, "disk-loss", until, "start");
            case 4 -> pair(all, at, store, "disk-full", until, "disk-free");
            case 5 -> pair(all, at, zones.get(z - 1), "cut", until, "heal");
            case 6 -> pair(all, at, zones.get(z - 1), "kill", until, "start");
            case 7 -> pair(all, at, runner, "leave", until, "kill", until + 0.1, "start");
            case 8 -> pair(all, at, runner, "go-dark", until, "come-back");
            case 9 -> pair(all, at, router, "stop-gently", Math.max(until, at + 8), "start");
            case 10 -> pair(all, at, router, "cut-from-core", until, "heal-with-core");
            case 11 -> {
                all.add(new Fault(at, "operator", "empty " + zones.get(z - 1)));
                all.add(new Fault(until, "operator", "take-back " + zones.get(z - 1)));
            }
            case 12 -> {
                all.add(new Fault(at, "operator", "send v" + r.nextInt(1000) + " store-1 1"));
                all.add(new Fault(at, "operator", "send w" + r.nextInt(1000) + " store-2 1"));
            }
            case 13 -> pair(all, at, "store-" + z, "cut-from store-" + (z % 3 + 1), until, "heal-with store-" + (z % 3 + 1));
            case 15 -> pair(all, at, store, "disk-stall", until, "disk-go-on");
            case 14 -> pair(all, at, zones.get(z - 1), "cut-out", until, "heal");
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

    public static Result run(long seed, String manifest, List<Fault> faults) {
        var s = new Scenario(seed, manifest, 2, 6);
        s.traffic(120_000);
        for (var f : faults) {
            s.runTo(f.at);
            s.act(f.node, f.what);
        }
        s.runTo(END);
        heal(s);
        s.runTo(END + 12);
        var from = END + 12;
        s.runTo(END + 22);
        s.quiet();
        s.runTo(END + 60);
        var c = s.checks();
        var wrong = new ArrayList<>(c.all());
        liveness(s, from, wrong);
        return new Result(seed, faults, wrong, c, s.world.timeline.draw(), s.world.journal.submissions);
    }

    private static void heal(Scenario s) {
        s.world.net.heal();
        for (var m : s.world.machines.values()) {
            if (m instanceof StoreMachine d) {
                d.disk.full(false);
                d.stall(false);
            }
            if (m instanceof RunnerMachine r) r.dark(false);
            m.wake();
            if (!m.up()) m.start();
        }
        for (var t : s.world.journal.troubles) t.until()[0] = Math.min(t.until()[0], s.world.sim.now() + 6_000_000);
        s.world.timeline.note(s.world.sim.now(), "all", "* healed");
    }

    private static void liveness(Scenario s, double from, List<String> wrong) {
        var asked = s.world.journal.told.stream().filter(t -> t.askedAt >= s.start + (long) (from * 1e6)).toList();
        var whole = asked.stream().filter(t -> t.verdict.equals("whole")).count();
        if (asked.isEmpty() || whole < asked.size() * 0.95) wrong.add("promise 12: after healing " + whole + " of " + asked.size() + " submissions were served");
    }

    public static List<Fault> shortest(long seed, String manifest, List<Fault> faults) {
        var best = faults;
        for (var smaller = true; smaller; ) {
            smaller = false;
            for (var i = 0; i < best.size() && !smaller; i++) {
                var tried = new ArrayList<>(best);
                tried.remove(i);
                if (run(seed, manifest, tried).wrong.isEmpty()) continue;
                best = tried;
                smaller = true;
            }
        }
        return best;
    }

    public static String example() {
        try (var in = Chaos.class.getResourceAsStream("/craneway/sim/maticar.json")) {
            return new String(in.readAllBytes());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
