package craneway.sim;

import craneway.control.operator.OperatorCommands;
import craneway.control.store.Store;
import craneway.state.message.Codec;
import craneway.state.message.Messages.CommandRequest;
import craneway.state.message.Messages.Renewal;
import craneway.state.message.Messages.Subscription;
import craneway.state.message.Node;
import craneway.state.part.PartMessage;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;

/** A simulated machine that runs the production store on a simulated disk. */
public final class StoreMachine extends Machine implements MachinePort.Receiver {
    public final SimulatedDisk disk = new SimulatedDisk();
    private final Deque<Object> waitingForDisk = new ArrayDeque<>();
    private boolean diskStalled;
    private long diskDelayMicros;
    public Store store;
    public OperatorCommands operator;

    StoreMachine(World world, String name, String zone, String address) {
        super(world, name, zone, address);
    }

    @Override
    protected void boot() {
        diskStalled = false;
        waitingForDisk.clear();
        var port = new MachinePort(this);
        store = new Store(
                port,
                disk,
                world.newIdentity(this, Node.STORE),
                world.seedAddresses(),
                world.coreStoreCount(),
                new Random(world.sim.random.nextLong()));
        operator = new OperatorCommands(port, store.coreClient());
    }

    /** Sets the time that the disk adds to each message of the replicated parts, in microseconds. */
    public void setDiskDelay(long delayMicros) {
        diskDelayMicros = delayMicros;
    }

    /**
     * Sets whether the disk hangs. While it does, messages of the replicated parts wait, and the node itself goes on.
     */
    public void setDiskStalled(boolean value) {
        diskStalled = value;
        while (!diskStalled && !waitingForDisk.isEmpty()) store.receive(waitingForDisk.poll());
    }

    @Override
    protected void tick() {
        if (diskStalled) store.tickNode();
        else store.tick();
        operator.tick(now());
        world.recordManifest(this, store.membership().view());
    }

    @Override
    public long coreId() {
        return store == null ? 0 : store.directory().self().coreId;
    }

    @Override
    public void receive(byte[] encoded) {
        var message = Codec.decodeTagged(encoded);
        var needsDisk = message instanceof PartMessage
                || message instanceof CommandRequest
                || message instanceof Renewal
                || message instanceof Subscription;
        if (needsDisk && diskDelayMicros > 0 && !diskStalled)
            scheduleAfter(diskDelayMicros, () -> handlePartMessage(message));
        else if (needsDisk) handlePartMessage(message);
        else store.receive(message);
    }

    private void handlePartMessage(Object message) {
        if (diskStalled) waitingForDisk.add(message);
        else store.receive(message);
    }
}
