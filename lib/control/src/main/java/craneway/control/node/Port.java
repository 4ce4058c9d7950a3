package craneway.control.node;

import craneway.model.event.EventSink;

public interface Port extends EventSink {
    long now();

    void send(String address, Object message);
}
