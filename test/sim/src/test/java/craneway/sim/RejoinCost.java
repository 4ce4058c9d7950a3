package craneway.sim;

import craneway.control.node.Port;
import craneway.control.store.Quorum;
import craneway.control.store.Store;
import craneway.control.store.StoreOptions;
import craneway.model.event.Event;
import craneway.model.unit.Hash;
import craneway.model.unit.Parts;
import craneway.model.unit.TimingProfile;
import craneway.state.message.Codec;
import craneway.state.message.Commands;
import craneway.state.message.Node;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.zip.Deflater;

/**
 * Prints how long a store takes from its start until it is a voter of all parts or has caught up, on network paths with
 * 64 KB windows and a one-way delay of 35 ms and with slow disk syncs, and how many bytes were sent and are on the
 * disks of both ends. Arguments: join, away, or both (the default).
 */
public final class RejoinCost {
    private static final long ONE_WAY_DELAY_MICROS = 35_000;
    private static final long TICK_MICROS = 20_000;
    private static final long MICROS_PER_SECOND = 1_000_000;
    /** Messages from this size on are compressed and sent over a connection, smaller ones as a datagram. */
    private static final int CONNECTION_MIN_BYTES = 1_200;
    /** A window of 64 KB per round trip. */
    private static final double BYTES_PER_MICRO = (64 << 10) / (2.0 * ONE_WAY_DELAY_MICROS);

    private static final int SEED_COUNT = 5;

    private final Simulation sim;
    private final long syncMicros;
    private final Map<String, Member> members = new TreeMap<>();
    private final Map<String, Long> pathBusyUntil = new HashMap<>();
    private long manifestVersion;

    private RejoinCost(long seed, long syncMicros) {
        sim = new Simulation(seed);
        this.syncMicros = syncMicros;
        for (var i = 1; i <= 3; i++) new Member("s" + i, "z" + i).start();
        runUntil(() -> leader() != null, 20);
        runFor(5);
    }

    /** A store with its disk and its network port. */
    private final class Member implements Port {
        final String name;
        final String zone;
        SimulatedDisk disk = new SimulatedDisk();
        Store store;
        boolean running;
        int startCount;
        long connectionBytes;

        Member(String name, String zone) {
            this.name = name;
            this.zone = zone;
            members.put(name, this);
        }

        void start() {
            running = true;
            startCount++;
            var self = new Node(name, Node.STORE, zone, name, 1_000_000_000L + sim.now());
            var options = new StoreOptions(3, Quorum.THREE_VOTERS, TimingProfile.LOW_TRAFFIC, part -> this::afterSync);
            var random = new Random(sim.random.nextLong());
            store = new Store(this, disk, self, List.of("s1", "s2", "s3"), options, random);
            tick(startCount);
        }

        /** Runs the work of a part once its disk sync has finished. */
        private void afterSync(Runnable work) {
            var currentStart = startCount;
            sim.scheduleAfter(syncMicros, () -> {
                if (running && startCount == currentStart) work.run();
            });
        }

        private void tick(int expectedStart) {
            if (!running || startCount != expectedStart) return;
            store.tick();
            sim.scheduleAfter(TICK_MICROS, () -> tick(expectedStart));
        }

        @Override
        public long now() {
            return sim.now();
        }

        @Override
        public void send(String to, Object message) {
            var receiver = members.get(to);
            if (!running || receiver == null || !receiver.running) return;
            var encoded = Codec.encodeTagged(message);
            var length = compressedLength(encoded);
            if (to.equals(name)) {
                sim.scheduleAfter(0, () -> receiver.deliver(encoded));
            } else if (length < CONNECTION_MIN_BYTES) {
                sim.scheduleAfter(ONE_WAY_DELAY_MICROS, () -> receiver.deliver(encoded));
            } else {
                connectionBytes += length;
                var path = name + ">" + to;
                var startsAt = Math.max(sim.now(), pathBusyUntil.getOrDefault(path, 0L));
                var endsAt = startsAt + 2 * ONE_WAY_DELAY_MICROS + (long) (length / BYTES_PER_MICRO);
                pathBusyUntil.put(path, endsAt);
                sim.scheduleAt(endsAt + ONE_WAY_DELAY_MICROS, () -> receiver.deliver(encoded));
            }
        }

