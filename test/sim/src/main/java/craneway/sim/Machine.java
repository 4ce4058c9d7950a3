package craneway.sim;

import craneway.state.disk.DiskException;
import java.util.ArrayDeque;
import java.util.Deque;

/** A simulated machine that runs one process at a time, which can be started, killed and frozen. */
public abstract class Machine {
    /** How long the platform waits before it restarts a process that failed at its start. */
    private static final long RESTART_DELAY_MICROS = 500_000;

    public final String name;
    public final String zone;
    public String address;
    protected final World world;
    private final Deque<Runnable> deferred = new ArrayDeque<>();
    private boolean running;
    private boolean suspended;
    private int processNumber;

    /** Incremented on each start and each stop, so that a pending restart can tell that it is obsolete. */
    private int lifecycleChanges;

    protected Machine(World world, String name, String zone, String address) {
        this.world = world;
        this.name = name;
        this.zone = zone;
        this.address = address;
    }

    /** Whether the process runs, possibly frozen. */
    public boolean isRunning() {
        return running;
    }

    /** Whether the process is suspended: events are held until {@link #resume}. */
    public boolean isFrozen() {
        return suspended;
    }

    /** A number that changes with every start and every end of the process. */
    public int processNumber() {
        return processNumber;
    }

    /** The simulated time in microseconds. */
    public long now() {
        return world.sim.now();
    }

    /** Starts the process. If it fails at its start because it cannot write to its disk, the platform restarts it. */
    public void start() {
        if (running) return;
        var lifecycleChange = ++lifecycleChanges;
        running = true;
        suspended = false;
        processNumber++;
        try {
            boot();
        } catch (DiskException e) {
            running = false;
            world.sim.scheduleAfter(RESTART_DELAY_MICROS, () -> restart(lifecycleChange));
            return;
        }
        scheduleTicks(processNumber);
    }

    private void restart(int lifecycleChange) {
        if (lifecycleChanges == lifecycleChange) start();
    }

    private void scheduleTicks(int number) {
        if (!running || processNumber != number) return;
        runOrDefer(this::tick);
        world.sim.scheduleAfter(World.TICK_INTERVAL_MICROS, () -> scheduleTicks(number));
    }

    /** Ends the process at once; its held events are lost and its connections break. */
    public void crash() {
        lifecycleChanges++;
        if (!running) return;
        running = false;
        suspended = false;
        recordFreezeEnd();
        deferred.clear();
        processNumber++;
        processEnded();
    }

    /** Suspends the process. */
    public void freeze() {
        if (!running || suspended) return;
        suspended = true;
        world.journal.freezes.add(new Journal.Outage(name, now(), new long[] {Long.MAX_VALUE}));
    }

    /** Records the end of the freeze in the journal. */
    private void recordFreezeEnd() {
        for (var freeze : world.journal.freezes)
            if (freeze.node().equals(name)) freeze.endedAt()[0] = Math.min(freeze.endedAt()[0], now());
    }

    /** Resumes a suspended process and runs the events that were held. */
    public void resume() {
        if (!suspended) return;
        suspended = false;
        recordFreezeEnd();
        while (!suspended && !deferred.isEmpty()) deferred.poll().run();
    }

    /** Runs an event now, or after the process resumes. */
    public void runOrDefer(Runnable event) {
        if (suspended) deferred.add(event);
        else event.run();
    }

    /** Schedules an event of this process; it is dropped if the process ends before. */
    public void schedule(Runnable event) {
        var number = processNumber;
        world.sim.scheduleAfter(0, () -> {
            if (running && processNumber == number) runOrDefer(event);
        });
    }

    /** Schedules an event of this process after the given delay; it is dropped if the process ends before. */
    public void scheduleAfter(long delayMicros, Runnable event) {
        var number = processNumber;
        world.sim.scheduleAfter(delayMicros, () -> {
            if (running && processNumber == number) runOrDefer(event);
        });
    }

    /** Initializes the process; called at each start. */
    protected abstract void boot();

    /** The periodic work of the process. */
    protected abstract void tick();

    /** Called when the process has ended. */
    protected void processEnded() {
        world.breakConnections(this);
    }
}
