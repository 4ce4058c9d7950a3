package craneway.control.operator;

/**
 * Decides whether the caller of an order that was read just now can still be waiting for it. A process that stood still (a
 * freeze, a starved machine, a long pause of the virtual machine) finds in its sockets what callers sent meanwhile; after a
 * second of silence they have sent the order to another node and perhaps its reverse since. Standing still shows as a gap
 * between ticks, by the steady clock. After a gap, nothing is admitted for a while, in which all that waited in sockets and in
 * the queue of new connections is read; then the first order on each connection that was used before the gap is refused as
 * well. What is refused costs its caller a call to another node. No I/O.
 */
public final class PauseGuard {
    /** Ticks farther apart than this are a gap; callers wait for longer. */
    public static final long MAX_TICK_GAP_MICROS = 400_000;
    /** How long after a gap nothing is admitted. */
    public static final long SETTLE_MICROS = 500_000;

    /** Where a connection stands towards this guard; one for each. */
    public static final class Connection {
        private static final long NEVER = Long.MIN_VALUE;
        private long used = NEVER;
    }

    private long ticked;
    private long woke;

    /** A guard of a process that starts now, which no caller can have waited for. */
    public PauseGuard(long now) {
        ticked = now;
        woke = now - SETTLE_MICROS;
    }

    /** Called every 20 ms or so, and by nothing that can wait. */
    public synchronized void tick(long now) {
        if (now - ticked > MAX_TICK_GAP_MICROS) woke = now;
        ticked = Math.max(ticked, now);
    }

    /** Whether an order may be passed on that came over this connection, was begun to be read then, and is whole now. */
    public synchronized boolean admits(Connection c, long began, long now) {
        tick(now);
        var used = c.used;
        c.used = now;
        var held = now - began > MAX_TICK_GAP_MICROS && woke >= began;
        var before = used != Connection.NEVER && used < woke;
        return now - woke >= SETTLE_MICROS && !held && !before;
    }
}
