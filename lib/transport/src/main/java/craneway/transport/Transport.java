package craneway.transport;

/** Sends messages to other processes of the core, each at its peer address (IP:PORT). Thread-safe. */
public interface Transport {
    /** Sends a message without blocking. The message may be lost; the caller does not learn of that. */
    void send(String address, Object message);

    /** Whether {@link #tick} has to be called periodically. */
    default boolean needsTicks() {
        return false;
    }

    /** Cancels what has timed out. */
    default void tick() {}

    /** Stops sending and receiving. */
    default void close() {}
}
