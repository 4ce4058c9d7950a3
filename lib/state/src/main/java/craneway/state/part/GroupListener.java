package craneway.state.part;

import craneway.model.event.Event;

/** Receives what a group sends and reports. It is called by the thread that drives the group. */
public interface GroupListener {
    /** Sends a message to the store it names. The message may be lost. */
    void send(PartMessage m);

    /** Reports that the entry at an index was applied; the result is null unless the entry is a command. */
    void onApplied(long index, long term, Object result);

    /** Reports that this store became a ready leader, or lost leadership after it had been reported. */
    void onLeadershipChanged(boolean owns, long term);

    /** Records an event in the log of the process. */
    void logEvent(Event e, String detail);
}
