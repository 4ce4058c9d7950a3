package craneway.sim;

import craneway.control.node.Port;
import craneway.control.operator.OperatorCommands;
import craneway.control.store.PartReplica;
import craneway.control.store.Quorum;
import craneway.control.store.Store;
import craneway.control.store.StoreOptions;
import craneway.data.router.Router;
import craneway.model.event.Event;
import craneway.model.unit.Parts;
import craneway.model.unit.TimingProfile;
import craneway.state.message.Codec;
import craneway.state.message.Messages.Hello;
import craneway.state.message.Node;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

/**
 * Stores and routers on one simulated clock and network. They exchange only control-plane messages; no client sends
 * requests. Not safe for several threads. Times are microseconds of the simulated clock unless a name says otherwise.
 */
final class Cluster {
    private static final ThreadMXBean THREAD_CPU = ManagementFactory.getThreadMXBean();
    static final long MICROS_PER_SECOND = 1_000_000;
    static final long TICK_MICROS = 20_000;
    static final long DEFAULT_DELAY_MICROS = 4_000;

    /** A store or a router with its disk, its network port and its share of the simulated machine's faults. */
    final class Member implements Port {
        final String name;
        final String kind;
        final String zone;
        String address;
        SimulatedDisk disk = new SimulatedDisk();
        /**
         * If not 0, the process is of an older release that takes its incarnation from its wall clock, and that clock
         * is off by this many milliseconds.
         */
        long legacyClockOffsetMillis;

        boolean supportsIdentifiedCommands = true;
        /** What the monotonic clock of this member shows when the simulated clock shows 0. */
        final long clockOffsetMicros = clockOffsetStepMicros * members.size();

        boolean running;
        boolean diskHung;
        boolean paused;
        /** How long the process takes to handle each message and each tick; 0 if it isn't slowed down. */
        long handlingCostMicros;

        private long busyUntilMicros;
        private boolean tickPending;
        private final Deque<Runnable> deferredActions = new ArrayDeque<>();
        int startCount;
        Store store;
        Router router;
        OperatorCommands operator;
        final Deque<Runnable> queuedPartWork = new ArrayDeque<>();
        long sentMessages;
        long sentBytes;
        long receivedMessages;
        long receivedBytes;
        long cpuNanos;

        Member(String name, String kind, String zone) {
            this.name = name;
            this.kind = kind;
            this.zone = zone;
            address = name;
        }

        void start() {
            running = true;
            startCount++;
            var random = new Random(sim.random.nextLong());
            var self = legacyClockOffsetMillis == 0
                    ? Node.ofNewProcess(name, kind, zone, address, random.nextLong())
                    : new Node(name, kind, zone, address, 1_000_000_000L + sim.now() / 1_000 + legacyClockOffsetMillis);
            self.supportsIdentifiedCommands = supportsIdentifiedCommands;
            if (kind.equals(Node.STORE))
                store = new Store(
                        this,
                        disk,
                        self,
                        seedAddresses,
                        new StoreOptions(founderCount, quorum, timingProfile, part -> this::runPartWork),
                        random);
            else router = new Router(this, self, seedAddresses, timingProfile, random);
            operator = new OperatorCommands(this, store == null ? router.coreClient() : store.coreClient());
            var currentStart = startCount;
            sim.scheduleAfter((long) (sim.random.nextDouble() * TICK_MICROS), () -> tick(currentStart));
        }

        private void runPartWork(Runnable work) {
            if (diskHung) queuedPartWork.add(work);
            else work.run();
        }

        /** Starts or ends a disk hang: meanwhile the work of all parts is queued. */
        void setDiskHung(boolean hung) {
            diskHung = hung;
            while (!diskHung && !queuedPartWork.isEmpty()) queuedPartWork.poll().run();
        }

        /**
         * Pauses or resumes the process. A resumed process first handles all deferred actions, then its timers fire.
         */
        void setPaused(boolean pause) {
            paused = pause;
            while (!paused && !deferredActions.isEmpty()) deferredActions.poll().run();
            if (paused || !tickPending) return;
            tickPending = false;
            var currentStart = startCount;
            sim.scheduleAfter(TICK_MICROS, () -> tick(currentStart));
        }

        /** Runs an action in the process: at once, after the queued ones if it is slowed down, or when it resumes. */
        void execute(Runnable action) {
            if (paused) {
                deferredActions.add(action);
                return;
            }
            if (handlingCostMicros == 0) {
                action.run();
                return;
            }
            busyUntilMicros = Math.max(busyUntilMicros, sim.now()) + handlingCostMicros;
            var currentStart = startCount;
            sim.scheduleAt(busyUntilMicros, () -> {
                if (!running || startCount != currentStart) return;
                if (paused) deferredActions.add(action);
                else action.run();
            });
        }

