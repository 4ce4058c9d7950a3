package craneway.sim;

import craneway.model.event.Event;
import craneway.model.unit.TimingProfile;
import craneway.state.message.Codec;
import craneway.state.part.Group;
import craneway.state.part.GroupListener;
import craneway.state.part.Members;
import craneway.state.part.PartMessage;
import craneway.state.part.Role;
import craneway.state.part.StateMachine;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/**
 * Groups of one part on simulated long paths. As on the wire, a small message is a datagram, and large ones go one after the other
 * over a connection each, whose window of 64 KB bounds its bytes a second. An outage ends the connections that are open then.
 */
final class SlowPaths {
    static final long WAY = 35_000;
    static final long SECOND = 1_000_000;
    private static final long TICK = 10_000;
    private static final long CONNECT = 2 * WAY;
    private static final int DATAGRAM = 1_200;
    private static final int WINDOW = 64 << 10;
    static final double BYTES_PER_MICRO = WINDOW / (2.0 * WAY);

    /** Keeps every command, so that its snapshot is as large as all of them. */
    static final class Heap implements StateMachine {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int applied;

        @Override
        public Object apply(long index, byte[] command) {
            bytes.writeBytes(command);
            return ++applied;
        }

        @Override
        public byte[] encodeSnapshot() {
            return bytes.toByteArray();
        }

        @Override
        public void restoreSnapshot(byte[] image) {
            bytes.reset();
            if (image != null) bytes.writeBytes(image);
        }
    }

    final class Peer implements GroupListener {
        final long id;
        final SimulatedDisk disk;
        Heap heap = new Heap();
        Group group;
        boolean up;
        /** Whether it neither knows nor tells what came with snapshot pieces. */
        boolean earlierVersion;

        final List<String> notes = new ArrayList<>();

        Peer(long id, SimulatedDisk disk) {
            this.id = id;
            this.disk = disk;
        }

        void start() {
            up = true;
            heap = new Heap();
            group = new Group(
                    0, id, 9, disk, members, heap, new Random(id), this, TimingProfile.LOW_TRAFFIC, sim.now());
        }

        void stop() {
            up = false;
        }

        @Override
        public void send(PartMessage m) {
            if (up) path(m);
        }

        @Override
        public void onApplied(long index, long term, Object result) {}

        @Override
        public void onLeadershipChanged(boolean owns, long term) {}

        @Override
        public void logEvent(Event e, String detail) {
            notes.add(e + " " + detail);
        }

        long count(Event e) {
            return notes.stream().filter(n -> n.startsWith(e + " ")).count();
        }
    }

    final Simulation sim;
    final Random random;
    final Members members;
    final Map<Long, Peer> peers = new TreeMap<>();
    private final Map<String, Long> free = new HashMap<>();
    /** Every so many microseconds all open connections end; 0: never. */
    long outageEvery;

    double lost;
    double doubled;
    long late;
    Predicate<PartMessage> drop = m -> false;
    long largeBytes;

    SlowPaths(long seed, int voters) {
        sim = new Simulation(seed);
        random = new Random(seed);
        var ids = new long[voters];
        var zones = new String[voters];
        for (var i = 0; i < voters; i++) {
            ids[i] = i + 1;
            zones[i] = "z" + i;
        }
        members = Members.of(ids, zones);
        tick();
    }

    Peer start(long id) {
        var p = peers.computeIfAbsent(id, k -> new Peer(k, new SimulatedDisk()));
        p.start();
        return p;
    }

    private void tick() {
        for (var p : peers.values()) {
            if (!p.up) continue;
            p.group.tick(sim.now());
            p.group.syncAndSend(sim.now());
        }
        sim.scheduleAfter(TICK, this::tick);
    }

    private void path(PartMessage m) {
        var to = peers.get(m.to);
        if (to == null || !to.up || drop.test(m) || random.nextDouble() < lost) return;
        if (peers.get(m.from).earlierVersion) m.supportsSnapshotPieces = false;
        if (to.earlierVersion && m.kind > PartMessage.TIMEOUT_NOW) to.notes.add("unknown kind " + m.kind);
        if (to.earlierVersion && m.kind > PartMessage.TIMEOUT_NOW) return;
        var b = Codec.encode(m);
        carry(m.from, m.to, b);
        if (random.nextDouble() < doubled) carry(m.from, m.to, b);
    }

    private void carry(long from, long to, byte[] b) {
        var extra = late > 0 ? (long) (random.nextDouble() * late) : 0;
        if (b.length < DATAGRAM) {
            sim.scheduleAfter(WAY + extra, () -> arrive(to, b));
            return;
        }
        largeBytes += b.length;
        var lane = from + ">" + to;
        var begins = Math.max(sim.now(), free.getOrDefault(lane, 0L));
        var ends = begins + CONNECT + (long) (b.length / BYTES_PER_MICRO);
        var cutAt = outageEvery == 0 ? Long.MAX_VALUE : (begins / outageEvery + 1) * outageEvery;
        free.put(lane, Math.min(ends, cutAt));
        if (ends < cutAt) sim.scheduleAt(ends + WAY + extra, () -> arrive(to, b));
    }

    private void arrive(long to, byte[] b) {
        var p = peers.get(to);
        if (p == null || !p.up) return;
        p.group.receive(Codec.decode(PartMessage.class, b), sim.now());
        p.group.syncAndSend(sim.now());
    }

    void run(double seconds) {
        sim.runUntil(sim.now() + (long) (seconds * SECOND));
    }

    /** Seconds until it holds, or the most. */
    double until(BooleanSupplier holds, double most) {
        var from = sim.now();
        while (!holds.getAsBoolean() && sim.now() - from < most * SECOND) sim.runUntil(sim.now() + TICK);
        return (sim.now() - from) / (double) SECOND;
    }

    Peer leader() {
        return peers.values().stream()
                .filter(p -> p.up && p.group.role() == Role.LEADER && p.group.isReadyLeader())
                .findFirst()
                .orElse(null);
    }

    /** Proposes commands of incompressible bytes, each once the last is applied. */
    void propose(int commands, int bytes) {
        for (var i = 0; i < commands; i++) {
            var b = new byte[bytes];
            random.nextBytes(b);
            until(() -> leader() != null, 30);
            var leader = leader();
            var at = leader.group.propose(b, sim.now());
            leader.group.syncAndSend(sim.now());
            until(() -> leader.group.appliedIndex() >= at, 60);
        }
    }

    boolean level(Peer p) {
        var leader = leader();
        return leader != null && p.group.appliedIndex() == leader.group.lastIndex();
    }
}
