package craneway.model.event;

/** Receives the events of one process. Implementations are safe for several threads. */
public interface EventSink {
    /** Records an event, with a detail that describes this occurrence. */
    void logEvent(Event event, String detail);
}
