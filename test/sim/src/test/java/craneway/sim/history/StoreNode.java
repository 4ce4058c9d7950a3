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

/** A production store on a simulated machine that can be killed, frozen, slowed down and lose its power or its disk. */
final class StoreNode implements Port {
    private static final long TICK_INTERVAL_MICROS = 20_000;

    final String name;
    final String zone;
    private final StoreFleet fleet;
    private final Deque<Runnable> deferred = new ArrayDeque<>();
    private final Deque<Runnable> waitingForDisk = new ArrayDeque<>();
    private final List<Runnable> openConnections = new ArrayList<>();
    private SimulatedDisk disk = new SimulatedDisk();
    private Store store;
    private PlatformCommands commands;
    private PauseGuard pauseGuard;
    private boolean running;
    private boolean powered;
    private boolean suspended;
    private boolean diskHung;
    private long maxReceiveDelayMicros;
    private int session;

    StoreNode(StoreFleet fleet, String name, String zone) {
        this.fleet = fleet;
        this.name = name;
        this.zone = zone;
    }

    /**
     * Starts the process unless it runs.
     *
     * @param first whether it starts with the fleet
     */
    void start(boolean first) {
        if (running) return;
        running = powered = true;
        suspended = diskHung = false;
        maxReceiveDelayMicros = 0;
        session++;
        var self = new Node(name, Node.STORE, zone, name, 1_000_000_000L + now() / 1_000);
        var startedSession = session;
        var options = fleet.storeOptions(first, work -> {
            if (session == startedSession) runOnDisk(work);
        });
        store = new Store(
                this, disk, self, fleet.seedAddresses(first), options, new Random(fleet.sim.random.nextLong()));
        commands = new PlatformCommands(store.coreClient());
        pauseGuard = new PauseGuard(now());
        fleet.sim.scheduleAfter(
                (long) (fleet.sim.random.nextDouble() * TICK_INTERVAL_MICROS), () -> scheduleTicks(startedSession));
    }

    private void runOnDisk(Runnable work) {
        if (diskHung) waitingForDisk.add(work);
        else work.run();
    }

    private void scheduleTicks(int startedSession) {
        if (!running || session != startedSession) return;
        run(() -> {
            pauseGuard.tick(now());
            store.tick();
        });
        fleet.sim.scheduleAfter(TICK_INTERVAL_MICROS, () -> scheduleTicks(startedSession));
    }

    /** Runs an event now, or once the machine is thawed; drops it if the process ends before. */
    void run(Runnable event) {
        if (!running) return;
        if (suspended) deferred.add(event);
        else event.run();
    }

    /** Receives a message from another store or from itself. */
    void receive(byte[] encoded) {
        var receivingSession = session;
        if (maxReceiveDelayMicros == 0) run(() -> store.receive(Codec.decodeTagged(encoded)));
        else
            fleet.sim.scheduleAfter((long) (maxReceiveDelayMicros * fleet.sim.random.nextDouble()), () -> {
                if (session == receivingSession) run(() -> store.receive(Codec.decodeTagged(encoded)));
            });
    }

    /** Ends the process; a machine with power resets its connections. */
    void kill() {
        if (!running) return;
        running = false;
        session++;
        deferred.clear();
        waitingForDisk.clear();
        var connections = List.copyOf(openConnections);
        openConnections.clear();
        if (powered) connections.forEach(Runnable::run);
    }

    /** Ends the process; the disk may lose what was not synced. */
    void losePower() {
        powered = false;
        kill();
        disk.losePower(fleet.sim.random);
    }

    /** Ends the process and replaces the disk by an empty one. */
    void loseDisk() {
        powered = false;
        kill();
        disk = new SimulatedDisk();
    }

    /** Announces to the other stores that this one leaves. */
    void leave() {
        run(() -> store.membership().leave(now()));
    }

    /** Suspends the process; its events are deferred. */
    void freeze() {
        if (running) suspended = true;
    }

    /** Resumes the process and runs the deferred events. */
    void thaw() {
        suspended = false;
        while (!suspended && !deferred.isEmpty()) deferred.poll().run();
    }

    /** Sets whether the disk hangs; work for it waits meanwhile. */
    void setDiskHung(boolean value) {
        diskHung = value;
        while (!diskHung && !waitingForDisk.isEmpty()) waitingForDisk.poll().run();
    }

    /** Delays each received message by a random time up to this, 0 for none. */
    void setMaxReceiveDelay(long maxDelayMicros) {
        maxReceiveDelayMicros = maxDelayMicros;
    }

    /** Registers an open connection: the action runs if the process ends while the machine has power. */
    void registerConnection(Runnable onReset) {
        openConnections.add(onReset);
    }

    /** Removes an open connection that got its response. */
    void unregisterConnection(Runnable onReset) {
        openConnections.remove(onReset);
    }

    /** Whether the process runs, possibly frozen. */
    boolean isRunning() {
        return running;
    }

    /** Whether the machine has power, so that it resets connections to a process that has ended. */
    boolean hasPower() {
        return powered;
    }

    /** Whether the process runs without any fault. */
    boolean isHealthy() {
        return running && !suspended && !diskHung && maxReceiveDelayMicros == 0;
    }

    /** A number that changes with every start and end of the process. */
    int session() {
        return session;
    }

    /** Whether the caller of a command that was just read on a new connection can still be waiting. */
    boolean mayCallerBeWaiting() {
        return pauseGuard.admits(new PauseGuard.Connection(), now(), now());
    }

    Store store() {
        return store;
    }

    PlatformCommands commands() {
        return commands;
    }

    long coreId() {
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
