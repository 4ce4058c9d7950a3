package craneway.sim.history;

import craneway.control.node.Port;
import craneway.control.operator.PauseGuard;
import craneway.control.operator.PlatformCommands;
import craneway.control.store.Store;
import craneway.model.event.Event;
import craneway.sim.SimulatedDisk;
import craneway.state.message.Codec;
import craneway.state.message.Node;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;

/** A store of the production classes on a simulated machine that can be killed, frozen, slowed and lose its power or its disk. */
final class StoreNode implements Port {
    private static final long TICK = 20_000;

    final String name;
    final String zone;
    private final Fleet fleet;
    private final Deque<Runnable> held = new ArrayDeque<>();
    private final Deque<Runnable> waitingForDisk = new ArrayDeque<>();
    private final List<Runnable> resets = new ArrayList<>();
    private SimulatedDisk disk = new SimulatedDisk();
    private Store store;
    private PlatformCommands passing;
    private PauseGuard guard;
    private boolean up;
    private boolean lit;
    private boolean frozen;
    private boolean hung;
    private long slow;
    private int life;

    StoreNode(Fleet fleet, String name, String zone) {
        this.fleet = fleet;
        this.name = name;
        this.zone = zone;
    }

    void start(boolean first) {
        if (up) return;
        up = lit = true;
        frozen = hung = false;
        slow = 0;
        life++;
        var self = new Node(name, Node.STORE, zone, name, 1_000_000_000L + now() / 1_000);
        var mine = life;
        var rules = fleet.rules(first, r -> {
            if (life == mine) disk(r);
        });
        store = new Store(this, disk, self, fleet.seeds(first), rules, new Random(fleet.sim.random.nextLong()));
        passing = new PlatformCommands(store.coreClient());
        guard = new PauseGuard(now());
        fleet.sim.scheduleAfter((long) (fleet.sim.random.nextDouble() * TICK), () -> beat(mine));
    }

    private void disk(Runnable r) {
        if (hung) waitingForDisk.add(r);
        else r.run();
    }

    private void beat(int mine) {
        if (!up || life != mine) return;
        run(() -> {
            guard.tick(now());
            store.tick();
        });
        fleet.sim.scheduleAfter(TICK, () -> beat(mine));
    }

    /** Now, or once the machine is thawed; never, if it ends before. */
    void run(Runnable what) {
        if (!up) return;
        if (frozen) held.add(what);
        else what.run();
    }

    /** A message from another store or itself. */
    void receive(byte[] b) {
        var mine = life;
        if (slow == 0) run(() -> store.receive(Codec.decodeTagged(b)));
        else
            fleet.sim.scheduleAfter((long) (slow * fleet.sim.random.nextDouble()), () -> {
                if (life == mine) run(() -> store.receive(Codec.decodeTagged(b)));
            });
    }

    void kill() {
        if (!up) return;
        up = false;
        life++;
        held.clear();
        waitingForDisk.clear();
        var all = List.copyOf(resets);
        resets.clear();
        if (lit) all.forEach(Runnable::run);
    }

    void losePower() {
        lit = false;
        kill();
        disk.losePower(fleet.sim.random);
    }

    void loseDisk() {
        lit = false;
        kill();
        disk = new SimulatedDisk();
    }

    /** Tells the others that it goes. */
    void leave() {
        run(() -> store.membership().leave(now()));
    }

    void freeze() {
        if (up) frozen = true;
    }

    void thaw() {
        frozen = false;
        while (!frozen && !held.isEmpty()) held.poll().run();
    }

    void hang(boolean is) {
        hung = is;
        while (!hung && !waitingForDisk.isEmpty()) waitingForDisk.poll().run();
    }

    void slow(long micros) {
        slow = micros;
    }

    /** Runs it if the process ends while the machine goes on: its open connections are reset. */
    void atReset(Runnable r) {
        resets.add(r);
    }

    void answered(Runnable r) {
        resets.remove(r);
    }

    boolean up() {
        return up;
    }

    /** Whether the machine has power, so that it resets connections to a process that isn't there. */
    boolean lit() {
        return lit;
    }

    boolean well() {
        return up && !frozen && !hung && slow == 0;
    }

    int life() {
        return life;
    }

    /** Whether the caller of an order that was read just now, on a new connection, can still be waiting. */
    boolean admits() {
        return guard.admits(new PauseGuard.Connection(), now(), now());
    }

    Store store() {
        return store;
    }

    PlatformCommands passing() {
        return passing;
    }

    long core() {
        return store == null ? 0 : store.directory().self().coreId;
    }

    @Override
    public long now() {
        return fleet.sim.now();
    }

    @Override
    public void send(String address, Object message) {
        fleet.net.send(this, address, message);
    }

    @Override
    public void logEvent(Event e, String detail) {
        fleet.note(name, e, detail);
    }
}