        private void deliver(byte[] encoded) {
            if (running) store.receive(Codec.decodeTagged(encoded));
        }

        @Override
        public void logEvent(Event e, String detail) {}

        boolean isVoterOfAllParts() {
            for (var part = 0; part < Parts.PART_COUNT; part++) {
                var leader = leader(part);
                if (leader == null || store.replicas().length == 0) return false;
                var members = leader.store.replicas()[part].group().members();
                if (!members.isVoter(store.directory().self().storeId) || members.voters.length != 3) return false;
            }
            return true;
        }

        boolean isCaughtUp() {
            var leader = leader();
            if (leader == null || store.replicas().length == 0) return false;
            return manifestPart(this).appliedIndex() == manifestPart(leader).appliedIndex();
        }

        private craneway.state.part.Group manifestPart(Member member) {
            return member.store.replicas()[Parts.MANIFEST_PART].group();
        }

        long diskBytes() {
            return disk.fileNames().stream()
                    .mapToLong(name -> disk.read(name).length)
                    .sum();
        }
    }

    /** The length after the compression that frames on the wire get. */
    private static int compressedLength(byte[] bytes) {
        if (bytes.length < CONNECTION_MIN_BYTES) return bytes.length;
        var deflater = new Deflater(Deflater.BEST_SPEED, true);
        deflater.setInput(bytes);
        deflater.finish();
        var length = 0;
        var buffer = new byte[64 << 10];
        while (!deflater.finished()) length += deflater.deflate(buffer);
        deflater.end();
        return Math.min(length, bytes.length);
    }

    private Member leader() {
        return leader(Parts.MANIFEST_PART);
    }

    private Member leader(int part) {
        for (var member : members.values()) {
            if (!member.running || member.store.replicas().length == 0) continue;
            if (member.store.replicas()[part].group().hasLease(sim.now())) return member;
        }
        return null;
    }

    private Member follower() {
        return members.values().stream()
                .filter(member -> member.running && member != leader())
                .findFirst()
                .orElseThrow();
    }

    private void runFor(double seconds) {
        sim.runUntil(sim.now() + (long) (seconds * MICROS_PER_SECOND));
    }

    private double runUntil(BooleanSupplier condition, double maxSeconds) {
        var startedAt = sim.now();
        while (!condition.getAsBoolean() && sim.now() - startedAt < maxSeconds * MICROS_PER_SECOND)
            sim.runUntil(sim.now() + TICK_MICROS);
        return (sim.now() - startedAt) / (double) MICROS_PER_SECOND;
    }

    private void putManifest(int routes, int round) {
        var put = new Commands.ManifestPut();
        put.baseVersion = manifestVersion;
        put.text = manifestText(routes, round);
        var done = new boolean[1];
        runUntil(() -> leader() != null, 20);
        leader().store.coreClient().request(Parts.MANIFEST_PART, put, 10 * MICROS_PER_SECOND, result -> {
            done[0] = true;
            if (result.kind != 0) throw new IllegalStateException(result.detail);
            manifestVersion = Long.parseLong(result.detail);
        });
        runUntil(() -> done[0], 20);
        if (!done[0]) throw new IllegalStateException("the leader did not answer the manifest put");
    }

    private static String manifestText(int routes, int round) {
        var json = new StringBuilder("{\"name\": \"large\", \"regions\": [\"r1\"], \"lapsedGraceMs\": 30000, "
                + "\"claimRetentionMs\": " + (3_600_000 + round) + ", \"zones\": [");
        for (var zone = 1; zone <= 3; zone++)
            json.append(zone > 1 ? ", " : "").append("{\"name\": \"z" + zone + "\", \"region\": \"r1\"}");
        json.append("], \"services\": [{\"name\": \"svc\", \"work\": [{\"name\": \"w\"}], \"weighed\": \"slots\", ");
        json.append(
                "\"cells\": [{\"name\": \"cell-1\", \"zone\": \"z1\", \"weight\": 1}]}], \"tenants\": [], \"routes\": [");
        for (var route = 0; route < routes; route++)
            json.append(route > 0 ? ", " : "")
                    .append("{\"name\": \"r-" + randomName(round, route) + "\", \"host\": \"" + randomName(route, 1)
                            + ".example\", ")
                    .append("\"prefix\": \"/" + randomName(route, 2)
                            + "/\", \"kind\": \"stream\", \"deadlineMs\": 15000, \"targetMs\": 600, \"pauseMs\": 400, ")
                    .append("\"resume\": true, \"tries\": 2, \"regions\": [\"r1\"], ")
                    .append("\"shares\": [{\"service\": \"svc\", \"weight\": 1}]}");
        return json.append("]}").toString();
    }

