package craneway.sim;

import craneway.control.node.Membership.CoreView;
import craneway.control.store.Quorum;
import craneway.data.placement.ColdRunnerLimiter;
import craneway.data.placement.Prompt;
import craneway.data.placement.RunnerPlacer;
import craneway.data.placement.RunnerPool;
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
public final class ScalingCost {
    private static final int MEASURED_SECONDS = 20, ROUTER_COUNT = 9, CHANGE_COUNT = 5, REPETITIONS = 3;
    private static final String SERVICE = "model", CELL_PREFIX = "a";
    private static final int[] NODE_COUNTS = {10, 30, 100, 200, 390},
            RUNNER_COUNTS = {100, 1_000, 12_000},
            ROUTE_COUNTS = {100, 1_000, 12_000},
            TENANT_COUNTS = {100, 1_000, 12_000, 34_000};

    private ScalingCost() {}

    public static void main(String[] a) {
        var which = a.length == 0 ? List.of("nodes", "runners", "routes", "tenants", "memory", "placing") : List.of(a);
        if (which.contains("nodes")) measureNodes();
        if (which.contains("runners")) measureRunners();
        if (which.contains("routes")) measureManifests("routes", ROUTE_COUNTS, n -> manifestText(n, 0, 1));
        if (which.contains("tenants")) measureManifests("tenants", TENANT_COUNTS, n -> manifestText(6, n, 1));
        if (which.contains("memory")) measureMemory();
        if (which.contains("placing")) measurePlacement();
    }

    private interface ManifestTexts {
        String ofSize(int n);
    }

    private static void printTableHead(String... heads) {
        System.out.println("\n| " + String.join(" | ", heads) + " |");
        System.out.println("|" + "---|".repeat(heads.length));
    }

    private static void printRow(Object... cells) {
        var all = new ArrayList<String>();
        for (var c : cells) all.add(c instanceof Double d ? formatFigure(d) : c.toString());
        System.out.println("| " + String.join(" | ", all) + " |");
    }

    private static String formatFigure(double d) {
        return String.format(Locale.ROOT, Math.abs(d) < 10 ? "%.2f" : Math.abs(d) < 100 ? "%.1f" : "%.0f", d);
    }

    /** A line through the points by least squares, with the largest distance from it as a share of the value. */
    private static void printLinearFit(String what, int[] at, IntToDoubleFunction value) {
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

    private static Cluster startCluster(int routers, String text, long seed) {
        var c = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.THREE_VOTERS);
        c.sim.random.setSeed(seed);
        c.addStores("z1", "z2", "z3").addRouters(routers);
        c.runUntil(c::allPartsHaveLeaders, 20);
        if (putManifest(c, 0, text) == 0) throw new IllegalStateException("manifest refused");
        c.runFor(20);
        return c;
    }

    private static long putManifest(Cluster c, long base, String text) {
        var v = new AtomicLong();
        c.member("s1")
                .operator
                .putManifest(base, text, r -> v.set(r.isRight() ? r.get().version() : -1));
        c.runUntil(() -> v.get() != 0, 10);
        return v.get();
    }

    private static List<Cluster.Member> routersOf(Cluster c) {
        return c.members.values().stream().filter(m -> m.router != null).toList();
    }

    private static double mean(List<Cluster.Member> all, ToLongFunction<Cluster.Member> f) {
        return all.stream().mapToLong(f).average().orElse(0);
    }

    private static double median(double[] all) {
        var s = all.clone();
        Arrays.sort(s);
        return s[s.length / 2];
    }

    private static String medianAndRange(double[] all) {
        return formatFigure(median(all)) + " (" + formatFigure(Arrays.stream(all).min().orElse(0)) + "-"
                + formatFigure(Arrays.stream(all).max().orElse(0)) + ")";
    }

