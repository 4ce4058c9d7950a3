package craneway.sim;

import craneway.control.node.Membership;
import craneway.control.operator.Intent;
import craneway.control.operator.OperatorCommands;
import craneway.data.request.HttpExchange;
import craneway.model.manifest.Manifest;
import craneway.model.manifest.ManifestReader;
import craneway.model.problem.Problem;
import craneway.model.problem.ProblemKind;
import craneway.model.unit.Hash;
import craneway.state.message.Node;
import craneway.state.record.Rows;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

public final class World {
    static final long TICK = 50_000;

    public final Simulation sim;
    public final SimulatedNetwork net;
    public final Timeline timeline = new Timeline();
    public final Journal journal = new Journal();
    public final Map<String, Machine> machines = new TreeMap<>();
    /** Machines of an older release, whose lives come from a clock that is this far off. */
    public final Map<String, Long> wallClockOffsets = new HashMap<>();

    public final String serviceName;
    public final Manifest manifest;
    public final String manifestText;
    public boolean runnersStartWarm = true;
    public int wireVersion = Node.WIRE_VERSION;
    final Set<Stream> streams = new LinkedHashSet<>();
    private final Map<String, String> lastSeen = new HashMap<>();
    private final Map<String, Long> takenBackAt = new HashMap<>();
    private final Map<String, Journal.EmptiedArea> openRequest = new HashMap<>();
    private List<String> seedAddresses = List.of("store-1", "store-2", "store-3");
    private long manifestVersion;

    public World(long seed, String manifestText, int[] routers, int slots) {
        this.manifestText = manifestText;
        sim = new Simulation(seed);
        net = new SimulatedNetwork(sim);
        manifest = ManifestReader.read(manifestText).get();
        var s = manifest.services().values().iterator().next();
        serviceName = journal.serviceName = s.name();
        var n = 0;
        for (var z : manifest.zones().keySet()) {
            add(new StoreMachine(this, "store-" + ++n, z, "store-" + n));
            for (var i = 1; i <= routers[(n - 1) % routers.length]; i++)
                add(new RouterMachine(this, "router-" + n + "-" + i, z, "router-" + n + "-" + i));
            add(new ClientMachine(this, "requester-" + n, z, "requester-" + n));
        }
        for (var x : manifest.services().values())
            for (var c : x.cells())
                for (var i = 1; i <= c.weight(); i++) {
                    var name = "runner-" + c.name() + "-" + i;
                    add(new RunnerMachine(this, name, c.zone(), name, x.name(), c.name(), slots));
                }
    }

    private void add(Machine m) {
        machines.put(m.name, m);
        net.register(m);
    }

    List<String> seedAddresses() {
        return seedAddresses;
    }

    public void seedAddresses(List<String> all) {
        seedAddresses = all;
    }

    int coreStoreCount() {
        return 3;
    }

    Node newIdentity(Machine m, String kind) {
        var n = wallClockOffsets.containsKey(m.name)
                ? new Node(m.name, kind, m.zone, m.address, wallClockMicros(m))
                : Node.ofNewProcess(m.name, kind, m.zone, m.address, Hash.of(Hash.of(m.name), m.processNumber()));
        n.wireVersion = wireVersion;
        return n;
    }

    long wallClockMicros(Machine m) {
        return 1_000_000_000_000L + sim.now() + wallClockOffsets.getOrDefault(m.name, 0L);
    }

    public Machine machine(String name) {
        var m = machines.get(name);
        if (m == null) throw new IllegalArgumentException("no machine " + name + " among " + machines.keySet());
        return m;
    }

    public <T extends Machine> List<T> machinesOfType(Class<T> type) {
        var l = new ArrayList<T>();
        for (var m : machines.values()) if (type.isInstance(m)) l.add(type.cast(m));
        return l;
    }

    public List<RouterMachine> routersIn(String zone) {
        return machinesOfType(RouterMachine.class).stream()
                .filter(r -> r.zone.equals(zone) && r.isRunning())
                .toList();
    }

    List<RouterMachine> readyRouters(String zone) {
        var near = routersIn(zone).stream().filter(RouterMachine::isReady).toList();
        return near.isEmpty()
                ? machinesOfType(RouterMachine.class).stream().filter(RouterMachine::isReady).toList()
                : near;
    }