        /** Ends the process without notice; its disk keeps all writes. */
        void crash() {
            running = false;
            paused = false;
            deferredActions.clear();
            tickPending = false;
            busyUntilMicros = 0;
            queuedPartWork.clear();
            diskHung = false;
        }

        /** Ends the process; its disk loses writes that were not synced. */
        void losePower() {
            crash();
            disk.losePower(sim.random);
        }

        /** Ends the process and replaces its disk by an empty one. */
        void loseDisk() {
            crash();
            disk = new SimulatedDisk();
        }

        private void tick(int expectedStart) {
            if (!running || startCount != expectedStart) return;
            if (paused) {
                tickPending = true;
                return;
            }
            execute(() -> {
                runMeasured(this::tickComponents);
                sim.scheduleAfter(TICK_MICROS, () -> tick(expectedStart));
            });
        }

        private void tickComponents() {
            if (store != null) store.tick();
            else router.tick();
            operator.tick(now());
        }

        /** Runs an action and adds the processor time that it takes to {@link #cpuNanos}. */
        void runMeasured(Runnable action) {
            var startNanos = THREAD_CPU.getCurrentThreadCpuTime();
            action.run();
            cpuNanos += THREAD_CPU.getCurrentThreadCpuTime() - startNanos;
        }

        void resetCounters() {
            sentMessages = sentBytes = receivedMessages = receivedBytes = cpuNanos = 0;
        }

        long coreId() {
            return (store == null ? router.directory() : store.directory()).self().coreId;
        }

        long storeId() {
            return store.directory().self().storeId;
        }

        @Override
        public long now() {
            return sim.now() + clockOffsetMicros;
        }

        @Override
        public void send(String to, Object message) {
            if (!running) return;
            var senderCore = coreId();
            if (sim.random.nextDouble() < lossRate) return;
            var encoded = Codec.encodeTagged(message);
            meter.recordSent(this, to, message, encoded);
            if (!to.equals(address)) {
                sentMessages++;
                sentBytes += encoded.length;
            }
            Runnable arrival = () -> deliver(to, encoded, senderCore, message instanceof Hello);
            if (holdFilter.test(this, to, message)) heldMessages.add(arrival);
            else sim.scheduleAfter(oneWayDelayMicros, arrival);
        }

        private void deliver(String to, byte[] encoded, long senderCore, boolean hello) {
            var receiver = runningMemberAt(to);
            if (receiver == null || !receiver.running || blockedPaths.contains(name + ">" + receiver.name)) return;
            if (!hello && senderCore != 0 && receiver.coreId() != 0 && receiver.coreId() != senderCore) return;
            if (receiver != this) {
                receiver.receivedMessages++;
                receiver.receivedBytes += encoded.length;
            }
            receiver.execute(() -> receiver.runMeasured(() -> {
                if (receiver.store != null) receiver.store.receive(Codec.decodeTagged(encoded));
                else receiver.router.receive(Codec.decodeTagged(encoded));
            }));
        }

        @Override
        public void logEvent(Event e, String detail) {
            eventLog.add(sim.now() / 1_000 + " " + name + " " + e + " " + detail);
        }
    }

    /** Selects messages to hold on their way until {@link #releaseHeldMessages}. */
    interface MessageFilter {
        boolean test(Member from, String to, Object message);
    }

    final Simulation sim = new Simulation(17);
    final List<Runnable> heldMessages = new ArrayList<>();
    MessageFilter holdFilter = (from, to, message) -> false;
    final Map<String, Member> members = new TreeMap<>();
    final List<String> eventLog = new ArrayList<>();
    /** Paths that deliver nothing, as "sender>receiver" by member name. */
    final Set<String> blockedPaths = new HashSet<>();

    final TrafficMeter meter = new TrafficMeter(sim);
    final TimingProfile timingProfile;
    final Quorum quorum;
    int founderCount = 3;
    /** How far the monotonic clock of each member is ahead of that of the member added before it. */
    long clockOffsetStepMicros;
    /** The share of messages that is lost, 0 to 1. */
    double lossRate;

    long oneWayDelayMicros = DEFAULT_DELAY_MICROS;
    List<String> seedAddresses = List.of("s1", "s2", "s3");

    Cluster(TimingProfile timingProfile, Quorum quorum) {
        this.timingProfile = timingProfile;
        this.quorum = quorum;
    }