    private static void measureNodes() {
        printTableHead(
                "nodes",
                "router: messages/s out",
                "bytes/s in and out",
                "core %",
                "owner: messages/s in",
                "bytes/s in and out",
                "core %",
                "bytes sent in all for one router that starts again");
        var cost = new double[NODE_COUNTS.length][5];
        for (var i = 0; i < NODE_COUNTS.length; i++) {
            var cpu = new double[REPETITIONS];
            var own = new double[REPETITIONS];
            var again = new double[REPETITIONS];
            double out = 0, bytes = 0, in = 0, owned = 0;
            for (var t = 0; t < REPETITIONS; t++) {
                var c = startCluster(NODE_COUNTS[i] - 3, manifestText(6, 0, 1), 17 + t);
                c.resetCounters();
                c.runFor(MEASURED_SECONDS);
                var r = routersOf(c);
                var o = c.leaderOf(0);
                out = mean(r, m -> m.sentMessages) / MEASURED_SECONDS;
                bytes = mean(r, m -> m.sentBytes + m.receivedBytes) / MEASURED_SECONDS;
                cpu[t] = mean(r, m -> m.cpuNanos) / MEASURED_SECONDS / 1e7;
                in = (double) o.receivedMessages / MEASURED_SECONDS;
                owned = (double) (o.sentBytes + o.receivedBytes) / MEASURED_SECONDS;
                own[t] = o.cpuNanos / 1e7 / MEASURED_SECONDS;
                var calm = (double) c.meter.bytes / MEASURED_SECONDS * 10;
                c.member("r1").crash();
                c.runFor(1);
                c.resetCounters();
                c.member("r1").start();
                c.runFor(10);
                again[t] = c.meter.bytes - calm;
            }
            cost[i] = new double[] {bytes, median(cpu), owned, median(own), median(again)};
            printRow(NODE_COUNTS[i], out, bytes, medianAndRange(cpu), in, owned, medianAndRange(own), medianAndRange(again));
        }
        printLinearFit("router bytes/s", NODE_COUNTS, i -> cost[i][0]);
        printLinearFit("router core %", NODE_COUNTS, i -> cost[i][1]);
        printLinearFit("owner bytes/s", NODE_COUNTS, i -> cost[i][2]);
        printLinearFit("owner core %", NODE_COUNTS, i -> cost[i][3]);
        printLinearFit("bytes for a start", NODE_COUNTS, i -> cost[i][4]);
    }

    private static Commands.RunnerPut runnerPut(int i, int slots) {
        var c = new Commands.RunnerPut();
        c.service = SERVICE;
        c.runner = "runner-" + i;
        c.address = "10." + i / 60_000 + "." + i / 250 % 240 + "." + (i % 250 + 1) + ":8080";
        c.cell = CELL_PREFIX + i % 3;
        c.slots = slots;
        c.incarnation = 1;
        return c;
    }

    private static void announceRunner(Cluster c, int i, int slots) {
        c.member("s" + (i % 3 + 1))
                .store
                .coreClient()
                .request(Parts.partOf(SERVICE), runnerPut(i, slots), 3_000_000, v -> {});
    }

    /** All at one moment, taken by the owner as one batch. */
    private static void announceAllAtOnce(Cluster c, int n) {
        var o = c.leaderOf(Parts.partOf(SERVICE));
        for (var i = 0; i < n; i += 500) {
            o.setDiskHung(true);
            for (var k = i; k < Math.min(n, i + 500); k++) announceRunner(c, k, 128);
            c.runFor(0.02);
            o.setDiskHung(false);
        }
    }

    private static void sendHeartbeats(Cluster c, int n, int seconds, Runnable each) {
        for (var s = 0; s < seconds; s++) {
            each.run();
            for (var t = 0; t < 50; t++) {
                for (var i = t; i < n; i += 50) {
                    var k = i;
                    c.member("s" + (i % 3 + 1)).runMeasured(() -> announceRunner(c, k, 128));
                }
                c.runFor(0.02);
            }
        }
    }

