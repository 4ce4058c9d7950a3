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

/**
 * Prints the traffic, processor time and memory that the control plane needs as nodes, runners, routes and tenants
 * grow, measured on a simulated cluster with the low-traffic timing profile. The arguments name the tables to print; by
 * default all are printed.
 */
public final class ScalingCost {
    private static final int MEASURED_SECONDS = 20;
    private static final int ROUTER_COUNT = 9;
    private static final int CHANGE_COUNT = 5;
    private static final int REPETITION_COUNT = 3;
    private static final String SERVICE = "model";
    private static final String CELL_PREFIX = "a";
    private static final int[] NODE_COUNTS = {10, 30, 100, 200, 390};
    private static final int[] RUNNER_COUNTS = {100, 1_000, 12_000};
    private static final int[] ROUTE_COUNTS = {100, 1_000, 12_000};
    private static final int[] TENANT_COUNTS = {100, 1_000, 12_000, 34_000};

    private ScalingCost() {}

    /** Prints the tables named by the arguments, or all of them. */
    public static void main(String[] arguments) {
        var tables = arguments.length == 0
                ? List.of("nodes", "runners", "routes", "tenants", "memory", "placing")
                : List.of(arguments);
        if (tables.contains("nodes")) measureNodes();
        if (tables.contains("runners")) measureRunners();
        if (tables.contains("routes")) measureManifests("routes", ROUTE_COUNTS, size -> manifestText(size, 0, 1));
        if (tables.contains("tenants")) measureManifests("tenants", TENANT_COUNTS, size -> manifestText(6, size, 1));
        if (tables.contains("memory")) measureMemory();
        if (tables.contains("placing")) measurePlacement();
    }

    /** Makes a manifest with a number of routes or tenants. */
    private interface ManifestTexts {
        String ofSize(int size);
    }

    private static void printTableHead(String... columnHeads) {
        System.out.println("\n| " + String.join(" | ", columnHeads) + " |");
        System.out.println("|" + "---|".repeat(columnHeads.length));
    }

    private static void printRow(Object... cells) {
        var texts = new ArrayList<String>();
        for (var cell : cells) texts.add(cell instanceof Double d ? formatFigure(d) : cell.toString());
        System.out.println("| " + String.join(" | ", texts) + " |");
    }

    private static String formatFigure(double value) {
        return String.format(
                Locale.ROOT, Math.abs(value) < 10 ? "%.2f" : Math.abs(value) < 100 ? "%.1f" : "%.0f", value);
    }

    /** Prints a least-squares line through the points and the largest deviation from it as a share of the value. */
    private static void printLinearFit(String quantity, int[] sizes, IntToDoubleFunction value) {
        double count = sizes.length, sumX = 0, sumY = 0, sumXX = 0, sumXY = 0;
        for (var i = 0; i < sizes.length; i++) {
            sumX += sizes[i];
            sumY += value.applyAsDouble(i);
            sumXX += (double) sizes[i] * sizes[i];
            sumXY += sizes[i] * value.applyAsDouble(i);
        }
        var slope = (count * sumXY - sumX * sumY) / (count * sumXX - sumX * sumX);
        var intercept = (sumY - slope * sumX) / count;
        var maxDeviation = 0.0;
        for (var i = 0; i < sizes.length; i++)
            maxDeviation = Math.max(
                    maxDeviation,
                    Math.abs(intercept + slope * sizes[i] - value.applyAsDouble(i))
                            / Math.max(1e-9, Math.abs(value.applyAsDouble(i))));
        System.out.printf(
                Locale.ROOT,
                "fit %s: %.4g + %.4g a step; farthest point %.0f %% off%n",
                quantity,
                intercept,
                slope,
                100 * maxDeviation);
    }

