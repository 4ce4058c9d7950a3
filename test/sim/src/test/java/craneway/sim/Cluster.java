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

/** Hollow stores and routers on one simulated clock: no requests, only what the control plane itself says. */
final class Cluster {
    private static final ThreadMXBean THREAD_CPU = ManagementFactory.getThreadMXBean();
    static final long MICROS_PER_SECOND = 1_000_000, TICK_MICROS = 20_000, DEFAULT_DELAY_MICROS = 4_000;

    final class Member implements Port {
        final String name;
        final String kind;
        final String zone;
        String address;
        Disk disk = new Disk();
        /** Where it is not 0: a process of an older release, whose lives come from a clock that is this far off. */
        long legacyClockOffsetMillis;

        boolean supportsIdentifiedCommands = true;
        /** What this machine's steady clock shows when the simulation begins. */
        final long clockOffsetMicros = clockOffsetStepMicros * members.size();

        boolean running;
        boolean diskHung;
        boolean paused;
        /** How long a slowed process takes for each message and each tick. */
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
                        this, disk, self, seedAddresses, new StoreOptions(founderCount, quorum, timingProfile, p -> this::runPartWork), random);
            else router = new Router(this, self, seedAddresses, timingProfile, random);
            operator = new OperatorCommands(this, store == null ? router.coreClient() : store.coreClient());
            var mine = startCount;
            sim.after((long) (sim.random.nextDouble() * TICK_MICROS), () -> tick(mine));
        }

        private void runPartWork(Runnable r) {
            if (diskHung) queuedPartWork.add(r);
            else r.run();
        }

        void setDiskHung(boolean is) {
            diskHung = is;
            while (!diskHung && !queuedPartWork.isEmpty()) queuedPartWork.poll().run();
        }

        /** On waking it first takes what came meanwhile and what is asked of it; its timers fire a little later. */
        void setPaused(boolean is) {
            paused = is;
            while (!paused && !deferredActions.isEmpty()) deferredActions.poll().run();
            if (paused || !tickPending) return;
            tickPending = false;
            var mine = startCount;
            sim.after(TICK_MICROS, () -> tick(mine));
        }

        /** Does something in the process: at once, once it is free where it is slowed, on waking where it is frozen. */
        void execute(Runnable what) {
            if (paused) {
                deferredActions.add(what);
                return;
            }
            if (handlingCostMicros == 0) {
                what.run();
                return;
            }
            busyUntilMicros = Math.max(busyUntilMicros, sim.now()) + handlingCostMicros;
            var mine = startCount;
            sim.at(busyUntilMicros, () -> {
                if (!running || startCount != mine) return;
                if (paused) deferredActions.add(what);
                else what.run();
            });
        }

        void crash() {
            running = false;
            paused = false;
            deferredActions.clear();
            tickPending = false;
            busyUntilMicros = 0;
            queuedPartWork.clear();
            diskHung = false;
        }

        void losePower() {
            crash();
            disk.losePower(sim.random);
        }

        void loseDisk() {
            crash();
            disk = new Disk();
        }

        private void tick(int mine) {
            if (!running || startCount != mine) return;
            if (paused) {
                tickPending = true;
                return;
            }
            execute(() -> {
                runMeasured(this::tickComponents);
                sim.after(TICK_MICROS, () -> tick(mine));
            });
        }

        private void tickComponents() {
            if (store != null) store.tick();
            else router.tick();
            operator.tick(now());
        }

        /** Adds the processor time that this takes to the member's. */
        void runMeasured(Runnable r) {
            var from = THREAD_CPU.getCurrentThreadCpuTime();
            r.run();
            cpuNanos += THREAD_CPU.getCurrentThreadCpuTime() - from;
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
            var mine = coreId();
            if (sim.random.nextDouble() < lossRate) return;
            var b = Codec.encodeTagged(message);
            meter.recordSent(this, to, message, b);
            if (!to.equals(address)) {
                sentMessages++;
                sentBytes += b.length;
            }
            Runnable arrival = () -> deliver(to, b, mine, message instanceof Hello);
            if (holdFilter.test(this, to, message)) heldMessages.add(arrival);
            else sim.after(oneWayDelayMicros, arrival);
        }

        private void deliver(String to, byte[] b, long core, boolean hello) {
            var m = runningMemberAt(to);
            if (m == null || !m.running || blockedPaths.contains(name + ">" + m.name)) return;
            if (!hello && core != 0 && m.coreId() != 0 && m.coreId() != core) return;
            if (m != this) {
                m.receivedMessages++;
                m.receivedBytes += b.length;
            }
            m.execute(() -> m.runMeasured(() -> {
                if (m.store != null) m.store.receive(Codec.decodeTagged(b));
                else m.router.receive(Codec.decodeTagged(b));
            }));
        }

        @Override
        public void logEvent(Event e, String detail) {
            eventLog.add(sim.now() / 1_000 + " " + name + " " + e + " " + detail);
        }
    }

    /** Chooses the messages that are kept back on their way until they are released. */
    interface MessageFilter {
        boolean test(Member from, String to, Object message);
    }

    final Sim sim = new Sim(17);
    final List<Runnable> heldMessages = new ArrayList<>();
    MessageFilter holdFilter = (from, to, message) -> false;
    final Map<String, Member> members = new TreeMap<>();
    final List<String> eventLog = new ArrayList<>();
    final Set<String> blockedPaths = new HashSet<>();
    final TrafficMeter meter = new TrafficMeter(sim);
    final TimingProfile timingProfile;
    final Quorum quorum;
    int founderCount = 3;
    long clockOffsetStepMicros;
    double lossRate;
    long oneWayDelayMicros = DEFAULT_DELAY_MICROS;
    List<String> seedAddresses = List.of("s1", "s2", "s3");

    Cluster(TimingProfile pace, Quorum quorum) {
        this.timingProfile = pace;
        this.quorum = quorum;
    }

    Member addMember(String name, String kind, String zone) {
        var m = new Member(name, kind, zone);
        members.put(name, m);
        m.start();
        return m;
    }

    Cluster addStores(String... zones) {
        for (var i = 0; i < zones.length; i++) addMember("s" + (i + 1), Node.STORE, zones[i]);
        return this;
    }

    Cluster addRouters(int n) {
        for (var i = 1; i <= n; i++) addMember("r" + i, Node.ROUTER, "z" + (i % 3 + 1));
        return this;
    }

    Member member(String name) {
        return members.get(name);
    }

    Member runningMemberAt(String address) {
        var named = members.get(address);
        if (named != null && named.running && named.address.equals(address)) return named;
        return members.values().stream()
                .filter(m -> m.running && m.address.equals(address))
                .findFirst()
                .orElse(null);
    }

    /** Lets all arrive that was kept back, in the order in which it was sent. */
    void releaseHeldMessages() {
        holdFilter = (from, to, message) -> false;
        var all = List.copyOf(heldMessages);
        heldMessages.clear();
        all.forEach(Runnable::run);
    }

    void resetCounters() {
        meter.reset();
        members.values().forEach(Member::resetCounters);
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

    Member leaderOf(int part) {
        Member best = null;
        for (var m : members.values()) {
            if (!m.running || m.diskHung || m.store == null || m.store.replicas().length == 0) continue;
            var g = m.store.replicas()[part].group();
            if (g.hasLease(m.now())
                    && (best == null
                            || g.term() > best.store.replicas()[part].group().term())) best = m;
        }
        return best;
    }

    boolean allPartsLedByOtherThan(Member not) {
        for (var p = 0; p < Parts.COUNT; p++) if (leaderOf(p) == null || leaderOf(p) == not) return false;
        return true;
    }

    boolean allPartsHaveLeaders() {
        return allPartsLedByOtherThan(null);
    }

    boolean allPartsLedBy(Member m) {
        for (var p = 0; p < Parts.COUNT; p++) if (leaderOf(p) != m) return false;
        return true;
    }

    /** Whether a router holds this version of the manifest, its tables and a lease of every part. */
    boolean isRouterCurrent(Member r, long version) {
        var v = r.router.membership().view();
        if (!r.running || !r.router.membership().isCurrent() || v.manifestRow().version != version) return false;
        for (var p = 0; p < Parts.COUNT; p++) if (!v.hasLease(p, r.now())) return false;
        return v.services().size() == v.manifest().services().size();
    }

    boolean allRoutersCurrent(long version) {
        return members.values().stream().allMatch(m -> m.router == null || isRouterCurrent(m, version));
    }

    Set<String> voterNames(int part) {
        var all = new HashSet<String>();
        var g = leaderOf(part).store.replicas()[part].group();
        for (var v : g.members().voters) all.add(nameOf(v));
        return all;
    }

    private String nameOf(long id) {
        return members.values().stream()
                .filter(m -> m.store != null && m.storeId() == id)
                .map(m -> m.name)
                .findFirst()
                .orElse("?");
    }

    boolean isVoterOfAllParts(Member m, int voters) {
        for (var p = 0; p < Parts.COUNT; p++) {
            if (leaderOf(p) == null) return false;
            var g = leaderOf(p).store.replicas()[p].group().members();
            if (!g.isVoter(m.storeId()) || g.voters.length != voters) return false;
        }
        return true;
    }

    Map<String, Integer> replicasPerZone(int part) {
        var all = new HashMap<String, Integer>();
        var k = leaderOf(part).store.replicas()[part];
        Arrays.stream(k.group().members().zones).forEach(z -> all.merge(z, 1, Integer::sum));
        return all;
    }

    PartReplica replicaOf(String name, int part) {
        return member(name).store.replicas()[part];
    }
}
