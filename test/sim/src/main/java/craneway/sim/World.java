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

/**
 * A simulated fleet with the machines that a manifest names, and the operators' commands to it. Everything runs on one
 * thread.
 */
public final class World {
    /** Interval between the ticks of a process. */
    static final long TICK_INTERVAL_MICROS = 50_000;

    public final Simulation sim;
    public final SimulatedNetwork net;
    public final Timeline timeline = new Timeline();
    public final Journal journal = new Journal();
    public final Map<String, Machine> machines = new TreeMap<>();

    /**
     * Machines of an older release, whose incarnations come from a wall clock, with the microseconds by which that
     * clock is off.
     */
    public final Map<String, Long> wallClockOffsets = new HashMap<>();

    /** The name of the manifest's first service. */
    public final String serviceName;

    public final Manifest manifest;
    public final String manifestText;

    /** Whether runners are warm from their start on. */
    public boolean runnersStartWarm = true;

    /** The wire version of nodes started from now on. */
    public int wireVersion = Node.WIRE_VERSION;

    final Set<SimulatedStream> streams = new LinkedHashSet<>();

    /** By node: the process and manifest version that were last recorded. */
    private final Map<String, String> lastSeen = new HashMap<>();

    private final Map<String, Long> takenBackAt = new HashMap<>();

    /** By zone or cell: the confirmed emptying that is not taken back yet. */
    private final Map<String, Journal.EmptiedArea> openEmptied = new HashMap<>();

    private List<String> seedAddresses = List.of("store-1", "store-2", "store-3");
    private long manifestVersion;

    /**
     * Builds the machines without starting them.
     *
     * @param routers the number of routers in each zone
     * @param slots the number of slots of each runner
     */
    public World(long seed, String manifestText, int[] routers, int slots) {
        this.manifestText = manifestText;
        sim = new Simulation(seed);
        net = new SimulatedNetwork(sim);
        manifest = ManifestReader.read(manifestText).get();
        var firstService = manifest.services().values().iterator().next();
        serviceName = journal.serviceName = firstService.name();
        var zoneNumber = 0;
        for (var zone : manifest.zones().keySet()) {
            add(new StoreMachine(this, "store-" + ++zoneNumber, zone, "store-" + zoneNumber));
            for (var i = 1; i <= routers[(zoneNumber - 1) % routers.length]; i++)
                add(new RouterMachine(this, "router-" + zoneNumber + "-" + i, zone, "router-" + zoneNumber + "-" + i));
            add(new ClientMachine(this, "requester-" + zoneNumber, zone, "requester-" + zoneNumber));
        }
        for (var declared : manifest.services().values())
            for (var cell : declared.cells())
                for (var i = 1; i <= cell.weight(); i++) {
                    var name = "runner-" + cell.name() + "-" + i;
                    add(new RunnerMachine(this, name, cell.zone(), name, declared.name(), cell.name(), slots));
                }
    }

    private void add(Machine machine) {
        machines.put(machine.name, machine);
        net.register(machine);
    }

    /** The addresses that a starting process is given. */
    List<String> seedAddresses() {
        return seedAddresses;
    }

    /** Sets the addresses that are given to processes started from now on. */
    public void seedAddresses(List<String> addresses) {
        seedAddresses = addresses;
    }

    /** The number of stores that bootstrap the core. */
    int coreStoreCount() {
        return 3;
    }

    /** The identity of a machine's new process. */
    Node newIdentity(Machine machine, String kind) {
        var node = wallClockOffsets.containsKey(machine.name)
                ? new Node(machine.name, kind, machine.zone, machine.address, wallClockMicros(machine))
                : Node.ofNewProcess(
                        machine.name,
                        kind,
                        machine.zone,
                        machine.address,
                        Hash.of(Hash.of(machine.name), machine.processNumber()));
        node.wireVersion = wireVersion;
        return node;
    }

    /** The machine's wall clock in microseconds. */
    long wallClockMicros(Machine machine) {
        return 1_000_000_000_000L + sim.now() + wallClockOffsets.getOrDefault(machine.name, 0L);
    }

