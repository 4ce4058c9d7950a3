package craneway.sim;

import craneway.control.node.Membership.CoreView;
import craneway.control.store.Quorum;
import craneway.data.placement.ColdRunnerLimiter;
import craneway.data.placement.RunnerPlacer;
import craneway.data.placement.RunnerPool;
import craneway.data.placement.Prompt;
import craneway.model.manifest.ManifestReader;
import craneway.model.unit.Parts;
import craneway.model.unit.TimingProfile;
import craneway.state.message.Codec;
import craneway.state.message.Commands;
import craneway.state.message.Messages.PrefillNotice;
import craneway.state.message.Node;
import craneway.state.record.Rows;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntToDoubleFunction;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;

/** Prints what the control plane costs as nodes, runners, routes and tenants grow: hollow nodes on one simulated clock, lean pace. */
public final class CapacityCost {
    private static final int SECONDS = 20, ROUTERS = 9, CHANGES = 5, TURNS = 3;
    private static final String SERVICE = "model", CELL = "a";
    private static final int[] NODES = {10, 30, 100, 200, 390},
            RUNNERS = {100, 1_000, 12_000},
            ROUTES = {100, 1_000, 12_000},
            TENANTS = {100, 1_000, 12_000, 34_000};

    private CapacityCost() {}

    public static void main(String[] a) {
        var which = a.length == 0 ? List.of("nodes", "runners", "routes", "tenants", "memory", "placing") : List.of(a);
        if (which.contains("nodes")) nodes();
        if (which.contains("runners")) runners();
        if (which.contains("routes")) manifests("routes", ROUTES, n -> text(n, 0, 1));
        if (which.contains("tenants")) manifests("tenants", TENANTS, n -> text(6, n, 1));
        if (which.contains("memory")) memory();
        if (which.contains("placing")) placing();
    }

    private interface Texts {
        String of(int n);
    }

    private static void table(String... heads) {
        System.out.println("\n| " + String.join(" | ", heads) + " |");
        System.out.println("|" + "---|".repeat(heads.length));
    }

    private static void row(Object... cells) {
        var all = new ArrayList<String>();
        for (var c : cells) all.add(c instanceof Double d ? figure(d) : c.toString());
        System.out.println("| " + String.join(" | ", all) + " |");
    }

    private static String figure(double d) {
        return String.format(Locale.ROOT, Math.abs(d) < 10 ? "%.2f" : Math.abs(d) < 100 ? "%.1f" : "%.0f", d);
    }

    /** A line through the points by least squares, with the largest distance from it as a share of the value. */
    private static void fit(String what, int[] at, IntToDoubleFunction value) {
        double n = at.length, x = 0, y = 0, xx = 0, xy = 0;
        for (var i = 0; i < at.length; i++) {
            x += at[i];
            y += value.applyAsDouble(i);
            xx += (double) at[i] * at[i];
            xy += at[i] * value.applyAsDouble(i);
        }
        var slope = (n * xy - x * y) / (n * xx - x * x);
        var start = (y - slope * x) / n;
        var off = 0.0;
        for (var i = 0; i < at.length; i++)
            off = Math.max(
                    off,
                    Math.abs(start + slope * at[i] - value.applyAsDouble(i))
                            / Math.max(1e-9, Math.abs(value.applyAsDouble(i))));
        System.out.printf(
                Locale.ROOT, "fit %s: %.4g + %.4g a step; farthest point %.0f %% off%n", what, start, slope, 100 * off);
    }