    Member addMember(String name, String kind, String zone) {
        var member = new Member(name, kind, zone);
        members.put(name, member);
        member.start();
        return member;
    }

    /** Adds and starts a store {@code s1}, {@code s2}, ... in each of these zones. */
    Cluster addStores(String... zones) {
        for (var i = 0; i < zones.length; i++) addMember("s" + (i + 1), Node.STORE, zones[i]);
        return this;
    }

    /** Adds and starts routers {@code r1}, {@code r2}, ... over the zones z1 to z3 in turn. */
    Cluster addRouters(int count) {
        for (var i = 1; i <= count; i++) addMember("r" + i, Node.ROUTER, "z" + (i % 3 + 1));
        return this;
    }

    Member member(String name) {
        return members.get(name);
    }

    /** The running member that receives what is sent to this address, or null. */
    Member runningMemberAt(String address) {
        var named = members.get(address);
        if (named != null && named.running && named.address.equals(address)) return named;
        return members.values().stream()
                .filter(member -> member.running && member.address.equals(address))
                .findFirst()
                .orElse(null);
    }

    /** Stops holding messages and delivers the held ones at once, in the order in which they were sent. */
    void releaseHeldMessages() {
        holdFilter = (from, to, message) -> false;
        var deliveries = List.copyOf(heldMessages);
        heldMessages.clear();
        deliveries.forEach(Runnable::run);
    }

    void resetCounters() {
        meter.reset();
        members.values().forEach(Member::resetCounters);
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

    /** The running member with a leader lease for a part, the one of the highest term if there are several, or null. */
    Member leaderOf(int part) {
        Member leader = null;
        for (var member : members.values()) {
            if (!member.running || member.diskHung || member.store == null || member.store.replicas().length == 0)
                continue;
            var group = member.store.replicas()[part].group();
            if (group.hasLease(member.now())
                    && (leader == null
                            || group.term()
                                    > leader.store.replicas()[part].group().term())) leader = member;
        }
        return leader;
    }

    /** Whether every part has a leader and none of them is this member. */
    boolean allPartsLedByOtherThan(Member excluded) {
        for (var part = 0; part < Parts.PART_COUNT; part++)
            if (leaderOf(part) == null || leaderOf(part) == excluded) return false;
        return true;
    }

    boolean allPartsHaveLeaders() {
        return allPartsLedByOtherThan(null);
    }

    boolean allPartsLedBy(Member member) {
        for (var part = 0; part < Parts.PART_COUNT; part++) if (leaderOf(part) != member) return false;
        return true;
    }

    /** Whether a router has this version of the manifest, a row for each of its services and a lease of every part. */
    boolean isRouterCurrent(Member member, long version) {
        var view = member.router.membership().view();
        if (!member.running || !member.router.membership().isCurrent() || view.manifestRow().version != version)
            return false;
        for (var part = 0; part < Parts.PART_COUNT; part++) if (!view.hasLease(part, member.now())) return false;
        return view.services().size() == view.manifest().services().size();
    }

    boolean allRoutersCurrent(long version) {
        return members.values().stream().allMatch(member -> member.router == null || isRouterCurrent(member, version));
    }

    /** The names of the voters of a part; "?" stands for a store that no member has the id of. */
    Set<String> voterNames(int part) {
        var names = new HashSet<String>();
        var group = leaderOf(part).store.replicas()[part].group();
        for (var voter : group.members().voters) names.add(nameOf(voter));
        return names;
    }

    private String nameOf(long storeId) {
        return members.values().stream()
                .filter(member -> member.store != null && member.storeId() == storeId)
                .map(member -> member.name)
                .findFirst()
                .orElse("?");
    }

    /** Whether a store is one of this many voters of every part. */
    boolean isVoterOfAllParts(Member member, int voterCount) {
        for (var part = 0; part < Parts.PART_COUNT; part++) {
            if (leaderOf(part) == null) return false;
            var groupMembers = leaderOf(part).store.replicas()[part].group().members();
            if (!groupMembers.isVoter(member.storeId()) || groupMembers.voters.length != voterCount) return false;
        }
        return true;
    }

    Map<String, Integer> replicasPerZone(int part) {
        var counts = new HashMap<String, Integer>();
        var replica = leaderOf(part).store.replicas()[part];
        Arrays.stream(replica.group().members().zones).forEach(z -> counts.merge(z, 1, Integer::sum));
        return counts;
    }

    PartReplica replicaOf(String name, int part) {
        return member(name).store.replicas()[part];
    }
}