    /** The machine of the given name; throws if there is none. */
    public Machine machine(String name) {
        var machine = machines.get(name);
        if (machine == null)
            throw new IllegalArgumentException("no machine " + name + "; there are " + machines.keySet());
        return machine;
    }

    /** All machines of a type, by name. */
    public <T extends Machine> List<T> machinesOfType(Class<T> type) {
        var found = new ArrayList<T>();
        for (var machine : machines.values()) if (type.isInstance(machine)) found.add(type.cast(machine));
        return found;
    }

    /** The routers of a zone whose process runs. */
    public List<RouterMachine> routersIn(String zone) {
        return machinesOfType(RouterMachine.class).stream()
                .filter(router -> router.zone.equals(zone) && router.isRunning())
                .toList();
    }

    /** The ready routers of a zone, or of all zones if it has none. */
    List<RouterMachine> readyRouters(String zone) {
        var inZone = routersIn(zone).stream().filter(RouterMachine::isReady).toList();
        return inZone.isEmpty()
                ? machinesOfType(RouterMachine.class).stream()
                        .filter(RouterMachine::isReady)
                        .toList()
                : inZone;
    }

    /** Opens a request from a machine to an address. */
    HttpExchange.OutgoingCall openRequest(
            Machine from,
            String address,
            String path,
            Map<String, String> headers,
            byte[] body,
            HttpExchange.ResponseListener sink) {
        var stream = new SimulatedStream(this, from, net.machineAt(address), sink);
        stream.connect(path, headers, body);
        return stream;
    }

    /** Breaks the connections of a machine whose process has ended. */
    void breakConnections(Machine machine) {
        for (var stream : List.copyOf(streams)) stream.onProcessEnd(machine);
    }

    /** Records which manifest a node has in force, and which units have moved. */
    void recordManifest(Machine machine, Membership.CoreView view) {
        if (view.manifest() == null) return;
        if (machine.name.equals("router-1-1")) view.services().values().forEach(this::recordMoves);
        var processAndVersion = machine.processNumber() + "/" + view.manifestRow().version;
        if (processAndVersion.equals(lastSeen.put(machine.name, processAndVersion))) return;
        journal.seenManifests.add(new Journal.SeenManifest(
                sim.now(), machine.name, machine.processNumber(), view.manifestRow().version, view.manifestRow().text));
    }

    /** By service: the home region of each unit when it was last looked at. */
    private final Map<String, int[]> homes = new HashMap<>();

    /** Counts each unit whose home changed. */
    private void recordMoves(Rows.Service row) {
        var previous = homes.put(row.name, row.homeCells);
        if (previous == null || previous == row.homeCells) return;
        for (var unit = 0; unit < previous.length; unit++)
            if (previous[unit] >= 0 && previous[unit] != row.homeCells[unit])
                journal.moveCounts.merge(row.name + " " + unit, 1, Integer::sum);
    }

    /** Rebuilds the core from one store, as an operator does after the loss of a majority. */
    void rebuildCore(StoreMachine machine, Consumer<String> callback) {
        var text = machine.store.membership().view().manifestRow().text;
        var version = machine.store.membership().view().manifestRow().version;
        var result = machine.store.rebuild().flatMap(plan -> machine.store.rebuild(plan.confirmationToken()));
        if (result.isLeft()) {
            report(
                    callback,
                    "declined " + result.getLeft().kind() + ": "
                            + result.getLeft().detail());
            return;
        }
        manifestVersion = version + 1_000;
        journal.sentManifests.add(new Journal.SentManifest(
                text, version, sim.now(), sim.now() + 30_000_000, true, manifestVersion, new long[] {Long.MAX_VALUE}));
        report(callback, "rebuilt as generation " + result.get().generation());
    }

