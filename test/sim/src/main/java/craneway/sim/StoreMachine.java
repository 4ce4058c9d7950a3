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

public final class StoreMachine extends Machine implements NodePort.Receiver {
    public final SimulatedDisk disk = new SimulatedDisk();
    private final Deque<Object> held = new ArrayDeque<>();
    private boolean stalled;
    private long setDiskDelay;
    public Store store;
    public OperatorCommands operator;

    StoreMachine(World w, String name, String zone, String address) {
        super(w, name, zone, address);
    }

    @Override
    protected void boot() {
        stalled = false;
        held.clear();
        var port = new NodePort(this);
        store = new Store(
                port,
                disk,
                world.newIdentity(this, Node.STORE),
                world.seedAddresses(),
                world.coreStoreCount(),
                new Random(world.sim.random.nextLong()));
        operator = new OperatorCommands(port, store.coreClient());
    }

    public void setDiskDelay(long micros) {
        setDiskDelay = micros;
    }

    public void setDiskStalled(boolean is) {
        stalled = is;
        while (!stalled && !held.isEmpty()) store.receive(held.poll());
    }

    @Override
    protected void tick() {
        if (stalled) store.tickNode();
        else store.tick();
        operator.tick(now());
        world.recordManifest(this, store.membership().view());
    }

    @Override
    public long core() {
        return store == null ? 0 : store.directory().self().coreId;
    }

    @Override
    public void receive(byte[] b) {
        var m = Codec.decodeTagged(b);
        var ofPart = m instanceof PartMessage
                || m instanceof CommandRequest
                || m instanceof Renewal
                || m instanceof Subscription;
        if (ofPart && setDiskDelay > 0 && !stalled) scheduleAfter(setDiskDelay, () -> take(m));
        else if (ofPart) take(m);
        else store.receive(m);
    }

    private void take(Object m) {
        if (stalled) held.add(m);
        else store.receive(m);
    }
}
