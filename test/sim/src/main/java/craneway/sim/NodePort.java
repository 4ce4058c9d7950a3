package craneway.sim;

import craneway.control.node.Port;
import craneway.model.event.Event;
import craneway.state.message.Codec;
import craneway.state.message.Messages.Hello;

final class NodePort implements Port {
    interface Receiver {
        void receive(byte[] message);

        long core();
    }

    private final Machine of;
    private final int life;

    NodePort(Machine of) {
        this.of = of;
        this.life = of.processNumber();
    }

    @Override
    public long now() {
        return of.now();
    }

    @Override
    public void send(String address, Object message) {
        if (of.processNumber() != life) return;
        var b = Codec.encodeTagged(message);
        var core = ((Receiver) of).core();
        of.world.net.send(of, address, () -> {
            if (of.world.net.machineAt(address) instanceof Receiver r
                    && (message instanceof Hello || core == 0 || r.core() == 0 || r.core() == core)) r.receive(b);
        });
    }

    @Override
    public void logEvent(Event e, String detail) {
        of.world.timeline.add(of.now(), of.name, "CW" + e.code() + " " + detail);
    }
}