    /** Accepts the loss of claims, as an operator does after a rebuild. */
    void acceptClaims(String nodeName, Consumer<String> callback) {
        journal.claimsAccepted = true;
        operator(nodeName)
                .acceptClaims(result -> report(
                        callback,
                        result.isRight()
                                ? "claims accepted"
                                : "declined " + result.getLeft().kind()));
    }

    /** Starts all machines. */
    public void startAll() {
        machines.values().forEach(Machine::start);
    }

    /** Starts the fleet, waits for the core, sends the manifest and waits until it is in force. */
    public void bootstrap() {
        startAll();
        sim.runUntil(sim.now() + 6_000_000);
        sendManifest(manifestText, 0, "store-1");
        sim.runUntil(sim.now() + 8_000_000);
        journal.moveCounts.clear();
    }

    private OperatorCommands operator(String nodeName) {
        var machine = machine(nodeName);
        return machine instanceof StoreMachine store ? store.operator : ((RouterMachine) machine).operator;
    }

    /** Sends a manifest on the given base version at a store or router and records the response. */
    public void sendManifest(String text, long base, String nodeName) {
        var sentAt = sim.now();
        journal.undecidedManifests.add(text);
        operator(nodeName).putManifest(base, text, result -> {
            var accepted = result.isRight();
            if (accepted)
                manifestVersion = Math.max(manifestVersion, result.get().version());
            timeline.add(
                    sim.now(),
                    "operator",
                    accepted
                            ? "manifest " + result.get().version() + " accepted"
                            : "declined: " + result.getLeft().kind() + " "
                                    + result.getLeft().detail());
            if (!accepted && result.getLeft().kind() == ProblemKind.UNCERTAIN) return;
            journal.undecidedManifests.remove(text);
            var inForceEverywhereAt =
                    new long[] {accepted && result.get().routersStillActing().isEmpty() ? sim.now() : Long.MAX_VALUE};
            journal.sentManifests.add(new Journal.SentManifest(
                    text,
                    base,
                    sentAt,
                    sim.now(),
                    accepted,
                    accepted ? result.get().version() : 0,
                    inForceEverywhereAt));
            if (accepted && inForceEverywhereAt[0] == Long.MAX_VALUE)
                awaitRollout(
                        nodeName,
                        (commands, callback) ->
                                commands.watchManifest(result.get().version(), callback),
                        () -> inForceEverywhereAt[0] = sim.now());
        });
    }

    /** One request that waits for the rollout of a manifest or plan. */
    private interface RolloutWatch {
        void start(OperatorCommands commands, Consumer<Either<Problem, OperatorCommands.RolloutResult>> callback);
    }

    /** Watches a rollout every 0.5 s until no router acts on older state; waits while that node is down. */
    private void awaitRollout(String nodeName, RolloutWatch watch, Runnable completed) {
        sim.scheduleAfter(500_000, () -> {
            if (!machine(nodeName).isRunning() || machine(nodeName).isFrozen())
                awaitRollout(nodeName, watch, completed);
            else
                watch.start(operator(nodeName), result -> {
                    if (result.isRight() && result.get().routersStillActing().isEmpty()) completed.run();
                    else awaitRollout(nodeName, watch, completed);
                });
        });
    }

    /** The newest version that was acknowledged to an operator as accepted. */
    public long manifestVersion() {
        return manifestVersion;
    }

    /** Creates a plan from an intent and confirms it; {@code callback} gets each response. */
    public void submitIntent(Intent intent, String nodeName, Consumer<String> callback) {
        operator(nodeName).createPlan(intent, plan -> {
            if (plan.isLeft())
                report(
                        callback,
                        "declined " + plan.getLeft().kind() + ": "
                                + plan.getLeft().detail());
            else
                operator(nodeName).confirmPlan(plan.get().id, confirmation -> {
                    if (confirmation.isLeft())
                        report(callback, "declined " + confirmation.getLeft().kind());
                    else {
                        report(
                                callback,
                                confirmation.get().routersStillActing().isEmpty()
                                        ? "confirmed"
                                        : "pending " + confirmation.get().routersStillActing());
                        if (!confirmation.get().routersStillActing().isEmpty())
                            awaitRollout(
                                    nodeName,
                                    (commands, result) -> commands.watchPlan(plan.get().id, result),
                                    () -> report(callback, "confirmed"));
                    }
                });
        });
    }

