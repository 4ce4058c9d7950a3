package craneway.link.process;

import craneway.link.platform.Vocabulary;

/** Placeholder until the router's data plane stands. */
public final class PassRouterProcess implements AutoCloseable {
    public PassRouterProcess(Seat seat, Vocabulary names, EventLog log) { }

    public void stopGently() { close(); }

    @Override
    public void close() { }
}