    private static Cluster cluster(int routers, String text, long seed) {
        var c = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.THREE_VOTERS);
        c.sim.random.setSeed(seed);
        c.stores("z1", "z2", "z3").routers(routers);
        c.until(c::owned, 20);
        if (put(c, 0, text) == 0) throw new IllegalStateException("manifest refused");
        c.run(20);
        return c;
    }

    private static long put(Cluster c, long base, String text) {
        var v = new AtomicLong();
        c.get("s1")
                .operator
                .putManifest(base, text, r -> v.set(r.isRight() ? r.get().version() : -1));
        c.until(() -> v.get() != 0, 10);
        return v.get();
    }

    private static List<Cluster.Member> routersOf(Cluster c) {
        return c.members.values().stream().filter(m -> m.router != null).toList();
    }

    private static double mean(List<Cluster.Member> all, ToLongFunction<Cluster.Member> f) {
        return all.stream().mapToLong(f).average().orElse(0);
    }

    private static double middle(double[] all) {
        var s = all.clone();
        Arrays.sort(s);
        return s[s.length / 2];
    }

    private static String spread(double[] all) {
        return figure(middle(all)) + " (" + figure(Arrays.stream(all).min().orElse(0)) + "-"
                + figure(Arrays.stream(all).max().orElse(0)) + ")";
    }

    private static void nodes() {
        table(
                "nodes",
                "router: messages/s out",
                "bytes/s in and out",
                "core %",
                "owner: messages/s in",
                "bytes/s in and out",
                "core %",
                "bytes sent in all for one router that starts again");
        var cost = new double[NODES.length][5];
        for (var i = 0; i < NODES.length; i++) {
            var cpu = new double[TURNS];
            var own = new double[TURNS];
            var again = new double[TURNS];
            double out = 0, bytes = 0, in = 0, owned = 0;
            for (var t = 0; t < TURNS; t++) {
                var c = cluster(NODES[i] - 3, text(6, 0, 1), 17 + t);
                c.clear();
                c.run(SECONDS);
                var r = routersOf(c);
                var o = c.owner(0);
                out = mean(r, m -> m.sent) / SECONDS;
                bytes = mean(r, m -> m.sentBytes + m.gotBytes) / SECONDS;
                cpu[t] = mean(r, m -> m.cpu) / SECONDS / 1e7;
                in = (double) o.got / SECONDS;
                owned = (double) (o.sentBytes + o.gotBytes) / SECONDS;
                own[t] = o.cpu / 1e7 / SECONDS;
                var calm = (double) c.meter.bytes / SECONDS * 10;
                c.get("r1").crash();
                c.run(1);
                c.clear();
                c.get("r1").start();
                c.run(10);
                again[t] = c.meter.bytes - calm;
            }
            cost[i] = new double[] {bytes, middle(cpu), owned, middle(own), middle(again)};
            row(NODES[i], out, bytes, spread(cpu), in, owned, spread(own), spread(again));
        }
        fit("router bytes/s", NODES, i -> cost[i][0]);
        fit("router core %", NODES, i -> cost[i][1]);
        fit("owner bytes/s", NODES, i -> cost[i][2]);
        fit("owner core %", NODES, i -> cost[i][3]);
        fit("bytes for a start", NODES, i -> cost[i][4]);
    }

    private static Commands.RunnerPut runner(int i, int slots) {
        var c = new Commands.RunnerPut();
        c.service = SERVICE;
        c.runner = "runner-" + i;
        c.address = "10." + i / 60_000 + "." + i / 250 % 240 + "." + (i % 250 + 1) + ":8080";
        c.cell = CELL + i % 3;
        c.slots = slots;
        c.incarnation = 1;
        return c;
    }

    private static void announce(Cluster c, int i, int slots) {
        c.get("s" + (i % 3 + 1))
                .store
                .coreClient()
                .request(Parts.partOf(SERVICE), runner(i, slots), 3_000_000, v -> {});
    }

    /** All at one moment, taken by the owner as one batch. */
    private static void fill(Cluster c, int n) {
        var o = c.owner(Parts.partOf(SERVICE));
        for (var i = 0; i < n; i += 500) {
            o.hang(true);
            for (var k = i; k < Math.min(n, i + 500); k++) announce(c, k, 128);
            c.run(0.02);
            o.hang(false);
        }
    }

    private static void beat(Cluster c, int n, int seconds, Runnable each) {
        for (var s = 0; s < seconds; s++) {
            each.run();
            for (var t = 0; t < 50; t++) {
                for (var i = t; i < n; i += 50) {
                    var k = i;
                    c.get("s" + (i % 3 + 1)).timed(() -> announce(c, k, 128));
                }
                c.run(0.02);
            }
        }
    }

    private static void runners() {
        table(
                "runners",
                "row of the service, bytes",
                "owner core %, no beats",
                "owner core %, beats only",
                "other store core %",
                "bytes a beat",
                "router core %",
                "one change: bytes a router",
                "router ms",
                "owner ms",
                "routers that had it after 1 s");
        var cost = new double[RUNNERS.length][7];
        for (var x = -1; x < RUNNERS.length; x++) {
            var n = RUNNERS[Math.max(0, x)];
            var c = cluster(ROUTERS, text(6, 0, 1), 17);
            fill(c, n);
            beat(c, n, 3, () -> {});
            var o = c.owner(Parts.partOf(SERVICE));
            var others = c.members.values().stream()
                    .filter(m -> m.store != null && m != o)
                    .toList();
            var up = c.get("r1")
                    .router
                    .membership()
                    .view()
                    .services()
                    .get(SERVICE)
                    .runners
                    .size();
            if (up != n) throw new IllegalStateException(up + " of " + n + " known");
            c.clear();
            c.run(1);
            var idle = o.cpu / 1e7;
            beat(c, n, 2, () -> {});
            c.clear();
            beat(c, n, 5, () -> {});
            var owner = o.cpu / 5e7;
            var other = mean(others, m -> m.cpu) / 5e7;
            var bytes = (double) c.meter.bytes / 5 / n;
            var router = mean(routersOf(c), m -> m.cpu) / 5e7;
            var calm = mean(routersOf(c), m -> m.gotBytes);
            var no = new int[1];
            c.clear();
            beat(c, n, CHANGES, () -> {
                no[0]++;
                announce(c, n, 100 + no[0]);
            });
            var had = routersOf(c).stream()
                    .filter(m -> slots(m, "runner-" + n) == 100 + no[0])
                    .count();
            var row = Codec.encode(o.store
                            .replicas()[Parts.partOf(SERVICE)]
                            .records()
                            .rows()
                            .services
                            .get(SERVICE))
                    .length;
            var changed = (mean(routersOf(c), m -> m.gotBytes) - calm) / CHANGES;
            var took = (mean(routersOf(c), m -> m.cpu) / 1e6 - router * 50) / CHANGES;
            var gave = (o.cpu / 1e6 - owner * 50) / CHANGES;
            if (x < 0) continue;
            cost[x] = new double[] {row, idle, owner, other, changed, took, gave};
            row(n, row, idle, owner, other, bytes, router, changed, took, gave, had + " of " + ROUTERS);
        }
        var names = List.of(
                "row bytes",
                "owner core % without beats",
                "owner core % with beats",
                "other store core %",
                "bytes a router and change",
                "router ms a change",
                "owner ms a change");
        for (var k = 0; k < names.size(); k++) {
            var j = k;
            fit(names.get(k), RUNNERS, i -> cost[i][j]);
        }
    }

    private static int slots(Cluster.Member m, String runner) {
        var r = m.router.membership().view().services().get(SERVICE).runners.get(runner);
        return r == null ? 0 : r.slots;
    }

    private static void manifests(String what, int[] sizes, Texts texts) {
        table(
                what,
                "manifest bytes",
                "one change: bytes a router",
                "bytes in all, 12 nodes",
                "router ms",
                "owner ms",
                "s until all current");
        var cost = new double[sizes.length][4];
        for (var x = -1; x < sizes.length; x++) {
            var text = texts.of(sizes[Math.max(0, x)]);
            var c = cluster(ROUTERS, text, 17);
            c.clear();
            c.run(CHANGES * 2);
            var calm = mean(routersOf(c), m -> m.gotBytes);
            var calmAll = c.meter.bytes;
            var router = mean(routersOf(c), m -> m.cpu);
            var owner = c.owner(0).cpu;
            c.clear();
            var after = new double[CHANGES];
            var version = c.get("s1").store.replicas()[0].records().rows().manifest.version;
            for (var k = 0; k < CHANGES; k++) {
                var from = c.sim.now();
                var v = put(c, version, text.replace("\"claimRetentionMs\": 1", "\"claimRetentionMs\": 1" + (k + 1)));
                version = v;
                c.until(() -> c.allCurrent(v), 10);
                after[k] = (c.sim.now() - from) / 1e6;
                c.run(Math.max(0, 2 - after[k]));
            }
            if (x < 0) continue;
            cost[x] = new double[] {
                text.length(),
                (mean(routersOf(c), m -> m.gotBytes) - calm) / CHANGES,
                (mean(routersOf(c), m -> m.cpu) - router) / 1e6 / CHANGES,
                (c.owner(0).cpu - owner) / 1e6 / CHANGES
            };
            row(
                    sizes[x],
                    text.length(),
                    cost[x][1],
                    (double) (c.meter.bytes - calmAll) / CHANGES,
                    cost[x][2],
                    cost[x][3],
                    spread(after));
        }
        var names = List.of("manifest bytes", "bytes a router and change", "router ms a change", "owner ms a change");
        for (var k = 0; k < names.size(); k++) {
            var j = k;
            fit(names.get(k), sizes, i -> cost[i][j]);
        }
    }

    /** A manifest of six services, three regions, so many routes and tenants. */
    private static String text(int routes, int tenants, int retention) {
        var b = new StringBuilder(
                "{\"name\": \"large\", \"regions\": [\"r1\", \"r2\", \"r3\"], \"lapsedGraceMs\": 30000, \"claimRetentionMs\": "
                        + retention + "00000, \"zones\": [");
        for (var z = 1; z <= 3; z++)
            b.append(z > 1 ? ", " : "").append("{\"name\": \"z" + z + "\", \"region\": \"r" + z + "\"}");
        b.append("], \"services\": [");
        for (var s = 0; s < 6; s++) {
            b.append(s > 0 ? ", " : "")
                    .append("{\"name\": \"" + SERVICE + (s == 0 ? "" : s)
                            + "\", \"work\": [{\"name\": \"w\"}], \"weighed\": \"slots\", \"cells\": [");
            for (var z = 0; z < 3; z++)
                b.append(z > 0 ? ", " : "")
                        .append("{\"name\": \"" + CELL + z + "\", \"zone\": \"z" + (z + 1) + "\", \"weight\": 1}");
            b.append("]}");
        }
        b.append("], \"tenants\": [");
        for (var t = 0; t < tenants; t++)
            b.append(t > 0 ? ", " : "")
                    .append("{\"name\": \"tenant-" + t + "\", \"regions\": [\"r" + (t % 3 + 1) + "\"]}");
        b.append("], \"routes\": [");
        for (var r = 0; r < routes; r++)
            b.append(r > 0 ? ", " : "")
                    .append("{\"name\": \"route-" + r + "\", \"host\": \"api.example\", \"prefix\": \"/p" + r
                            + "/\", \"kind\": \"stream\", \"deadlineMs\": 15000, \"targetMs\": 600, \"pauseMs\": 400, \"resume\": true, \"tries\": 2, \"regions\": [\"r"
                            + (r % 3 + 1) + "\"], \"shares\": [{\"service\": \"" + SERVICE + "\", \"weight\": 1}]}");
        return b.append("]}").toString();
    }

    private static void memory() {
        table("held by each router", "size", "heap, kB");
        for (var n : RUNNERS) {
            var s = new Rows.Service();
            s.name = SERVICE;
            for (var i = 0; i < n; i++) s.runners.put("runner-" + i, of(runner(i, 128)));
            var b = Codec.encode(s);
            row("row of a service with runners", n, heap(() -> Codec.decode(Rows.Service.class, b)) / 1e3);
        }
        for (var n : TENANTS) {
            var text = text(6, n, 1);
            row(
                    "manifest with tenants",
                    n,
                    heap(() -> ManifestReader.readValidated(text).get()) / 1e3);
        }
        for (var n : ROUTES) {
            var text = text(n, 0, 1);
            row(
                    "manifest with routes",
                    n,
                    heap(() -> ManifestReader.readValidated(text).get()) / 1e3);
        }
        for (var n : NODES)
            row(
                    "list of nodes, one part",
                    n,
                    heap(() -> {
                                var all = new ArrayList<byte[]>();
                                for (var i = 0; i < n; i++)
                                    all.add(Codec.encode(new Node(
                                            "counter-" + i,
                                            Node.ROUTER,
                                            "zone-" + i % 96,
                                            "10.0.0." + i + ":7001",
                                            1)));
                                return all.stream()
                                        .map(b -> Codec.decode(Node.class, b))
                                        .toList();
                            })
                            / 1e3);
    }

    /** What one request costs a router that knows so many runners of one service in three zones, and what a new view costs it. */
    private static void placing() {
        table(
                "runners",
                "choice of a runner, us",
                "a new view, us",
                "a notice of reading with three shared parts, bytes");
        var cost = new double[RUNNERS.length][2];
        for (var x = -1; x < RUNNERS.length; x++) {
            var n = RUNNERS[Math.max(0, x)];
            var pool = new RunnerPool();
            var placer = new RunnerPlacer(pool, new ColdRunnerLimiter("r1"), "z1", "r1");
            var views = new ArrayList<CoreView>();
            for (var i = 0; i < 40; i++) views.add(view(n));
            var from = System.nanoTime();
            views.forEach(pool::applyView);
            var follow = (System.nanoTime() - from) / 1e3 / views.size();
            var route = pool.view().manifest().routes().match("api.example", "/p0/x");
            var p = Prompt.parse("aa:2500,bb:3700,c:2800", "9000,50");
            var all = new double[9];
            for (var t = 0; t < all.length; t++) {
                from = System.nanoTime();
                for (var i = 0; i < 200; i++) placer.selectRunner(route, SERVICE, p, Set.of(), 10_000_000);
                all[t] = (System.nanoTime() - from) / 2e5;
            }
            if (x < 0) continue;
            cost[x] = new double[] {middle(all), follow};
            row(n, spread(all), follow, Codec.encodeTagged(notice()).length);
        }
        fit("choice us", RUNNERS, i -> cost[i][0]);
        fit("view us", RUNNERS, i -> cost[i][1]);
    }

    private static PrefillNotice notice() {
        var m = new PrefillNotice();
        m.runner = "runner-4711";
        m.prefillTokens = 9_000;
        m.sharedPartIds = new long[] {1L << 60, 1L << 61, 1L << 62};
        m.sharedPartTokens = new int[] {2_500, 3_700, 2_800};
        return m;
    }

    private static CoreView view(int runners) {
        var s = new Rows.Service();
        s.name = SERVICE;
        for (var z = 0; z < 3; z++) {
            s.regions.add("r" + (z + 1));
            s.cellRegions.add("r" + (z + 1));
            s.cells.add(CELL + z);
            s.zones.add("z" + (z + 1));
            s.weights.add(1);
        }
        for (var i = 0; i < runners; i++) s.runners.put("runner-" + i, of(runner(i, 128)));
        var none = new ArrayList<List<Node>>();
        for (var i = 0; i < Parts.COUNT; i++) none.add(List.of());
        return new CoreView(
                new Rows.Manifest(),
                ManifestReader.readValidated(text(6, 0, 1)).get(),
                Map.of(SERVICE, s),
                new long[Parts.COUNT],
                none,
                0,
                new long[Parts.COUNT]);
    }

    private static Rows.Runner of(Commands.RunnerPut p) {
        var r = new Rows.Runner();
        r.name = p.runner;
        r.address = p.address;
        r.cell = p.cell;
        r.slots = p.slots;
        r.incarnation = p.incarnation;
        return r;
    }

    private static double heap(Supplier<Object> made) {
        var kept = new Object[12];
        for (var i = 0; i < kept.length; i++) kept[i] = made.get();
        Arrays.fill(kept, 1, kept.length, null);
        var from = used();
        for (var i = 1; i < kept.length; i++) kept[i] = made.get();
        var to = used();
        if (kept[0] == null) throw new IllegalStateException();
        return (double) (to - from) / (kept.length - 1);
    }

    private static long used() {
        for (var i = 0; i < 3; i++) System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
