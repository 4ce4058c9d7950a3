package craneway.sim;

import craneway.control.operator.Operator;
import craneway.control.store.Store;
import craneway.state.message.Codec;
import craneway.state.message.Node;
import java.util.Random;

public final class StoreMachine extends Machine implements NodePort.Receiver {
    public final Disk disk = new Disk();
    public Store store;
    public Operator operator;

    StoreMachine(World w, String name, String zone, String address) { super(w, name, zone, address); }

    @Override
    protected void boot() {
        var port = new NodePort(this);
        store = new Store(port, disk, new Node(name, Node.STORE, zone, address, world.wall(this)), world.seeds(), world.stores(), new Random(world.sim.random.nextLong()));
        operator = new Operator(port, store.asker());
    }

    @Override
    protected void tick() {
        store.tick();
        operator.tick(now());
        world.sees(this, store.membership().view());
    }

    @Override
    public void receive(byte[] m) { store.receive(Codec.readTagged(m)); }
}
