package craneway.sim.model;

import craneway.model.event.Event;
import craneway.sim.SimulatedDisk;
import craneway.state.disk.DiskLostException;
import craneway.state.part.Group;
import craneway.state.part.GroupListener;
import craneway.state.part.Members;
import craneway.state.part.PartMessage;
import java.util.Random;

/** A store at one address: its disk, its identity, which goes with the disk, and its member of the group while it runs. */
final class Peer implements GroupListener {
    private final World world;
    private final int slot;
    private Members first;
    private long id;
    private ProbedDisk disk = new ProbedDisk(new SimulatedDisk());
    private Chain chain;
    private Group group;
    private boolean frozen;
    private Members members = new Members();
    private int lives;

    Peer(World world, int slot, Members first) {
        this.world = world;
        this.slot = slot;
        this.first = first;
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

    /** The group that its log names, also while it does not run. */
    Members members() {
        return up() ? group.members() : members;
    }

    Chain chain() {
        return chain;
    }

    ProbedDisk disk() {
        return disk;
    }

    boolean up() {
        return group != null;
    }

    boolean runs() {
        return up() && !frozen;
    }

    boolean frozen() {
        return frozen;
    }

    void freeze(boolean is) {
        frozen = is;
    }

    void start(Random random) {
        lives++;
        frozen = false;
        chain = new Chain(world.ledger(), slot);
        world.plant().starting(slot, disk);
        try {
            group = new Group(
                    World.PART, id, World.CORE, disk.folder(), first, chain, random, this, world.pace(), world.now());
        } catch (DiskLostException e) {
            throw new Violation(Invariant.HEALTHY_DISK_IS_KEPT, "slot " + slot + ": " + e.getMessage());
        }
    }

    int lives() {
        return lives;
    }

    void stop() {
        if (group != null) members = group.members();
        group = null;
        frozen = false;
    }

    void losePower() {
        stop();
        disk = new ProbedDisk(disk.syncedCopy());
    }

    void loseDisk(long newId) {
        stop();
        disk = new ProbedDisk(new SimulatedDisk());
        id = newId;
        members = new Members();
        first = new Members();
    }

    void tick() {
        group.tick(world.now());
    }

    void settle() {
        group.syncAndSend(world.now());
    }

    @Override
    public void send(PartMessage m) {
        world.post(this, m);
    }

    @Override
    public void onApplied(long index, long term, Object result) {
        world.ledger().applied(this, index, term, result);
    }

    @Override
    public void onLeadershipChanged(boolean owns, long term) {}

    @Override
    public void logEvent(Event e, String detail) {}
}
