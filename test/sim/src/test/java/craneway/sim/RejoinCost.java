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
 * Prints how long a store takes from its start until it votes on all parts or is level again, over paths of 64 KB windows at 35 ms
 * a way whose disks take a while to sync, and what the logs of both ends hold. Arguments: join, away, or both.
 */
public final class RejoinCost {
    private static final long WAY = 35_000;
    private static final long TICK = 20_000;
    private static final long SECOND = 1_000_000;
    private static final int DATAGRAM = 1_200;
    private static final double BYTES_PER_MICRO = (64 << 10) / (2.0 * WAY);
    private static final int SEEDS = 5;

    private final Simulation sim;
    private final long sync;
    private final Map<String, Member> members = new TreeMap<>();
    private final Map<String, Long> free = new HashMap<>();
    private long version;

    private RejoinCost(long seed, long sync) {
        sim = new Simulation(seed);
        this.sync = sync;
        for (var i = 1; i <= 3; i++) new Member("s" + i, "z" + i).start();
        until(() -> leader() != null, 20);
        run(5);
    }

    private final class Member implements Port {
        final String name;
        final String zone;
        SimulatedDisk disk = new SimulatedDisk();
        Store store;
        boolean up;
        int life;
        long largeBytes;

        Member(String name, String zone) {
            this.name = name;
            this.zone = zone;
            members.put(name, this);
        }

        void start() {
            up = true;
            life++;
            var self = new Node(name, Node.STORE, zone, name, 1_000_000_000L + sim.now());
            var rules = new StoreOptions(3, Quorum.THREE_VOTERS, TimingProfile.LOW_TRAFFIC, p -> this::afterSync);
            var random = new Random(sim.random.nextLong());
            store = new Store(this, disk, self, List.of("s1", "s2", "s3"), rules, random);
            tick(life);
        }

        /** What a part does counts once its disk has synced. */
        private void afterSync(Runnable work) {
            var mine = life;
            sim.scheduleAfter(sync, () -> {
                if (up && life == mine) work.run();
            });
        }

        private void tick(int mine) {
            if (!up || life != mine) return;
            store.tick();
            sim.scheduleAfter(TICK, () -> tick(mine));
        }

        @Override
        public long now() {
            return sim.now();
        }

        @Override
        public void send(String to, Object message) {
            var peer = members.get(to);
            if (!up || peer == null || !peer.up) return;
            var b = Codec.encodeTagged(message);
            var length = deflated(b);
            if (to.equals(name)) {
                sim.scheduleAfter(0, () -> peer.arrive(b));
            } else if (length < DATAGRAM) {
                sim.scheduleAfter(WAY, () -> peer.arrive(b));
            } else {
                largeBytes += length;
                var lane = name + ">" + to;
                var begins = Math.max(sim.now(), free.getOrDefault(lane, 0L));
                var ends = begins + 2 * WAY + (long) (length / BYTES_PER_MICRO);
                free.put(lane, ends);
                sim.scheduleAt(ends + WAY, () -> peer.arrive(b));
            }
        }

        private void arrive(byte[] b) {
            if (up) store.receive(Codec.decodeTagged(b));
        }

        @Override
        public void logEvent(Event e, String detail) {}

        boolean votes() {
            for (var p = 0; p < Parts.COUNT; p++) {
                var leader = leader(p);
                if (leader == null || store.replicas().length == 0) return false;
                var m = leader.store.replicas()[p].group().members();
                if (!m.isVoter(store.directory().self().storeId) || m.voters.length != 3) return false;
            }
            return true;
        }

        boolean level() {
            var leader = leader();
            if (leader == null || store.replicas().length == 0) return false;
            return manifestPart(this).appliedIndex() == manifestPart(leader).appliedIndex();
        }

        private craneway.state.part.Group manifestPart(Member m) {
            return m.store.replicas()[Parts.MANIFEST_PART].group();
        }

        long diskBytes() {
            return disk.fileNames().stream().mapToLong(n -> disk.read(n).length).sum();
        }
    }

    /** As frames on the wire are. */
    private static int deflated(byte[] b) {
        if (b.length < DATAGRAM) return b.length;
        var d = new Deflater(Deflater.BEST_SPEED, true);
        d.setInput(b);
        d.finish();
        var n = 0;
        var some = new byte[64 << 10];
        while (!d.finished()) n += d.deflate(some);
        d.end();
        return Math.min(n, b.length);
    }

    private Member leader() {
        return leader(Parts.MANIFEST_PART);
    }

    private Member leader(int part) {
        for (var m : members.values()) {
            if (!m.up || m.store.replicas().length == 0) continue;
            if (m.store.replicas()[part].group().hasLease(sim.now())) return m;
        }
        return null;
    }

    private Member follower() {
        return members.values().stream()
                .filter(m -> m.up && m != leader())
                .findFirst()
                .orElseThrow();
    }

    private void run(double seconds) {
        sim.runUntil(sim.now() + (long) (seconds * SECOND));
    }

    private double until(BooleanSupplier holds, double most) {
        var from = sim.now();
        while (!holds.getAsBoolean() && sim.now() - from < most * SECOND) sim.runUntil(sim.now() + TICK);
        return (sim.now() - from) / (double) SECOND;
    }

