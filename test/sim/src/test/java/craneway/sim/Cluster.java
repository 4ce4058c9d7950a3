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
    private static final ThreadMXBean CPU = ManagementFactory.getThreadMXBean();
    static final long SECOND = 1_000_000, TICK = 20_000, DELAY = 4_000;

    final class Member implements Port {
        final String name;
        final String kind;
        final String zone;
        String address;
        SimulatedDisk disk = new SimulatedDisk();
        /** Where it is not 0: a process of an older release, whose lives come from a clock that is this far off. */
        long wall;

        boolean fenced = true;
        /** What this machine's steady clock shows when the simulation begins. */
        final long origin = originStep * members.size();

        boolean up;
        boolean hung;
        boolean frozen;
        /** How long a slowed process takes for each message and each tick. */
        long cost;

        private long busyUntil;
        private boolean tickHeld;
        private final Deque<Runnable> waiting = new ArrayDeque<>();
        int life;
        Store store;
        Router router;
        OperatorCommands operator;
        final Deque<Runnable> desk = new ArrayDeque<>();
        long sent;
        long sentBytes;
        long got;
        long gotBytes;
        long cpu;

        Member(String name, String kind, String zone) {
            this.name = name;
            this.kind = kind;
            this.zone = zone;
            address = name;
        }

        void start() {
            up = true;
            life++;
            var random = new Random(sim.random.nextLong());
            var self = wall == 0
                    ? Node.ofNewProcess(name, kind, zone, address, random.nextLong())
                    : new Node(name, kind, zone, address, 1_000_000_000L + sim.now() / 1_000 + wall);
            self.supportsIdentifiedCommands = fenced;
            if (kind.equals(Node.STORE))
                store = new Store(
                        this, disk, self, seeds, new StoreOptions(founders, quorum, pace, p -> this::work), random);
            else router = new Router(this, self, seeds, pace, random);
            operator = new OperatorCommands(this, store == null ? router.coreClient() : store.coreClient());
            var mine = life;
            sim.scheduleAfter((long) (sim.random.nextDouble() * TICK), () -> tick(mine));
        }

        private void work(Runnable r) {
            if (hung) desk.add(r);
            else r.run();
        }

        void hang(boolean is) {
            hung = is;
            while (!hung && !desk.isEmpty()) desk.poll().run();
        }

        /** On waking it first takes what came meanwhile and what is asked of it; its timers fire a little later. */
        void freeze(boolean is) {
            frozen = is;
            while (!frozen && !waiting.isEmpty()) waiting.poll().run();
            if (frozen || !tickHeld) return;
            tickHeld = false;
            var mine = life;
            sim.scheduleAfter(TICK, () -> tick(mine));
        }

        /** Does something in the process: at once, once it is free where it is slowed, on waking where it is frozen. */
        void act(Runnable what) {
            if (frozen) {
                waiting.add(what);
                return;
            }
            if (cost == 0) {
                what.run();
                return;
            }
            busyUntil = Math.max(busyUntil, sim.now()) + cost;
            var mine = life;
            sim.scheduleAt(busyUntil, () -> {
                if (!up || life != mine) return;
                if (frozen) waiting.add(what);
                else what.run();
            });
        }

        void crash() {
            up = false;
            frozen = false;
            waiting.clear();
            tickHeld = false;
            busyUntil = 0;
            desk.clear();
            hung = false;
        }

        void losePower() {
            crash();
            disk.losePower(sim.random);
        }

        void loseDisk() {
            crash();
            disk = new SimulatedDisk();
        }

        private void tick(int mine) {
            if (!up || life != mine) return;
            if (frozen) {
                tickHeld = true;
                return;
            }
            act(() -> {
                timed(this::tickOnce);
                sim.scheduleAfter(TICK, () -> tick(mine));
            });
        }

        private void tickOnce() {
            if (store != null) store.tick();
            else router.tick();
            operator.tick(now());
        }

        /** Adds the processor time that this takes to the member's. */
        void timed(Runnable r) {
            var from = CPU.getCurrentThreadCpuTime();
            r.run();
            cpu += CPU.getCurrentThreadCpuTime() - from;
        }

        void clear() {
            sent = sentBytes = got = gotBytes = cpu = 0;
        }

        long core() {
            return (store == null ? router.directory() : store.directory()).self().coreId;
        }

        long storeId() {
            return store.directory().self().storeId;
        }

        @Override
        public long now() {
            return sim.now() + origin;
        }

        @Override
        public void send(String to, Object message) {
            if (!up) return;
            var mine = core();
            if (sim.random.nextDouble() < lost) return;
            var b = Codec.encodeTagged(message);
            meter.sent(this, to, message, b);
            if (!to.equals(address)) {
                sent++;
                sentBytes += b.length;
            }
            Runnable arrival = () -> arrive(to, b, mine, message instanceof Hello);
            if (hold.test(this, to, message)) held.add(arrival);
            else sim.scheduleAfter(delay, arrival);
        }

        private void arrive(String to, byte[] b, long core, boolean hello) {
            var m = at(to);
            if (m == null || !m.up || cut.contains(name + ">" + m.name)) return;
            if (!hello && core != 0 && m.core() != 0 && m.core() != core) return;
            if (m != this) {
                m.got++;
                m.gotBytes += b.length;
            }
            m.act(() -> m.timed(() -> {
                if (m.store != null) m.store.receive(Codec.decodeTagged(b));
                else m.router.receive(Codec.decodeTagged(b));
            }));
        }

        @Override
        public void logEvent(Event e, String detail) {
            notes.add(sim.now() / 1_000 + " " + name + " " + e + " " + detail);
        }
    }

    /** Chooses the messages that are kept back on their way until they are released. */
    interface Hold {
        boolean test(Member from, String to, Object message);
    }

    final Simulation sim = new Simulation(17);
    final List<Runnable> held = new ArrayList<>();
    Hold hold = (from, to, message) -> false;
    final Map<String, Member> members = new TreeMap<>();
    final List<String> notes = new ArrayList<>();
    final Set<String> cut = new HashSet<>();
    final Meter meter = new Meter(sim);
    final TimingProfile pace;
    final Quorum quorum;
    int founders = 3;
    long originStep;
    double lost;
    long delay = DELAY;
    List<String> seeds = List.of("s1", "s2", "s3");

    Cluster(TimingProfile pace, Quorum quorum) {
        this.pace = pace;
        this.quorum = quorum;
    }

    Member add(String name, String kind, String zone) {
        var m = new Member(name, kind, zone);
        members.put(name, m);
        m.start();
        return m;
    }

    Cluster stores(String... zones) {
        for (var i = 0; i < zones.length; i++) add("s" + (i + 1), Node.STORE, zones[i]);
        return this;
    }

    Cluster routers(int n) {
        for (var i = 1; i <= n; i++) add("r" + i, Node.ROUTER, "z" + (i % 3 + 1));
        return this;
    }

    Member get(String name) {
        return members.get(name);
    }

    Member at(String address) {
        var named = members.get(address);
        if (named != null && named.up && named.address.equals(address)) return named;
        return members.values().stream()
                .filter(m -> m.up && m.address.equals(address))
                .findFirst()
                .orElse(null);
    }

    /** Lets all arrive that was kept back, in the order in which it was sent. */
    void release() {
        hold = (from, to, message) -> false;
        var all = List.copyOf(held);
        held.clear();
        all.forEach(Runnable::run);
    }

    void clear() {
        meter.clear();
        members.values().forEach(Member::clear);
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

    Member owner(int part) {
        Member best = null;
        for (var m : members.values()) {
            if (!m.up || m.hung || m.store == null || m.store.replicas().length == 0) continue;
            var g = m.store.replicas()[part].group();
            if (g.hasLease(m.now())
                    && (best == null
                            || g.term() > best.store.replicas()[part].group().term())) best = m;
        }
        return best;
    }

    boolean ownedBut(Member not) {
        for (var p = 0; p < Parts.COUNT; p++) if (owner(p) == null || owner(p) == not) return false;
        return true;
    }

    boolean owned() {
        return ownedBut(null);
    }

    boolean ownedBy(Member m) {
        for (var p = 0; p < Parts.COUNT; p++) if (owner(p) != m) return false;
        return true;
    }

    /** Whether a router holds this version of the manifest, its tables and a lease of every part. */
    boolean current(Member r, long version) {
        var v = r.router.membership().view();
        if (!r.up || !r.router.membership().isCurrent() || v.manifestRow().version != version) return false;
        for (var p = 0; p < Parts.COUNT; p++) if (!v.hasLease(p, r.now())) return false;
        return v.services().size() == v.manifest().services().size();
    }

    boolean allCurrent(long version) {
        return members.values().stream().allMatch(m -> m.router == null || current(m, version));
    }

    Set<String> voters(int part) {
        var all = new HashSet<String>();
        var g = owner(part).store.replicas()[part].group();
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

    boolean votesEverywhere(Member m, int voters) {
        for (var p = 0; p < Parts.COUNT; p++) {
            if (owner(p) == null) return false;
            var g = owner(p).store.replicas()[p].group().members();
            if (!g.isVoter(m.storeId()) || g.voters.length != voters) return false;
        }
        return true;
    }

    Map<String, Integer> perZone(int part) {
        var all = new HashMap<String, Integer>();
        var k = owner(part).store.replicas()[part];
        Arrays.stream(k.group().members().zones).forEach(z -> all.merge(z, 1, Integer::sum));
        return all;
    }

    PartReplica keeper(String name, int part) {
        return get(name).store.replicas()[part];
    }
}
