package craneway.transport;

/** Carries messages to other processes of the core, each at its peer address (IP:PORT). A message may be lost. */
public interface Transport {
    void send(String address, Object message);

    /** Whether it wants to be ticked. */
    default boolean needsTicks() {
        return false;
    }

    default void tick() {}

    default void close() {}
}