    HttpExchange.OutgoingCall openRequest(
            Machine from,
            String address,
            String path,
            Map<String, String> headers,
            byte[] body,
            HttpExchange.ResponseListener sink) {
        var s = new Stream(this, from, net.machineAt(address), sink);
        s.connect(path, headers, body);
        return s;
    }

    void breakConnections(Machine m) {
        for (var s : List.copyOf(streams)) s.machineDied(m);
    }

    void recordManifest(Machine m, Membership.CoreView v) {
        if (v.manifest() == null) return;
        if (m.name.equals("router-1-1")) v.services().values().forEach(this::moved);
        var key = m.processNumber() + "/" + v.manifestRow().version;
        if (key.equals(lastSeen.put(m.name, key))) return;
        journal.seenManifests.add(new Journal.SeenManifest(sim.now(), m.name, m.processNumber(), v.manifestRow().version, v.manifestRow().text));
    }

    private final Map<String, int[]> homes = new HashMap<>();

    private void moved(Rows.Service s) {
        var had = homes.put(s.name, s.homeCells);
        if (had == null || had == s.homeCells) return;
        for (var u = 0; u < had.length; u++)
            if (had[u] >= 0 && had[u] != s.homeCells[u]) journal.moveCounts.merge(s.name + " " + u, 1, Integer::sum);
    }

    void rebuildCore(StoreMachine m, Consumer<String> then) {
        var text = m.store.membership().view().manifestRow().text;
        var version = m.store.membership().view().manifestRow().version;
        var done = m.store.rebuild().flatMap(r -> m.store.rebuild(r.confirmationToken()));
        if (done.isLeft()) {
            told(
                    then,
                    "declined " + done.getLeft().kind() + ": " + done.getLeft().detail());
            return;
        }
        manifestVersion = version + 1_000;
        journal.sentManifests.add(new Journal.SentManifest(
                text, version, sim.now(), sim.now() + 30_000_000, true, manifestVersion, new long[] {Long.MAX_VALUE}));
        told(then, "rebuilt as generation " + done.get().generation());
    }

    void acceptClaims(String at, Consumer<String> then) {
        journal.claimsAccepted = true;
        operator(at)
                .acceptClaims(r -> told(
                        then,
                        r.isRight()
                                ? "claims accepted"
                                : "declined " + r.getLeft().kind()));
    }

    public void startAll() {
        machines.values().forEach(Machine::start);
    }

    public void bootstrap() {
        startAll();
        sim.runUntil(sim.now() + 6_000_000);
        sendManifest(manifestText, 0, "store-1");
        sim.runUntil(sim.now() + 8_000_000);
        journal.moveCounts.clear();
    }

    private OperatorCommands operator(String at) {
        var m = machine(at);
        return m instanceof StoreMachine s ? s.operator : ((RouterMachine) m).operator;
    }

    public void sendManifest(String text, long base, String at) {
        var sentAt = sim.now();
        journal.undecidedManifests.add(text);
        operator(at).putManifest(base, text, r -> {
            var taken = r.isRight();
            if (taken) manifestVersion = Math.max(manifestVersion, r.get().version());
            timeline.add(
                    sim.now(),
                    "operator",
                    taken
                            ? "manifest " + r.get().version() + " taken"
                            : "declined: " + r.getLeft().kind() + " "
                                    + r.getLeft().detail());
            if (!taken && r.getLeft().kind() == ProblemKind.UNCERTAIN) return;
            journal.undecidedManifests.remove(text);
            var everywhere = new long[] {taken && r.get().routersStillActing().isEmpty() ? sim.now() : Long.MAX_VALUE};
            journal.sentManifests.add(new Journal.SentManifest(
                    text, base, sentAt, sim.now(), taken, taken ? r.get().version() : 0, everywhere));
            if (taken && everywhere[0] == Long.MAX_VALUE)
                watchOn(at, (o, then) -> o.watchManifest(r.get().version(), then), () -> everywhere[0] = sim.now());
        });
    }

    private interface Watch {
        void on(OperatorCommands o, Consumer<Either<Problem, OperatorCommands.RolloutResult>> then);
    }