    private static void measureRunners() {
        printTableHead(
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
        var cost = new double[RUNNER_COUNTS.length][7];
        for (var x = -1; x < RUNNER_COUNTS.length; x++) {
            var n = RUNNER_COUNTS[Math.max(0, x)];
            var c = startCluster(ROUTER_COUNT, manifestText(6, 0, 1), 17);
            announceAllAtOnce(c, n);
            sendHeartbeats(c, n, 3, () -> {});
            var o = c.leaderOf(Parts.partOf(SERVICE));
            var others = c.members.values().stream()
                    .filter(m -> m.store != null && m != o)
                    .toList();
            var up = c.member("r1")
                    .router
                    .membership()
                    .view()
                    .services()
                    .get(SERVICE)
                    .runners
                    .size();
            if (up != n) throw new IllegalStateException(up + " of " + n + " known");
            c.resetCounters();
            c.runFor(1);
            var idle = o.cpuNanos / 1e7;
            sendHeartbeats(c, n, 2, () -> {});
            c.resetCounters();
            sendHeartbeats(c, n, 5, () -> {});
            var owner = o.cpuNanos / 5e7;
            var other = mean(others, m -> m.cpuNanos) / 5e7;
            var bytes = (double) c.meter.bytes / 5 / n;
            var router = mean(routersOf(c), m -> m.cpuNanos) / 5e7;
            var calm = mean(routersOf(c), m -> m.receivedBytes);
            var no = new int[1];
            c.resetCounters();
            sendHeartbeats(c, n, CHANGE_COUNT, () -> {
                no[0]++;
                announceRunner(c, n, 100 + no[0]);
            });
            var had = routersOf(c).stream()
                    .filter(m -> knownSlots(m, "runner-" + n) == 100 + no[0])
                    .count();
            var row = Codec.encode(o.store
                            .replicas()[Parts.partOf(SERVICE)]
                            .records()
                            .rows()
                            .services
                            .get(SERVICE))
                    .length;
            var changed = (mean(routersOf(c), m -> m.receivedBytes) - calm) / CHANGE_COUNT;
            var took = (mean(routersOf(c), m -> m.cpuNanos) / 1e6 - router * 50) / CHANGE_COUNT;
            var gave = (o.cpuNanos / 1e6 - owner * 50) / CHANGE_COUNT;
            if (x < 0) continue;
            cost[x] = new double[] {row, idle, owner, other, changed, took, gave};
            printRow(n, row, idle, owner, other, bytes, router, changed, took, gave, had + " of " + ROUTER_COUNT);
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
            printLinearFit(names.get(k), RUNNER_COUNTS, i -> cost[i][j]);
        }
    }

    private static int knownSlots(Cluster.Member m, String runner) {
        var r = m.router.membership().view().services().get(SERVICE).runners.get(runner);
        return r == null ? 0 : r.slots;
    }

    private static void measureManifests(String what, int[] sizes, ManifestTexts texts) {
        printTableHead(
                what,
                "manifest bytes",
                "one change: bytes a router",
                "bytes in all, 12 nodes",
                "router ms",
                "owner ms",
                "s until all current");
        var cost = new double[sizes.length][4];
        for (var x = -1; x < sizes.length; x++) {
            var text = texts.ofSize(sizes[Math.max(0, x)]);
            var c = startCluster(ROUTER_COUNT, text, 17);
            c.resetCounters();
            c.runFor(CHANGE_COUNT * 2);
            var calm = mean(routersOf(c), m -> m.receivedBytes);
            var calmAll = c.meter.bytes;
            var router = mean(routersOf(c), m -> m.cpuNanos);
            var owner = c.leaderOf(0).cpuNanos;
            c.resetCounters();
            var after = new double[CHANGE_COUNT];
            var version = c.member("s1").store.replicas()[0].records().rows().manifest.version;
            for (var k = 0; k < CHANGE_COUNT; k++) {
                var from = c.sim.now();
                var v = putManifest(c, version, text.replace("\"claimRetentionMs\": 1", "\"claimRetentionMs\": 1" + (k + 1)));
                version = v;
                c.runUntil(() -> c.allRoutersCurrent(v), 10);
                after[k] = (c.sim.now() - from) / 1e6;
                c.runFor(Math.max(0, 2 - after[k]));
            }
            if (x < 0) continue;
            cost[x] = new double[] {
                text.length(),
                (mean(routersOf(c), m -> m.receivedBytes) - calm) / CHANGE_COUNT,
                (mean(routersOf(c), m -> m.cpuNanos) - router) / 1e6 / CHANGE_COUNT,
                (c.leaderOf(0).cpuNanos - owner) / 1e6 / CHANGE_COUNT
            };
            printRow(
                    sizes[x],
                    text.length(),
                    cost[x][1],
                    (double) (c.meter.bytes - calmAll) / CHANGE_COUNT,
                    cost[x][2],
                    cost[x][3],
                    medianAndRange(after));
        }
        var names = List.of("manifest bytes", "bytes a router and change", "router ms a change", "owner ms a change");
        for (var k = 0; k < names.size(); k++) {
            var j = k;
            printLinearFit(names.get(k), sizes, i -> cost[i][j]);
        }
    }

    /** A manifest of six services, three regions, so many routes and tenants. */
    private static String manifestText(int routes, int tenants, int retention) {
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
                        .append("{\"name\": \"" + CELL_PREFIX + z + "\", \"zone\": \"z" + (z + 1) + "\", \"weight\": 1}");
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

    private static void measureMemory() {
        printTableHead("held by each router", "size", "heap, kB");
        for (var n : RUNNER_COUNTS) {
            var s = new Rows.Service();
            s.name = SERVICE;
            for (var i = 0; i < n; i++) s.runners.put("runner-" + i, runnerRow(runnerPut(i, 128)));
            var b = Codec.encode(s);
            printRow("row of a service with runners", n, heapBytesPerInstance(() -> Codec.decode(Rows.Service.class, b)) / 1e3);
        }
        for (var n : TENANT_COUNTS) {
            var text = manifestText(6, n, 1);
            printRow(
                    "manifest with tenants",
                    n,
                    heapBytesPerInstance(() -> ManifestReader.readValidated(text).get()) / 1e3);
        }
        for (var n : ROUTE_COUNTS) {
            var text = manifestText(n, 0, 1);
            printRow(
                    "manifest with routes",
                    n,
                    heapBytesPerInstance(() -> ManifestReader.readValidated(text).get()) / 1e3);
        }
        for (var n : NODE_COUNTS)
            printRow(
                    "list of nodes, one part",
                    n,
                    heapBytesPerInstance(() -> {
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
    private static void measurePlacement() {
        printTableHead(
                "runners",
                "choice of a runner, us",
                "a new view, us",
                "a notice of reading with three shared parts, bytes");
        var cost = new double[RUNNER_COUNTS.length][2];
        for (var x = -1; x < RUNNER_COUNTS.length; x++) {
            var n = RUNNER_COUNTS[Math.max(0, x)];
            var pool = new RunnerPool();
            var placer = new RunnerPlacer(pool, new ColdRunnerLimiter("r1"), "z1", "r1");
            var views = new ArrayList<CoreView>();
            for (var i = 0; i < 40; i++) views.add(coreView(n));
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
            cost[x] = new double[] {median(all), follow};
            printRow(n, medianAndRange(all), follow, Codec.encodeTagged(prefillNotice()).length);
        }
        printLinearFit("choice us", RUNNER_COUNTS, i -> cost[i][0]);
        printLinearFit("view us", RUNNER_COUNTS, i -> cost[i][1]);
    }

    private static PrefillNotice prefillNotice() {
        var m = new PrefillNotice();
        m.runner = "runner-4711";
        m.prefillTokens = 9_000;
        m.sharedPartIds = new long[] {1L << 60, 1L << 61, 1L << 62};
        m.sharedPartTokens = new int[] {2_500, 3_700, 2_800};
        return m;
    }

    private static CoreView coreView(int runners) {
        var s = new Rows.Service();
        s.name = SERVICE;
        for (var z = 0; z < 3; z++) {
            s.regions.add("r" + (z + 1));
            s.cellRegions.add("r" + (z + 1));
            s.cells.add(CELL_PREFIX + z);
            s.zones.add("z" + (z + 1));
            s.weights.add(1);
        }
        for (var i = 0; i < runners; i++) s.runners.put("runner-" + i, runnerRow(runnerPut(i, 128)));
        var none = new ArrayList<List<Node>>();
        for (var i = 0; i < Parts.COUNT; i++) none.add(List.of());
        return new CoreView(
                new Rows.Manifest(),
                ManifestReader.readValidated(manifestText(6, 0, 1)).get(),
                Map.of(SERVICE, s),
                new long[Parts.COUNT],
                none,
                0,
                new long[Parts.COUNT]);
    }

    private static Rows.Runner runnerRow(Commands.RunnerPut p) {
        var r = new Rows.Runner();
        r.name = p.runner;
        r.address = p.address;
        r.cell = p.cell;
        r.slots = p.slots;
        r.incarnation = p.incarnation;
        return r;
    }

    private static double heapBytesPerInstance(Supplier<Object> made) {
        var kept = new Object[12];
        for (var i = 0; i < kept.length; i++) kept[i] = made.get();
        Arrays.fill(kept, 1, kept.length, null);
        var from = usedHeapBytes();
        for (var i = 1; i < kept.length; i++) kept[i] = made.get();
        var to = usedHeapBytes();
        if (kept[0] == null) throw new IllegalStateException();
        return (double) (to - from) / (kept.length - 1);
    }

    private static long usedHeapBytes() {
        for (var i = 0; i < 3; i++) System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
