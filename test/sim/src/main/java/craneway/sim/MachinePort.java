package craneway.sim;

import craneway.control.node.Port;
import craneway.model.event.Event;
import craneway.state.message.Codec;
import craneway.state.message.Messages.Hello;

/**
 * The port of one process of a simulated machine: clock, messages and log. Messages of a process that has ended are
 * dropped.
 */
final class MachinePort implements Port {
    /** A machine that takes messages from other nodes. */
    interface Receiver {
        /** Handles an encoded message. */
        void receive(byte[] message);

        /** The id of the core that the node belongs to, or 0 if it does not know one yet. */
        long coreId();
    }

    private final Machine machine;
    private final int processNumber;

    MachinePort(Machine machine) {
        this.machine = machine;
        this.processNumber = machine.processNumber();
    }

    @Override
    public long now() {
        return machine.now();
    }

    @Override
    public void send(String address, Object message) {
        if (machine.processNumber() != processNumber) return;
        var encoded = Codec.encodeTagged(message);
        var coreId = ((Receiver) machine).coreId();
        // As on real connections, only a greeting passes between nodes of different cores.
        machine.world.net.send(machine, address, () -> {
            if (machine.world.net.machineAt(address) instanceof Receiver receiver
                    && (message instanceof Hello
                            || coreId == 0
                            || receiver.coreId() == 0
                            || receiver.coreId() == coreId)) receiver.receive(encoded);
        });
    }

    @Override
    public void logEvent(Event e, String detail) {
        machine.world.timeline.add(machine.now(), machine.name, "CW" + e.code() + " " + detail);
    }
}
