package craneway.control.operator;

/**
 * Decides whether the caller of an order that was read just now can still be waiting for it. A process that stood still (a
 * freeze, a starved machine, a long pause of the virtual machine) finds in its sockets what callers sent meanwhile; after a
 * second of silence they have sent the order to another node and perhaps its reverse since. Standing still shows as a gap
 * between ticks, by the steady clock. After a gap, nothing is admitted for a while, in which all that waited in sockets and in
 * the queue of new connections is read; then the first order on each connection that was used before the gap is refused as
 * well. What is refused costs its caller a call to another node. No I/O.
 */
public final class WakeGuard {
    /** Ticks farther apart than this are a gap; callers wait for longer. */
    public static final long GAP = 400_000;
    /** How long after a gap nothing is admitted. */
    public static final long SETTLE = 500_000;

    /** Where a connection stands towards this guard; one for each. */
    public static final class Connection {
        private static final long NEVER = Long.MIN_VALUE;
        private long lastUsedAt = NEVER;
    }

    private long lastTickAt;
    private long resumedAt;

    /** A guard of a process that starts now, which no caller can have waited for. */
    public WakeGuard(long now) {
        lastTickAt = now;
        resumedAt = now - SETTLE;
    }

    /** Called every 20 ms or so, and by nothing that can wait. */
    public synchronized void tick(long now) {
        if (now - lastTickAt > GAP) resumedAt = now;
        lastTickAt = Math.max(lastTickAt, now);
    }

    /** Whether an order may be passed on that came over this connection, was begun to be read then, and is whole now. */
    public synchronized boolean admits(Connection connection, long readStartedAt, long now) {
        tick(now);
        var previousUse = connection.lastUsedAt;
        connection.lastUsedAt = now;
        var readAcrossPause = now - readStartedAt > GAP && resumedAt >= readStartedAt;
        var usedBeforePause = previousUse != Connection.NEVER && previousUse < resumedAt;
        return now - resumedAt >= SETTLE && !readAcrossPause && !usedBeforePause;
    }
}
