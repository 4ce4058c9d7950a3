package craneway.sim;

import craneway.state.disk.DiskException;
import java.util.ArrayDeque;
import java.util.Deque;

public abstract class Machine {
    private static final long RESTART_PAUSE = 500_000;

    public final String name;
    public final String zone;
    public String address;
    protected final World world;
    private final Deque<Runnable> held = new ArrayDeque<>();
    private boolean isRunning;
    private boolean isFrozen;
    private int processNumber;
    /** Rises with each start and each stop, so that a pending restart knows that it was overtaken. */
    private int starts;

    protected Machine(World world, String name, String zone, String address) {
        this.world = world;
        this.name = name;
        this.zone = zone;
        this.address = address;
    }

    public boolean isRunning() {
        return isRunning;
    }

    public boolean isFrozen() {
        return isFrozen;
    }

    public int processNumber() {
        return processNumber;
    }

    public long now() {
        return world.sim.now();
    }

    /** Starts the process; one that ends at its start, since it cannot write to its disk, is started again by the platform. */
    public void start() {
        if (isRunning) return;
        var mine = ++starts;
        isRunning = true;
        isFrozen = false;
        processNumber++;
        try {
            boot();
        } catch (DiskException e) {
            isRunning = false;
            world.sim.scheduleAfter(RESTART_PAUSE, () -> startAgain(mine));
            return;
        }
        beat(processNumber);
    }

    private void startAgain(int of) {
        if (starts == of) start();
    }

    private void beat(int of) {
        if (!isRunning || processNumber != of) return;
        runOrDefer(this::tick);
        world.sim.scheduleAfter(World.TICK, () -> beat(of));
    }

    public void crash() {
        starts++;
        if (!isRunning) return;
        isRunning = false;
        isFrozen = false;
        thaw();
        held.clear();
        processNumber++;
        processEnded();
    }

    public void freeze() {
        if (!isRunning || isFrozen) return;
        isFrozen = true;
        world.journal.freezes.add(new Journal.Outage(name, now(), new long[] {Long.MAX_VALUE}));
    }

    private void thaw() {
        for (var d : world.journal.freezes) if (d.node().equals(name)) d.endedAt()[0] = Math.min(d.endedAt()[0], now());
    }

    public void resume() {
        if (!isFrozen) return;
        isFrozen = false;
        thaw();
        while (!isFrozen && !held.isEmpty()) held.poll().run();
    }

    public void runOrDefer(Runnable what) {
        if (isFrozen) held.add(what);
        else what.run();
    }

    public void schedule(Runnable what) {
        var of = processNumber;
        world.sim.scheduleAfter(0, () -> {
            if (isRunning && processNumber == of) runOrDefer(what);
        });
    }

    public void scheduleAfter(long micros, Runnable what) {
        var of = processNumber;
        world.sim.scheduleAfter(micros, () -> {
            if (isRunning && processNumber == of) runOrDefer(what);
        });
    }

    protected abstract void boot();

    protected abstract void tick();

    protected void processEnded() {
        world.breakConnections(this);
    }
}
