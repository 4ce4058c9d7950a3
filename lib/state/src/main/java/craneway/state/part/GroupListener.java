package craneway.state.part;

import craneway.model.event.Event;

public interface GroupListener {
    void send(PartMessage m);

    void onApplied(long index, long term, Object result);

    void onLeadershipChanged(boolean owns, long term);

    void logEvent(Event e, String detail);
}
