package craneway.model.event;

/** Receives the events of one process. Implementations are safe for several threads. */
public interface Log {
    /** Records an event, with a detail that describes this occurrence. */
    void note(Event event, String detail);
}
