package craneway.control.store;

import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandRequest;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides at a part's leader whether a command is proposed. A command names the term and the bound, by that term's leader's
 * steady clock, until which its asker waits: one that comes later, or was bound by the clock of another leader, has no effect.
 * As an entry is appended when it is proposed and an entry of a deposed leader is never committed behind one of its successor,
 * nothing takes effect behind what was acknowledged after the bound. No I/O; one for each part.
 */
final class CommandFence {
    enum Ruling {
        TAKEN,
        LATE,
        UNKNOWN_LIFE
    }

    /** No asker waits longer; a bound beyond it is none. */
    static final long LONGEST = 60_000_000;

    private static final int LIVES = 1_024;

    private final Map<Long, Boolean> clockKnownTo = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > LIVES;
        }
    };

    private final Map<String, Long> latestBoundOfZone = new HashMap<>();

    /** Forgets to whom the clock was told, and the bounds by it; for each new term. */
    void reset() {
        clockKnownTo.clear();
        latestBoundOfZone.clear();
    }

    /** The leader tells this life its clock. */
    void tell(long life) {
        clockKnownTo.put(life, true);
    }

    /** Rules on a command of a process that tells its life. */
    Ruling rule(CommandRequest a, long term, long now) {
        if (a.leaderTerm != term || now > a.leaderDeadline || a.leaderDeadline > now + LONGEST) return Ruling.LATE;
        return clockKnownTo.get(a.sessionId) == null ? Ruling.UNKNOWN_LIFE : Ruling.TAKEN;
    }

    /**
     * Whether an order for the zone with a later bound was taken before: every caller waits equally long, so this one was sent
     * earlier, was long on its way, and its caller may have had the later one acknowledged meanwhile. Else takes note of its bound.
     */
    boolean overtaken(String zone, long bound) {
        if (bound < latestBoundOfZone.getOrDefault(zone, bound)) return true;
        latestBoundOfZone.put(zone, bound);
        return false;
    }

    /** Claims carry an identity of their own: holder, incarnation and try. */
    static Object identified(CommandRequest a, Object command, byte[] body) {
        if (a.sessionId == 0 || command instanceof Commands.ClaimTake || command instanceof Commands.ClaimFinish) return command;
        var f = new Commands.IdentifiedCommand();
        f.sessionId = a.sessionId;
        f.sequence = a.id;
        f.lowestPending = a.lowestPending;
        f.body = body;
        return f;
    }
}
