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
final class SlowNetwork {
    static final long ONE_WAY_DELAY_MICROS = 35_000;
    static final long MICROS_PER_SECOND = 1_000_000;
    private static final long TICK_MICROS = 10_000;
    private static final long CONNECT_MICROS = 2 * ONE_WAY_DELAY_MICROS;
    private static final int CONNECTION_MIN_BYTES = 1_200;
    private static final int WINDOW_BYTES = 64 << 10;
    static final double BYTES_PER_MICRO = WINDOW_BYTES / (2.0 * ONE_WAY_DELAY_MICROS);

    /** Keeps every command, so that its snapshot is as large as all of them. */
    static final class AppendingStateMachine implements StateMachine {
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
        final Disk disk;
        AppendingStateMachine stateMachine = new AppendingStateMachine();
        Group group;
        boolean running;
        /** Whether it neither knows nor tells what came with snapshot pieces. */
        boolean earlierVersion;

        final List<String> eventLog = new ArrayList<>();

        Peer(long id, Disk disk) {
            this.id = id;
            this.disk = disk;
        }

        void start() {
            running = true;
            stateMachine = new AppendingStateMachine();
            group = new Group(
                    0, id, 9, disk, members, stateMachine, new Random(id), this, TimingProfile.LOW_TRAFFIC, sim.now());
        }

        void stop() {
            running = false;
        }

        @Override
        public void send(PartMessage m) {
            if (running) transmit(m);
        }

        @Override
        public void onApplied(long index, long term, Object result) {}

        @Override
        public void onLeadershipChanged(boolean owns, long term) {}

        @Override
        public void logEvent(Event e, String detail) {
            eventLog.add(e + " " + detail);
        }

        long countEvents(Event e) {
            return eventLog.stream().filter(n -> n.startsWith(e + " ")).count();
        }
    }

    final Sim sim;
    final Random random;
    final Members members;
    final Map<Long, Peer> peers = new TreeMap<>();
    private final Map<String, Long> pathBusyUntil = new HashMap<>();
    /** Every so many microseconds all open connections end; 0: never. */
    long outageIntervalMicros;

    double lossRate;
    double duplicationRate;
    long maxExtraDelayMicros;
    Predicate<PartMessage> dropFilter = m -> false;
    long connectionBytes;

    SlowNetwork(long seed, int voters) {
        sim = new Sim(seed);
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
        var p = peers.computeIfAbsent(id, k -> new Peer(k, new Disk()));
        p.start();
        return p;
    }

    private void tick() {
        for (var p : peers.values()) {
            if (!p.running) continue;
            p.group.tick(sim.now());
            p.group.syncAndSend(sim.now());
        }
        sim.after(TICK_MICROS, this::tick);
    }

    private void transmit(PartMessage m) {
        var to = peers.get(m.to);
        if (to == null || !to.running || dropFilter.test(m) || random.nextDouble() < lossRate) return;
        if (peers.get(m.from).earlierVersion) m.supportsSnapshotPieces = false;
        if (to.earlierVersion && m.kind > PartMessage.TIMEOUT_NOW) to.eventLog.add("unknown kind " + m.kind);
        if (to.earlierVersion && m.kind > PartMessage.TIMEOUT_NOW) return;
        var b = Codec.encode(m);
        scheduleDelivery(m.from, m.to, b);
        if (random.nextDouble() < duplicationRate) scheduleDelivery(m.from, m.to, b);
    }

    private void scheduleDelivery(long from, long to, byte[] b) {
        var extra = maxExtraDelayMicros > 0 ? (long) (random.nextDouble() * maxExtraDelayMicros) : 0;
        if (b.length < CONNECTION_MIN_BYTES) {
            sim.after(ONE_WAY_DELAY_MICROS + extra, () -> deliver(to, b));
            return;
        }
        connectionBytes += b.length;
        var lane = from + ">" + to;
        var begins = Math.max(sim.now(), pathBusyUntil.getOrDefault(lane, 0L));
        var ends = begins + CONNECT_MICROS + (long) (b.length / BYTES_PER_MICRO);
        var cutAt = outageIntervalMicros == 0 ? Long.MAX_VALUE : (begins / outageIntervalMicros + 1) * outageIntervalMicros;
        pathBusyUntil.put(lane, Math.min(ends, cutAt));
        if (ends < cutAt) sim.at(ends + ONE_WAY_DELAY_MICROS + extra, () -> deliver(to, b));
    }

    private void deliver(long to, byte[] b) {
        var p = peers.get(to);
        if (p == null || !p.running) return;
        p.group.receive(Codec.decode(PartMessage.class, b), sim.now());
        p.group.syncAndSend(sim.now());
    }

    void runFor(double seconds) {
        sim.runUntil(sim.now() + (long) (seconds * MICROS_PER_SECOND));
    }

    /** Seconds until it holds, or the most. */
    double runUntil(BooleanSupplier holds, double most) {
        var from = sim.now();
        while (!holds.getAsBoolean() && sim.now() - from < most * MICROS_PER_SECOND) sim.runUntil(sim.now() + TICK_MICROS);
        return (sim.now() - from) / (double) MICROS_PER_SECOND;
    }

    Peer leader() {
        return peers.values().stream()
                .filter(p -> p.running && p.group.role() == Role.LEADER && p.group.isReadyLeader())
                .findFirst()
                .orElse(null);
    }

    /** Proposes commands of incompressible bytes, each once the last is applied. */
    void proposeRandomCommands(int commands, int bytes) {
        for (var i = 0; i < commands; i++) {
            var b = new byte[bytes];
            random.nextBytes(b);
            runUntil(() -> leader() != null, 30);
            var leader = leader();
            var at = leader.group.propose(b, sim.now());
            leader.group.syncAndSend(sim.now());
            runUntil(() -> leader.group.appliedIndex() >= at, 60);
        }
    }

    boolean isCaughtUp(Peer p) {
        var leader = leader();
        return leader != null && p.group.appliedIndex() == leader.group.lastIndex();
    }
}