    private void watchOn(String at, Watch w, Runnable everywhere) {
        sim.scheduleAfter(500_000, () -> {
            if (!machine(at).isRunning() || machine(at).isFrozen()) watchOn(at, w, everywhere);
            else
                w.on(operator(at), r -> {
                    if (r.isRight() && r.get().routersStillActing().isEmpty()) everywhere.run();
                    else watchOn(at, w, everywhere);
                });
        });
    }

    public long manifestVersion() {
        return manifestVersion;
    }

    public void submitIntent(Intent i, String at, Consumer<String> then) {
        operator(at).createPlan(i, p -> {
            if (p.isLeft())
                told(then, "declined " + p.getLeft().kind() + ": " + p.getLeft().detail());
            else
                operator(at).confirmPlan(p.get().id, c -> {
                    if (c.isLeft()) told(then, "declined " + c.getLeft().kind());
                    else {
                        told(
                                then,
                                c.get().routersStillActing().isEmpty()
                                        ? "confirmed"
                                        : "pending " + c.get().routersStillActing());
                        if (!c.get().routersStillActing().isEmpty())
                            watchOn(at, (o, x) -> o.watchPlan(p.get().id, x), () -> told(then, "confirmed"));
                    }
                });
        });
    }

    public void emptyCell(String cell, String at, Consumer<String> then) {
        empty(new Intent(Intent.EMPTY_CELL, null, serviceName, cell, null, null), "", cell, at, then);
    }

    public void keepTenant(String tenant, List<String> regions, String at, Consumer<String> then) {
        submitIntent(new Intent(Intent.KEEP_TENANT, null, null, null, tenant, regions), at, s -> {
            if (s.equals("confirmed")) journal.keptTenants.add(new Journal.KeptTenant(tenant, regions, sim.now()));
            then.accept(s);
        });
    }

    private void told(Consumer<String> then, String s) {
        timeline.add(sim.now(), "operator", s);
        then.accept(s);
    }

    public void emptyZone(String zone, String at, Consumer<String> then) {
        empty(new Intent(Intent.EMPTY_ZONE, zone, null, null, null, null), zone, "", at, then);
    }

    private void empty(Intent i, String zone, String cell, String at, Consumer<String> then) {
        var asked = sim.now();
        journal.possiblyEmptiedUntil.put(zone + cell, Long.MAX_VALUE);
        submitIntent(i, at, s -> {
            if (s.equals("confirmed") && takenBackAt.getOrDefault(zone + cell, 0L) < asked) {
                var e = new Journal.EmptiedArea(zone, cell, sim.now(), new long[] {Long.MAX_VALUE});
                journal.emptiedAreas.add(e);
                openRequest.put(zone + cell, e);
            }
            then.accept(s);
        });
    }

    public void takeBackZone(String zone, String at, Consumer<String> then) {
        takeBackZone(new Intent(Intent.TAKE_BACK_ZONE, zone, null, null, null, null), zone, at, then);
    }

    public void takeBackCell(String cell, String at, Consumer<String> then) {
        takeBackZone(new Intent(Intent.TAKE_BACK_CELL, null, serviceName, cell, null, null), cell, at, then);
    }

    private void takeBackZone(Intent i, String what, String at, Consumer<String> then) {
        takenBackAt.put(what, sim.now());
        var e = openRequest.remove(what);
        if (e != null) e.takenBackAt()[0] = sim.now();
        submitIntent(i, at, s -> {
            if (s.equals("confirmed") || s.startsWith("pending")) journal.possiblyEmptiedUntil.put(what, sim.now());
            then.accept(s);
        });
    }

    void recordFinalStates() {
        journal.finalStates.clear();
        for (var m : machines.values()) {
            if (!m.isRunning() || m.isFrozen()) continue;
            var v = m instanceof StoreMachine s
                    ? s.store.membership().view()
                    : m instanceof RouterMachine r ? r.router.membership().view() : null;
            if (v == null) continue;
            var tables = new HashMap<String, Long>();
            v.services().forEach((k, s) -> tables.put(k, s.tableVersion));
            journal.finalStates.add(new Journal.FinalState(
                    m.name, v.manifestRow().version, v.manifestRow().text, Map.copyOf(v.manifestRow().marks), tables));
        }
    }
}
