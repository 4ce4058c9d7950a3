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
    enum Admission {
        ADMITTED,
        LATE,
        UNKNOWN_LIFE
    }

    /** No asker waits longer; a bound beyond it is none. */
    static final long MAX_WAIT_MICROS = 60_000_000;

    private static final int MAX_KNOWN_LIVES = 1_024;

    private final Map<Long, Boolean> livesKnowingClock = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > MAX_KNOWN_LIVES;
        }
    };

    private final Map<String, Long> latestBoundByZone = new HashMap<>();

    /** Forgets to whom the clock was told, and the bounds by it; for each new term. */
    void reset() {
        livesKnowingClock.clear();
        latestBoundByZone.clear();
    }

    /** The leader tells this life its clock. */
    void recordClockSent(long life) {
        livesKnowingClock.put(life, true);
    }

    /** Rules on a command of a process that tells its life. */
    Admission check(CommandRequest request, long term, long now) {
        if (request.term != term || now > request.bound || request.bound > now + MAX_WAIT_MICROS) return Admission.LATE;
        return livesKnowingClock.get(request.life) == null ? Admission.UNKNOWN_LIFE : Admission.ADMITTED;
    }

    /**
     * Whether an order for the zone with a later bound was taken before: every caller waits equally long, so this one was sent
     * earlier, was long on its way, and its caller may have had the later one acknowledged meanwhile. Else takes note of its bound.
     */
    boolean isOvertaken(String zone, long bound) {
        if (bound < latestBoundByZone.getOrDefault(zone, bound)) return true;
        latestBoundByZone.put(zone, bound);
        return false;
    }

    /** Claims carry an identity of their own: holder, incarnation and try. */
    static Object withIdentity(CommandRequest request, Object command, byte[] body) {
        if (request.life == 0 || command instanceof Commands.Claim || command instanceof Commands.Finish)
            return command;
        var fenced = new Commands.Fenced();
        fenced.life = request.life;
        fenced.sequence = request.id;
        fenced.lowest = request.lowest;
        fenced.body = body;
        return fenced;
    }
}
