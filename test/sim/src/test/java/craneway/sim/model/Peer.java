package craneway.sim.model;

import craneway.model.event.Event;
import craneway.sim.SimulatedDisk;
import craneway.state.disk.DiskLostException;
import craneway.state.part.Group;
import craneway.state.part.GroupListener;
import craneway.state.part.Members;
import craneway.state.part.PartMessage;
import java.util.Random;

/**
 * A store at a fixed slot: its disk, its member id, which changes when the disk is lost, and its member of the group
 * while it runs.
 */
final class Peer implements GroupListener {
    private final World world;
    private final int slot;
    private Members initialMembers;
    private long id;
    private TrackedDisk disk = new TrackedDisk(new SimulatedDisk());
    private HashChainStateMachine stateMachine;
    private Group group;
    private boolean suspended;
    private Members lastMembers = new Members();
    private int startCount;

    Peer(World world, int slot, Members initialMembers) {
        this.world = world;
        this.slot = slot;
        this.initialMembers = initialMembers;
        id = slot;
    }

    int slot() {
        return slot;
    }

    long id() {
        return id;
    }

    Group group() {
        return group;
    }

    /** The membership that its log names, also while it is stopped. */
    Members members() {
        return isUp() ? group.members() : lastMembers;
    }

    HashChainStateMachine stateMachine() {
        return stateMachine;
    }

    TrackedDisk disk() {
        return disk;
    }

    /** Whether the process runs, possibly frozen. */
    boolean isUp() {
        return group != null;
    }

    /** Whether the process runs and is not frozen. */
    boolean isRunning() {
        return isUp() && !suspended;
    }

    boolean isFrozen() {
        return suspended;
    }

    /** Suspends or resumes the process. */
    void setFrozen(boolean value) {
        suspended = value;
    }

    /** Starts a member on the disk. A healthy disk must never be reported as lost. */
    void start(Random random) {
        startCount++;
        suspended = false;
        stateMachine = new HashChainStateMachine(world.checker(), slot);
        world.injectedFault().beforeStart(slot, disk);
        try {
            group = new Group(
                    World.PART,
                    id,
                    World.CORE_ID,
                    disk.folder(),
                    initialMembers,
                    stateMachine,
                    random,
                    this,
                    world.timing(),
                    world.now());
        } catch (DiskLostException e) {
            throw new Violation(Invariant.HEALTHY_DISK_IS_KEPT, "slot " + slot + ": " + e.getMessage());
        }
    }

    /** How often the member was started. */
    int startCount() {
        return startCount;
    }

    /** Ends the process; the disk keeps everything that was written. */
    void stop() {
        if (group != null) lastMembers = group.members();
        group = null;
        suspended = false;
    }

    /** Ends the process; the disk keeps only what was synced. */
    void losePower() {
        stop();
        disk = new TrackedDisk(disk.syncedCopy());
    }

    /** Ends the process and replaces the disk by an empty one with a new member id. */
    void loseDisk(long newId) {
        stop();
        disk = new TrackedDisk(new SimulatedDisk());
        id = newId;
        lastMembers = new Members();
        initialMembers = new Members();
    }

    void tick() {
        group.tick(world.now());
    }

    /** Syncs the log and sends the messages that waited for it. */
    void syncAndSend() {
        group.syncAndSend(world.now());
    }

    @Override
    public void send(PartMessage message) {
        world.send(this, message);
    }

    @Override
    public void onApplied(long index, long term, Object result) {
        world.checker().recordApplied(this, index, term, result);
    }

    @Override
    public void onLeadershipChanged(boolean isLeader, long term) {}

    @Override
    public void logEvent(Event e, String detail) {}
}
