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
 * The replicas of one group on a simulated network with long paths. As in production, a small message is a datagram,
 * and large messages go one after the other over a new connection each, whose throughput is limited by its 64 KB
 * window. An outage ends all connections that are open at that time. Not safe for several threads.
 */
final class SlowNetwork {
    static final long ONE_WAY_DELAY_MICROS = 35_000;
    static final long MICROS_PER_SECOND = 1_000_000;
    private static final long TICK_MICROS = 10_000;
    /** One round trip to open a connection. */
    private static final long CONNECT_MICROS = 2 * ONE_WAY_DELAY_MICROS;
    /** Messages from this size on are sent over a connection, smaller ones as a datagram. */
    private static final int CONNECTION_MIN_BYTES = 1_200;

    private static final int WINDOW_BYTES = 64 << 10;
    /** A window per round trip. */
    static final double BYTES_PER_MICRO = WINDOW_BYTES / (2.0 * ONE_WAY_DELAY_MICROS);

    /** Appends every command to its state, so that a snapshot is as large as all commands together. */
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
        public void restoreSnapshot(byte[] snapshot) {
            bytes.reset();
            if (snapshot != null) bytes.writeBytes(snapshot);
        }
    }

    /** One replica of the group; it keeps its disk when it stops. */
    final class Peer implements GroupListener {
        final long id;
        final SimulatedDisk disk;
        AppendingStateMachine stateMachine = new AppendingStateMachine();
        Group group;
        boolean running;
        /**
         * Whether it runs a release without snapshot pieces, which ignores their messages and does not announce
         * support.
         */
        boolean earlierVersion;

        final List<String> eventLog = new ArrayList<>();

        Peer(long id, SimulatedDisk disk) {
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
        public void send(PartMessage message) {
            if (running) transmit(message);
        }

        @Override
        public void onApplied(long index, long term, Object result) {}

        @Override
        public void onLeadershipChanged(boolean isLeader, long term) {}

        @Override
        public void logEvent(Event event, String detail) {
            eventLog.add(event + " " + detail);
        }

        long countEvents(Event event) {
            return eventLog.stream()
                    .filter(line -> line.startsWith(event + " "))
                    .count();
        }
    }

    final Simulation sim;
    final Random random;
    final Members members;
    final Map<Long, Peer> peers = new TreeMap<>();
    private final Map<String, Long> pathBusyUntil = new HashMap<>();
    /** The time between outages, which end all open connections; 0 for no outages. */
    long outageIntervalMicros;

    /** The share of messages that is lost, 0 to 1. */
    double lossRate;

    /** The share of messages that is delivered twice, 0 to 1. */
    double duplicationRate;

    long maxExtraDelayMicros;
    Predicate<PartMessage> dropFilter = message -> false;
    /** The bytes sent over connections so far. */
    long connectionBytes;

    SlowNetwork(long seed, int voters) {
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
        var peer = peers.computeIfAbsent(id, k -> new Peer(k, new SimulatedDisk()));
        peer.start();
        return peer;
    }

    private void tick() {
        for (var peer : peers.values()) {
            if (!peer.running) continue;
            peer.group.tick(sim.now());
            peer.group.syncAndSend(sim.now());
        }
        sim.scheduleAfter(TICK_MICROS, this::tick);
    }

    private void transmit(PartMessage message) {
        var receiver = peers.get(message.to);
        if (receiver == null || !receiver.running || dropFilter.test(message) || random.nextDouble() < lossRate) return;
        if (peers.get(message.from).earlierVersion) message.supportsSnapshotPieces = false;
        if (receiver.earlierVersion && message.kind > PartMessage.TIMEOUT_NOW)
            receiver.eventLog.add("unknown kind " + message.kind);
        if (receiver.earlierVersion && message.kind > PartMessage.TIMEOUT_NOW) return;
        var encoded = Codec.encode(message);
        scheduleDelivery(message.from, message.to, encoded);
        if (random.nextDouble() < duplicationRate) scheduleDelivery(message.from, message.to, encoded);
    }

    private void scheduleDelivery(long from, long to, byte[] encoded) {
        var extraDelay = maxExtraDelayMicros > 0 ? (long) (random.nextDouble() * maxExtraDelayMicros) : 0;
        if (encoded.length < CONNECTION_MIN_BYTES) {
            sim.scheduleAfter(ONE_WAY_DELAY_MICROS + extraDelay, () -> deliver(to, encoded));
            return;
        }
        connectionBytes += encoded.length;
        var path = from + ">" + to;
        var startsAt = Math.max(sim.now(), pathBusyUntil.getOrDefault(path, 0L));
        var endsAt = startsAt + CONNECT_MICROS + (long) (encoded.length / BYTES_PER_MICRO);
        var outageAt = outageIntervalMicros == 0
                ? Long.MAX_VALUE
                : (startsAt / outageIntervalMicros + 1) * outageIntervalMicros;
        pathBusyUntil.put(path, Math.min(endsAt, outageAt));
        if (endsAt < outageAt) sim.scheduleAt(endsAt + ONE_WAY_DELAY_MICROS + extraDelay, () -> deliver(to, encoded));
    }

    private void deliver(long to, byte[] encoded) {
        var peer = peers.get(to);
        if (peer == null || !peer.running) return;
        peer.group.receive(Codec.decode(PartMessage.class, encoded), sim.now());
        peer.group.syncAndSend(sim.now());
    }

    void runFor(double seconds) {
        sim.runUntil(sim.now() + (long) (seconds * MICROS_PER_SECOND));
    }

    /** Runs until the condition holds, at most {@code maxSeconds}; returns the simulated seconds that passed. */
    double runUntil(BooleanSupplier condition, double maxSeconds) {
        var startedAt = sim.now();
        while (!condition.getAsBoolean() && sim.now() - startedAt < maxSeconds * MICROS_PER_SECOND)
            sim.runUntil(sim.now() + TICK_MICROS);
        return (sim.now() - startedAt) / (double) MICROS_PER_SECOND;
    }

    /** The running leader that can accept commands, or null. */
    Peer leader() {
        return peers.values().stream()
                .filter(p -> p.running && p.group.role() == Role.LEADER && p.group.isReadyLeader())
                .findFirst()
                .orElse(null);
    }

    /** Proposes commands of random bytes, each after the previous one was applied at the leader. */
    void proposeRandomCommands(int commandCount, int commandBytes) {
        for (var i = 0; i < commandCount; i++) {
            var command = new byte[commandBytes];
            random.nextBytes(command);
            runUntil(() -> leader() != null, 30);
            var leader = leader();
            var index = leader.group.propose(command, sim.now());
            leader.group.syncAndSend(sim.now());
            runUntil(() -> leader.group.appliedIndex() >= index, 60);
        }
    }

    boolean isCaughtUp(Peer peer) {
        var leader = leader();
        return leader != null && peer.group.appliedIndex() == leader.group.lastIndex();
    }
}