    /** Empties a cell of the first service. */
    public void emptyCell(String cell, String nodeName, Consumer<String> callback) {
        empty(new Intent(Intent.EMPTY_CELL, null, serviceName, cell, null, null), "", cell, nodeName, callback);
    }

    /** Keeps a tenant's work in the given regions. */
    public void keepTenant(String tenant, List<String> regions, String nodeName, Consumer<String> callback) {
        submitIntent(new Intent(Intent.KEEP_TENANT, null, null, null, tenant, regions), nodeName, answer -> {
            if (answer.equals("confirmed")) journal.keptTenants.add(new Journal.KeptTenant(tenant, regions, sim.now()));
            callback.accept(answer);
        });
    }

    /** Records a response to the operator on the timeline and passes it to the callback. */
    private void report(Consumer<String> callback, String answer) {
        timeline.add(sim.now(), "operator", answer);
        callback.accept(answer);
    }

    /** Empties a zone. */
    public void emptyZone(String zone, String nodeName, Consumer<String> callback) {
        empty(new Intent(Intent.EMPTY_ZONE, zone, null, null, null, null), zone, "", nodeName, callback);
    }

    private void empty(Intent intent, String zone, String cell, String nodeName, Consumer<String> callback) {
        var submittedAt = sim.now();
        journal.possiblyEmptiedUntil.put(zone + cell, Long.MAX_VALUE);
        submitIntent(intent, nodeName, answer -> {
            if (answer.equals("confirmed") && takenBackAt.getOrDefault(zone + cell, 0L) < submittedAt) {
                var emptied = new Journal.EmptiedArea(zone, cell, sim.now(), new long[] {Long.MAX_VALUE});
                journal.emptiedAreas.add(emptied);
                openEmptied.put(zone + cell, emptied);
            }
            callback.accept(answer);
        });
    }

    /** Takes an emptied zone back. */
    public void takeBackZone(String zone, String nodeName, Consumer<String> callback) {
        takeBackArea(new Intent(Intent.TAKE_BACK_ZONE, zone, null, null, null, null), zone, nodeName, callback);
    }

    /** Takes an emptied cell back. */
    public void takeBackCell(String cell, String nodeName, Consumer<String> callback) {
        takeBackArea(new Intent(Intent.TAKE_BACK_CELL, null, serviceName, cell, null, null), cell, nodeName, callback);
    }

    private void takeBackArea(Intent intent, String zoneOrCell, String nodeName, Consumer<String> callback) {
        takenBackAt.put(zoneOrCell, sim.now());
        var emptied = openEmptied.remove(zoneOrCell);
        if (emptied != null) emptied.takenBackAt()[0] = sim.now();
        submitIntent(intent, nodeName, answer -> {
            if (answer.equals("confirmed") || answer.startsWith("pending"))
                journal.possiblyEmptiedUntil.put(zoneOrCell, sim.now());
            callback.accept(answer);
        });
    }

    /** Records the final state of each running node in the journal. */
    void recordFinalStates() {
        journal.finalStates.clear();
        for (var machine : machines.values()) {
            if (!machine.isRunning() || machine.isFrozen()) continue;
            var view = machine instanceof StoreMachine store
                    ? store.store.membership().view()
                    : machine instanceof RouterMachine routerMachine
                            ? routerMachine.router.membership().view()
                            : null;
            if (view == null) continue;
            var tableVersions = new HashMap<String, Long>();
            view.services().forEach((name, row) -> tableVersions.put(name, row.tableVersion));
            journal.finalStates.add(new Journal.FinalState(
                    machine.name,
                    view.manifestRow().version,
                    view.manifestRow().text,
                    Map.copyOf(view.manifestRow().marks),
                    tableVersions));
        }
    }
}