    private static Cluster startCluster(int routers, String manifestText, long seed) {
        var cluster = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.THREE_VOTERS);
        cluster.sim.random.setSeed(seed);
        cluster.addStores("z1", "z2", "z3").addRouters(routers);
        cluster.runUntil(cluster::allPartsHaveLeaders, 20);
        if (putManifest(cluster, 0, manifestText) == 0) throw new IllegalStateException("manifest refused");
        cluster.runFor(20);
        return cluster;
    }

    /** Puts a manifest and returns its version; -1 if it was refused, 0 if no answer came. */
    private static long putManifest(Cluster cluster, long baseVersion, String manifestText) {
        var version = new AtomicLong();
        cluster.member("s1")
                .operator
                .putManifest(
                        baseVersion,
                        manifestText,
                        result -> version.set(result.isRight() ? result.get().version() : -1));
        cluster.runUntil(() -> version.get() != 0, 10);
        return version.get();
    }

    private static List<Cluster.Member> routersOf(Cluster cluster) {
        return cluster.members.values().stream()
                .filter(member -> member.router != null)
                .toList();
    }

    private static double mean(List<Cluster.Member> members, ToLongFunction<Cluster.Member> quantity) {
        return members.stream().mapToLong(quantity).average().orElse(0);
    }

    private static double median(double[] values) {
        var sorted = values.clone();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }

    private static String medianAndRange(double[] values) {
        return formatFigure(median(values)) + " ("
                + formatFigure(Arrays.stream(values).min().orElse(0)) + "-"
                + formatFigure(Arrays.stream(values).max().orElse(0)) + ")";
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
            var routerCpuPercent = new double[REPETITION_COUNT];
            var leaderCpuPercent = new double[REPETITION_COUNT];
            var restartBytes = new double[REPETITION_COUNT];
            double routerMessages = 0, routerBytes = 0, leaderMessages = 0, leaderBytes = 0;
            for (var repetition = 0; repetition < REPETITION_COUNT; repetition++) {
                var cluster = startCluster(NODE_COUNTS[i] - 3, manifestText(6, 0, 1), 17 + repetition);
                cluster.resetCounters();
                cluster.runFor(MEASURED_SECONDS);
                var routers = routersOf(cluster);
                var leader = cluster.leaderOf(0);
                routerMessages = mean(routers, member -> member.sentMessages) / MEASURED_SECONDS;
                routerBytes = mean(routers, member -> member.sentBytes + member.receivedBytes) / MEASURED_SECONDS;
                routerCpuPercent[repetition] = mean(routers, member -> member.cpuNanos) / MEASURED_SECONDS / 1e7;
                leaderMessages = (double) leader.receivedMessages / MEASURED_SECONDS;
                leaderBytes = (double) (leader.sentBytes + leader.receivedBytes) / MEASURED_SECONDS;
                leaderCpuPercent[repetition] = leader.cpuNanos / 1e7 / MEASURED_SECONDS;
                var idleBytes = (double) cluster.meter.bytes / MEASURED_SECONDS * 10;
                cluster.member("r1").crash();
                cluster.runFor(1);
                cluster.resetCounters();
                cluster.member("r1").start();
                cluster.runFor(10);
                restartBytes[repetition] = cluster.meter.bytes - idleBytes;
            }
            cost[i] = new double[] {
                routerBytes, median(routerCpuPercent), leaderBytes, median(leaderCpuPercent), median(restartBytes)
            };
            printRow(
                    NODE_COUNTS[i],
                    routerMessages,
                    routerBytes,
                    medianAndRange(routerCpuPercent),
                    leaderMessages,
                    leaderBytes,
                    medianAndRange(leaderCpuPercent),
                    medianAndRange(restartBytes));
        }
        printLinearFit("router bytes/s", NODE_COUNTS, i -> cost[i][0]);
        printLinearFit("router core %", NODE_COUNTS, i -> cost[i][1]);
        printLinearFit("owner bytes/s", NODE_COUNTS, i -> cost[i][2]);
        printLinearFit("owner core %", NODE_COUNTS, i -> cost[i][3]);
        printLinearFit("bytes for a start", NODE_COUNTS, i -> cost[i][4]);
    }

    private static Commands.RunnerPut runnerPut(int number, int slots) {
        var put = new Commands.RunnerPut();
        put.service = SERVICE;
        put.runner = "runner-" + number;
        put.address = "10." + number / 60_000 + "." + number / 250 % 240 + "." + (number % 250 + 1) + ":8080";
        put.cell = CELL_PREFIX + number % 3;
        put.slots = slots;
        put.incarnation = 1;
        return put;
    }

    private static void announceRunner(Cluster cluster, int number, int slots) {
        cluster.member("s" + (number % 3 + 1))
                .store
                .coreClient()
                .request(Parts.partOf(SERVICE), runnerPut(number, slots), 3_000_000, result -> {});
    }

    /** Announces runners in batches of 500, each of which the leader commits at once. */
    private static void announceAllAtOnce(Cluster cluster, int count) {
        var leader = cluster.leaderOf(Parts.partOf(SERVICE));
        for (var batchStart = 0; batchStart < count; batchStart += 500) {
            leader.setDiskHung(true);
            for (var number = batchStart; number < Math.min(count, batchStart + 500); number++)
                announceRunner(cluster, number, 128);
            cluster.runFor(0.02);
            leader.setDiskHung(false);
        }
    }

    /** Lets every runner announce itself once a second, spread over the second; runs an action at the start of each. */
    private static void sendHeartbeats(Cluster cluster, int count, int seconds, Runnable everySecond) {
        for (var second = 0; second < seconds; second++) {
            everySecond.run();
            for (var slot = 0; slot < 50; slot++) {
                for (var number = slot; number < count; number += 50) {
                    var runnerNumber = number;
                    cluster.member("s" + (number % 3 + 1))
                            .runMeasured(() -> announceRunner(cluster, runnerNumber, 128));
                }
                cluster.runFor(0.02);
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
        for (var sizeIndex = -1; sizeIndex < RUNNER_COUNTS.length; sizeIndex++) {
            var count = RUNNER_COUNTS[Math.max(0, sizeIndex)];
            var cluster = startCluster(ROUTER_COUNT, manifestText(6, 0, 1), 17);
            announceAllAtOnce(cluster, count);
            sendHeartbeats(cluster, count, 3, () -> {});
            var leader = cluster.leaderOf(Parts.partOf(SERVICE));
            var otherStores = cluster.members.values().stream()
                    .filter(member -> member.store != null && member != leader)
                    .toList();
            var knownRunners = cluster.member("r1")
                    .router
                    .membership()
                    .view()
                    .services()
                    .get(SERVICE)
                    .runners
                    .size();
            if (knownRunners != count) throw new IllegalStateException(knownRunners + " of " + count + " known");
            cluster.resetCounters();
            cluster.runFor(1);
            var leaderIdlePercent = leader.cpuNanos / 1e7;
            sendHeartbeats(cluster, count, 2, () -> {});
            cluster.resetCounters();
            sendHeartbeats(cluster, count, 5, () -> {});
            var leaderPercent = leader.cpuNanos / 5e7;
            var otherStorePercent = mean(otherStores, member -> member.cpuNanos) / 5e7;
            var bytesPerHeartbeat = (double) cluster.meter.bytes / 5 / count;
            var routerPercent = mean(routersOf(cluster), member -> member.cpuNanos) / 5e7;
            var idleBytes = mean(routersOf(cluster), member -> member.receivedBytes);
            var changes = new int[1];
            cluster.resetCounters();
            sendHeartbeats(cluster, count, CHANGE_COUNT, () -> {
                changes[0]++;
                announceRunner(cluster, count, 100 + changes[0]);
            });
            var updatedRouters = routersOf(cluster).stream()
                    .filter(member -> knownSlots(member, "runner-" + count) == 100 + changes[0])
                    .count();
            var rowBytes = Codec.encode(leader.store
                            .replicas()[Parts.partOf(SERVICE)]
                            .records()
                            .rows()
                            .services
                            .get(SERVICE))
                    .length;
            var bytesPerChange = (mean(routersOf(cluster), member -> member.receivedBytes) - idleBytes) / CHANGE_COUNT;
            var routerMillisPerChange =
                    (mean(routersOf(cluster), member -> member.cpuNanos) / 1e6 - routerPercent * 50) / CHANGE_COUNT;
            var leaderMillisPerChange = (leader.cpuNanos / 1e6 - leaderPercent * 50) / CHANGE_COUNT;
            if (sizeIndex < 0) continue;
            cost[sizeIndex] = new double[] {
                rowBytes,
                leaderIdlePercent,
                leaderPercent,
                otherStorePercent,
                bytesPerChange,
                routerMillisPerChange,
                leaderMillisPerChange
            };
            printRow(
                    count,
                    rowBytes,
                    leaderIdlePercent,
                    leaderPercent,
                    otherStorePercent,
                    bytesPerHeartbeat,
                    routerPercent,
                    bytesPerChange,
                    routerMillisPerChange,
                    leaderMillisPerChange,
                    updatedRouters + " of " + ROUTER_COUNT);
        }
        var quantities = List.of(
                "row bytes",
                "owner core % without beats",
                "owner core % with beats",
                "other store core %",
                "bytes a router and change",
                "router ms a change",
                "owner ms a change");
        for (var column = 0; column < quantities.size(); column++) {
            var currentColumn = column;
            printLinearFit(quantities.get(column), RUNNER_COUNTS, i -> cost[i][currentColumn]);
        }
    }

    private static int knownSlots(Cluster.Member member, String runner) {
        var runnerRow = member.router
                .membership()
                .view()
                .services()
                .get(SERVICE)
                .runners
                .get(runner);
        return runnerRow == null ? 0 : runnerRow.slots;
    }

    private static void measureManifests(String quantity, int[] sizes, ManifestTexts texts) {
        printTableHead(
                quantity,
                "manifest bytes",
                "one change: bytes a router",
                "bytes in all, 12 nodes",
                "router ms",
                "owner ms",
                "s until all current");
        var cost = new double[sizes.length][4];
        for (var sizeIndex = -1; sizeIndex < sizes.length; sizeIndex++) {
            var manifestText = texts.ofSize(sizes[Math.max(0, sizeIndex)]);
            var cluster = startCluster(ROUTER_COUNT, manifestText, 17);
            cluster.resetCounters();
            cluster.runFor(CHANGE_COUNT * 2);
            var idleBytes = mean(routersOf(cluster), member -> member.receivedBytes);
            var idleBytesOfAll = cluster.meter.bytes;
            var routerIdleNanos = mean(routersOf(cluster), member -> member.cpuNanos);
            var leaderIdleNanos = cluster.leaderOf(0).cpuNanos;
            cluster.resetCounters();
            var updateSeconds = new double[CHANGE_COUNT];
            var version = cluster.member("s1").store.replicas()[0].records().rows().manifest.version;
            for (var change = 0; change < CHANGE_COUNT; change++) {
                var startedAt = cluster.sim.now();
                var newVersion = putManifest(
                        cluster,
                        version,
                        manifestText.replace("\"claimRetentionMs\": 1", "\"claimRetentionMs\": 1" + (change + 1)));
                version = newVersion;
                cluster.runUntil(() -> cluster.allRoutersCurrent(newVersion), 10);
                updateSeconds[change] = (cluster.sim.now() - startedAt) / 1e6;
                cluster.runFor(Math.max(0, 2 - updateSeconds[change]));
            }
            if (sizeIndex < 0) continue;
            cost[sizeIndex] = new double[] {
                manifestText.length(),
                (mean(routersOf(cluster), member -> member.receivedBytes) - idleBytes) / CHANGE_COUNT,
                (mean(routersOf(cluster), member -> member.cpuNanos) - routerIdleNanos) / 1e6 / CHANGE_COUNT,
                (cluster.leaderOf(0).cpuNanos - leaderIdleNanos) / 1e6 / CHANGE_COUNT
            };
            printRow(
                    sizes[sizeIndex],
                    manifestText.length(),
                    cost[sizeIndex][1],
                    (double) (cluster.meter.bytes - idleBytesOfAll) / CHANGE_COUNT,
                    cost[sizeIndex][2],
                    cost[sizeIndex][3],
                    medianAndRange(updateSeconds));
        }
        var quantities =
                List.of("manifest bytes", "bytes a router and change", "router ms a change", "owner ms a change");
        for (var column = 0; column < quantities.size(); column++) {
            var currentColumn = column;
            printLinearFit(quantities.get(column), sizes, i -> cost[i][currentColumn]);
        }
    }

    /** A manifest with six services, three regions and the given numbers of routes and tenants. */
    private static String manifestText(int routes, int tenants, int retention) {
        var json = new StringBuilder(
                "{\"name\": \"large\", \"regions\": [\"r1\", \"r2\", \"r3\"], \"lapsedGraceMs\": 30000, \"claimRetentionMs\": "
                        + retention + "00000, \"zones\": [");
        for (var zone = 1; zone <= 3; zone++)
            json.append(zone > 1 ? ", " : "").append("{\"name\": \"z" + zone + "\", \"region\": \"r" + zone + "\"}");
        json.append("], \"services\": [");
        for (var service = 0; service < 6; service++) {
            json.append(service > 0 ? ", " : "")
                    .append("{\"name\": \"" + SERVICE + (service == 0 ? "" : service)
                            + "\", \"work\": [{\"name\": \"w\"}], \"weighed\": \"slots\", \"cells\": [");
            for (var zone = 0; zone < 3; zone++)
                json.append(zone > 0 ? ", " : "")
                        .append("{\"name\": \"" + CELL_PREFIX + zone + "\", \"zone\": \"z" + (zone + 1)
                                + "\", \"weight\": 1}");
            json.append("]}");
        }
        json.append("], \"tenants\": [");
        for (var tenant = 0; tenant < tenants; tenant++)
            json.append(tenant > 0 ? ", " : "")
                    .append("{\"name\": \"tenant-" + tenant + "\", \"regions\": [\"r" + (tenant % 3 + 1) + "\"]}");
        json.append("], \"routes\": [");
        for (var route = 0; route < routes; route++)
            json.append(route > 0 ? ", " : "")
                    .append("{\"name\": \"route-" + route + "\", \"host\": \"api.example\", \"prefix\": \"/p" + route
                            + "/\", \"kind\": \"stream\", \"deadlineMs\": 15000, \"targetMs\": 600, \"pauseMs\": 400, \"resume\": true, \"tries\": 2, \"regions\": [\"r"
                            + (route % 3 + 1) + "\"], \"shares\": [{\"service\": \"" + SERVICE
                            + "\", \"weight\": 1}]}");
        return json.append("]}").toString();
    }

    private static void measureMemory() {
        printTableHead("held by each router", "size", "heap, kB");
        for (var count : RUNNER_COUNTS) {
            var service = new Rows.Service();
            service.name = SERVICE;
            for (var number = 0; number < count; number++)
                service.runners.put("runner-" + number, runnerRow(runnerPut(number, 128)));
            var encoded = Codec.encode(service);
            printRow(
                    "row of a service with runners",
                    count,
                    heapBytesPerInstance(() -> Codec.decode(Rows.Service.class, encoded)) / 1e3);
        }
        for (var count : TENANT_COUNTS) {
            var manifestText = manifestText(6, count, 1);
            printRow(
                    "manifest with tenants",
                    count,
                    heapBytesPerInstance(() ->
                                    ManifestReader.readValidated(manifestText).get())
                            / 1e3);
        }
        for (var count : ROUTE_COUNTS) {
            var manifestText = manifestText(count, 0, 1);
            printRow(
                    "manifest with routes",
                    count,
                    heapBytesPerInstance(() ->
                                    ManifestReader.readValidated(manifestText).get())
                            / 1e3);
        }
        for (var count : NODE_COUNTS)
            printRow(
                    "list of nodes, one part",
                    count,
                    heapBytesPerInstance(() -> {
                                var nodes = new ArrayList<byte[]>();
                                for (var number = 0; number < count; number++)
                                    nodes.add(Codec.encode(new Node(
                                            "counter-" + number,
                                            Node.ROUTER,
                                            "zone-" + number % 96,
                                            "10.0.0." + number + ":7001",
                                            1)));
                                return nodes.stream()
                                        .map(encoded -> Codec.decode(Node.class, encoded))
                                        .toList();
                            })
                            / 1e3);
    }

    /**
     * Measures the choice of a runner for one request and the application of a new view, by the number of runners in
     * three zones.
     */
    private static void measurePlacement() {
        printTableHead(
                "runners",
                "choice of a runner, us",
                "a new view, us",
                "a notice of reading with three shared parts, bytes");
        var cost = new double[RUNNER_COUNTS.length][2];
        for (var sizeIndex = -1; sizeIndex < RUNNER_COUNTS.length; sizeIndex++) {
            var count = RUNNER_COUNTS[Math.max(0, sizeIndex)];
            var pool = new RunnerPool();
            var placer = new RunnerPlacer(pool, new ColdRunnerLimiter("r1"), "z1", "r1");
            var views = new ArrayList<CoreView>();
            for (var i = 0; i < 40; i++) views.add(coreView(count));
            var startNanos = System.nanoTime();
            views.forEach(pool::applyView);
            var viewMicros = (System.nanoTime() - startNanos) / 1e3 / views.size();
            var route = pool.view().manifest().routes().match("api.example", "/p0/x");
            var prompt = Prompt.parse("aa:2500,bb:3700,c:2800", "9000,50");
            var choiceMicros = new double[9];
            for (var repetition = 0; repetition < choiceMicros.length; repetition++) {
                startNanos = System.nanoTime();
                for (var i = 0; i < 200; i++) placer.selectRunner(route, SERVICE, prompt, Set.of(), 10_000_000);
                choiceMicros[repetition] = (System.nanoTime() - startNanos) / 2e5;
            }
            if (sizeIndex < 0) continue;
            cost[sizeIndex] = new double[] {median(choiceMicros), viewMicros};
            printRow(count, medianAndRange(choiceMicros), viewMicros, Codec.encodeTagged(prefillNotice()).length);
        }
        printLinearFit("choice us", RUNNER_COUNTS, i -> cost[i][0]);
        printLinearFit("view us", RUNNER_COUNTS, i -> cost[i][1]);
    }

    private static PrefillNotice prefillNotice() {
        var notice = new PrefillNotice();
        notice.runner = "runner-4711";
        notice.prefillTokens = 9_000;
        notice.sharedPartIds = new long[] {1L << 60, 1L << 61, 1L << 62};
        notice.sharedPartTokens = new int[] {2_500, 3_700, 2_800};
        return notice;
    }

    private static CoreView coreView(int runners) {
        var service = new Rows.Service();
        service.name = SERVICE;
        for (var zone = 0; zone < 3; zone++) {
            service.regions.add("r" + (zone + 1));
            service.cellRegions.add("r" + (zone + 1));
            service.cells.add(CELL_PREFIX + zone);
            service.zones.add("z" + (zone + 1));
            service.weights.add(1);
        }
        for (var number = 0; number < runners; number++)
            service.runners.put("runner-" + number, runnerRow(runnerPut(number, 128)));
        var emptyNodeLists = new ArrayList<List<Node>>();
        for (var number = 0; number < Parts.PART_COUNT; number++) emptyNodeLists.add(List.of());
        return new CoreView(
                new Rows.Manifest(),
                ManifestReader.readValidated(manifestText(6, 0, 1)).get(),
                Map.of(SERVICE, service),
                new long[Parts.PART_COUNT],
                emptyNodeLists,
                0,
                new long[Parts.PART_COUNT]);
    }

    private static Rows.Runner runnerRow(Commands.RunnerPut put) {
        var row = new Rows.Runner();
        row.name = put.runner;
        row.address = put.address;
        row.cell = put.cell;
        row.slots = put.slots;
        row.incarnation = put.incarnation;
        return row;
    }

    /** The mean heap use of an instance over eleven instances, after a first round of twelve as a warm-up. */
    private static double heapBytesPerInstance(Supplier<Object> factory) {
        var instances = new Object[12];
        for (var i = 0; i < instances.length; i++) instances[i] = factory.get();
        Arrays.fill(instances, 1, instances.length, null);
        var usedBefore = usedHeapBytes();
        for (var i = 1; i < instances.length; i++) instances[i] = factory.get();
        var usedAfter = usedHeapBytes();
        if (instances[0] == null) throw new IllegalStateException();
        return (double) (usedAfter - usedBefore) / (instances.length - 1);
    }

    private static long usedHeapBytes() {
        for (var i = 0; i < 3; i++) System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
