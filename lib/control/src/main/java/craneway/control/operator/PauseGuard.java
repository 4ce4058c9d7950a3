package craneway.control.operator;

/**
 * Decides whether the caller of a request that was just read can still be waiting for it. A process that stood still
 * (frozen, starved of CPU, or in a long pause of the virtual machine) then finds in its sockets what callers sent
 * meanwhile. After a second without an answer they have sent the request to another node, and since then perhaps one
 * that reverses it.
 *
 * <p>A pause shows as a gap between ticks of the steady clock. For a while after a gap no request is admitted, so that
 * everything that waited in sockets and in the queue of new connections is read first; after that, the first request on
 * each connection that was used before the gap is refused as well. A refusal costs the caller a call to another node.
 * No I/O; safe for several threads. Times are microseconds.
 */
public final class PauseGuard {
    /** Ticks that are farther apart than this many microseconds show a pause; callers wait for longer than that. */
    public static final long MAX_TICK_GAP_MICROS = 400_000;
    /** For how many microseconds after a pause no request is admitted. */
    public static final long SETTLE_TIME_MICROS = 500_000;

    /** The state that the guard keeps for one connection. */
    public static final class Connection {
        private static final long NEVER = Long.MIN_VALUE;
        private long lastUsedAt = NEVER;
    }

    private long lastTickAt;
    private long resumedAt;

    /** Creates the guard of a process that starts now, which no caller can have waited for. */
    public PauseGuard(long now) {
        lastTickAt = now;
        resumedAt = now - SETTLE_TIME_MICROS;
    }

    /** Detects a pause. Must be called about every 20 ms by a thread that never blocks. */
    public synchronized void tick(long now) {
        if (now - lastTickAt > MAX_TICK_GAP_MICROS) resumedAt = now;
        lastTickAt = Math.max(lastTickAt, now);
    }

    /**
     * Whether a request may be passed on.
     *
     * @param connection the connection it came over
     * @param readStartedAt when reading it began
     * @param now the current time, when it has been read completely
     */
    public synchronized boolean admits(Connection connection, long readStartedAt, long now) {
        tick(now);
        var previousUse = connection.lastUsedAt;
        connection.lastUsedAt = now;
        var readAcrossPause = now - readStartedAt > MAX_TICK_GAP_MICROS && resumedAt >= readStartedAt;
        var usedBeforePause = previousUse != Connection.NEVER && previousUse < resumedAt;
        return now - resumedAt >= SETTLE_TIME_MICROS && !readAcrossPause && !usedBeforePause;
    }
}