    private void change(int routes, int round) {
        var c = new Commands.ManifestPut();
        c.baseVersion = version;
        c.text = text(routes, round);
        var done = new boolean[1];
        until(() -> leader() != null, 20);
        leader().store.coreClient().request(Parts.MANIFEST_PART, c, 10 * SECOND, v -> {
            done[0] = true;
            if (v.kind != 0) throw new IllegalStateException(v.detail);
            version = Long.parseLong(v.detail);
        });
        until(() -> done[0], 20);
        if (!done[0]) throw new IllegalStateException("no answer");
    }

    private static String text(int routes, int round) {
        var b = new StringBuilder("{\"name\": \"large\", \"regions\": [\"r1\"], \"lapsedGraceMs\": 30000, "
                + "\"claimRetentionMs\": " + (3_600_000 + round) + ", \"zones\": [");
        for (var z = 1; z <= 3; z++)
            b.append(z > 1 ? ", " : "").append("{\"name\": \"z" + z + "\", \"region\": \"r1\"}");
        b.append("], \"services\": [{\"name\": \"svc\", \"work\": [{\"name\": \"w\"}], \"weighed\": \"slots\", ");
        b.append(
                "\"cells\": [{\"name\": \"cell-1\", \"zone\": \"z1\", \"weight\": 1}]}], \"tenants\": [], \"routes\": [");
        for (var r = 0; r < routes; r++)
            b.append(r > 0 ? ", " : "")
                    .append("{\"name\": \"r-" + word(round, r) + "\", \"host\": \"" + word(r, 1) + ".example\", ")
                    .append("\"prefix\": \"/" + word(r, 2)
                            + "/\", \"kind\": \"stream\", \"deadlineMs\": 15000, \"targetMs\": 600, \"pauseMs\": 400, ")
                    .append("\"resume\": true, \"tries\": 2, \"regions\": [\"r1\"], ")
                    .append("\"shares\": [{\"service\": \"svc\", \"weight\": 1}]}");
        return b.append("]}").toString();
    }

    /** Names that deflate as poorly as given ones. */
    private static String word(int a, int b) {
        return Long.toString(Hash.of(a, b) >>> 22, 36);
    }

    private static void join(int routes, long sync) {
        var times = new double[SEEDS];
        var bytes = 0L;
        for (var seed = 0; seed < SEEDS; seed++) {
            var c = new RejoinCost(seed, sync);
            for (var i = 0; i < 3; i++) c.change(routes, i);
            c.run(3 + seed * 0.037);
            var back = c.follower();
            back.up = false;
            back.disk = new SimulatedDisk();
            c.run(0.7);
            c.members.values().forEach(m -> m.largeBytes = 0);
            back.start();
            times[seed] = c.until(back::votes, 60);
            bytes = c.members.values().stream().mapToLong(m -> m.largeBytes).sum();
        }
        java.util.Arrays.sort(times);
        System.out.printf(
                "| %d | %d | %.1f | %.2f | %.2f | %d |%n",
                routes, text(routes, 0).length(), sync / 1e3, times[SEEDS / 2], times[SEEDS - 1], bytes / 1_000);
    }

    private static void away(long sync, boolean lost) {
        var c = new RejoinCost(7, sync);
        for (var i = 0; i < 400; i++) c.change(400, i);
        var back = c.follower();
        back.up = false;
        for (var i = 400; i < 1_000; i++) c.change(400, i);
        if (lost) back.disk = new SimulatedDisk();
        c.members.values().forEach(m -> m.largeBytes = 0);
        var heap = heap();
        back.start();
        var level = c.until(back::level, 120);
        var votes = level + c.until(back::votes, 60);
        var sent = c.members.values().stream().mapToLong(m -> m.largeBytes).sum();
        System.out.printf(
                "| %s | %.1f | %.2f | %.2f | %d | %d | %d | %d |%n",
                lost ? "lost disk" : "away",
                sync / 1e3,
                level,
                votes,
                sent / 1_000,
                c.leader().diskBytes() / 1_000,
                back.diskBytes() / 1_000,
                (heap() - heap) / 1_000);
    }

    private static long heap() {
        System.gc();
        var r = Runtime.getRuntime();
        return r.totalMemory() - r.freeMemory();
    }

    /** Prints the tables that the arguments name, or all. */
    public static void main(String[] a) {
        var which = a.length == 0 ? List.of("join", "away") : List.of(a);
        if (which.contains("join")) {
            System.out.println(
                    "| routes | text, bytes | sync, ms | s to a vote on all parts, median | most | large kB sent |");
            System.out.println("|---|---|---|---|---|---|");
            for (var routes : List.of(390, 4_000)) for (var sync : List.of(500L, 5_000L)) join(routes, sync);
        }
        if (which.contains("away")) {
            System.out.println(
                    "| member | sync, ms | s until level | s until it votes | large kB sent | leader's disk kB | its disk kB | heap kB more |");
            System.out.println("|---|---|---|---|---|---|---|---|");
            for (var sync : List.of(500L, 5_000L)) for (var lost : List.of(false, true)) away(sync, lost);
        }
    }
}
