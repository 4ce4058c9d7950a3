package craneway.link.partner;

/** Carries messages to other processes of the core, each at its partner address (IP:PORT). A message may be lost. */
public interface Transport {
    void send(String address, Object message);

    default void tick() { }

    default void close() { }
}
