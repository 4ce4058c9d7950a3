package craneway.control.node;

import craneway.model.event.EventSink;

/**
 * The clock, the network and the log of one process, as far as the control plane needs them. Implementations are safe
 * for several threads.
 */
public interface Port extends EventSink {
    /** The monotonic clock of the process, in microseconds; its origin is arbitrary. */
    long now();

    /**
     * Sends a message to a peer address. Does not wait and reports no failure: the message may be lost, delayed or
     * duplicated.
     */
    void send(String address, Object message);
}
