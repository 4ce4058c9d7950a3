package craneway.model.event;

/** Takes the events of one process; safe for several threads. */
public interface EventSink {
    /** Records that an event happened, with what is particular to it. */
    void logEvent(Event e, String detail);
}