    /** A pseudo-random name that compresses as badly as real names do. */
    private static String randomName(int first, int second) {
        return Long.toString(Hash.of(first, second) >>> 22, 36);
    }

    private static void measureJoin(int routes, long syncMicros) {
        var times = new double[SEED_COUNT];
        var connectionBytes = 0L;
        for (var seed = 0; seed < SEED_COUNT; seed++) {
            var run = new RejoinCost(seed, syncMicros);
            for (var i = 0; i < 3; i++) run.putManifest(routes, i);
            run.runFor(3 + seed * 0.037);
            var rejoining = run.follower();
            rejoining.running = false;
            rejoining.disk = new SimulatedDisk();
            run.runFor(0.7);
            run.members.values().forEach(member -> member.connectionBytes = 0);
            rejoining.start();
            times[seed] = run.runUntil(rejoining::isVoterOfAllParts, 60);
            connectionBytes = run.members.values().stream()
                    .mapToLong(member -> member.connectionBytes)
                    .sum();
        }
        java.util.Arrays.sort(times);
        System.out.printf(
                "| %d | %d | %.1f | %.2f | %.2f | %d |%n",
                routes,
                manifestText(routes, 0).length(),
                syncMicros / 1e3,
                times[SEED_COUNT / 2],
                times[SEED_COUNT - 1],
                connectionBytes / 1_000);
    }

    private static void measureReturn(long syncMicros, boolean diskLost) {
        var run = new RejoinCost(7, syncMicros);
        for (var i = 0; i < 400; i++) run.putManifest(400, i);
        var returning = run.follower();
        returning.running = false;
        for (var i = 400; i < 1_000; i++) run.putManifest(400, i);
        if (diskLost) returning.disk = new SimulatedDisk();
        run.members.values().forEach(member -> member.connectionBytes = 0);
        var heapBefore = usedHeapBytes();
        returning.start();
        var caughtUpSeconds = run.runUntil(returning::isCaughtUp, 120);
        var voterSeconds = caughtUpSeconds + run.runUntil(returning::isVoterOfAllParts, 60);
        var sent = run.members.values().stream()
                .mapToLong(member -> member.connectionBytes)
                .sum();
        System.out.printf(
                "| %s | %.1f | %.2f | %.2f | %d | %d | %d | %d |%n",
                diskLost ? "lost disk" : "away",
                syncMicros / 1e3,
                caughtUpSeconds,
                voterSeconds,
                sent / 1_000,
                run.leader().diskBytes() / 1_000,
                returning.diskBytes() / 1_000,
                (usedHeapBytes() - heapBefore) / 1_000);
    }

    private static long usedHeapBytes() {
        System.gc();
        var runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /** Prints the tables named by the arguments, or all of them. */
    public static void main(String[] arguments) {
        var tables = arguments.length == 0 ? List.of("join", "away") : List.of(arguments);
        if (tables.contains("join")) {
            System.out.println(
                    "| routes | text, bytes | sync, ms | s to a vote on all parts, median | most | large kB sent |");
            System.out.println("|---|---|---|---|---|---|");
            for (var routes : List.of(390, 4_000))
                for (var syncMicros : List.of(500L, 5_000L)) measureJoin(routes, syncMicros);
        }
        if (tables.contains("away")) {
            System.out.println(
                    "| member | sync, ms | s until level | s until it votes | large kB sent | leader's disk kB | its disk kB | heap kB more |");
            System.out.println("|---|---|---|---|---|---|---|---|");
            for (var syncMicros : List.of(500L, 5_000L))
                for (var diskLost : List.of(false, true)) measureReturn(syncMicros, diskLost);
        }
    }
}
