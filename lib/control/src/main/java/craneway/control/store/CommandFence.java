package craneway.control.store;

import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandRequest;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides, on the leader of a part, whether a command may be proposed. A command names a term and a deadline: the time,
 * by the steady clock of that term's leader, until which its sender waits. A command that arrives after its deadline,
 * or whose deadline refers to the clock of another leader, has no effect.
 *
 * <p>An entry is appended when it is proposed, and an entry of a deposed leader is never committed after one of its
 * successor. So no command takes effect after something that was acknowledged later than its deadline. There is one
 * fence for each part; it does no I/O. A session is one run of a process and has a random id; "life" stands for session
 * in the names of problems.
 */
final class CommandFence {
    /**
     * What to do with a command: propose it, or decline it as late or as coming from a process that has not received
     * this leader's clock.
     */
    enum Admission {
        ADMITTED,
        LATE,
        UNKNOWN_SESSION
    }

    /** No sender waits longer; a deadline farther ahead is invalid. */
    static final long MAX_WAIT_MICROS = 60_000_000;

    /** The processes that were sent the clock are remembered up to this number, the most recently used ones. */
    private static final int MAX_KNOWN_SESSIONS = 1_024;

    private final Map<Long, Boolean> sessionsKnowingClock = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > MAX_KNOWN_SESSIONS;
        }
    };

    private final Map<String, Long> latestDeadlineByZone = new HashMap<>();

    /** Forgets which processes know the clock, and all deadlines; called at the start of each term. */
    void reset() {
        sessionsKnowingClock.clear();
        latestDeadlineByZone.clear();
    }

    /** Records that the leader sends its clock to this process. */
    void recordClockSent(long sessionId) {
        sessionsKnowingClock.put(sessionId, true);
    }

    /** Checks the term and the deadline of a command from a process that states its session id. */
    Admission check(CommandRequest request, long term, long now) {
        if (request.leaderTerm != term
                || now > request.leaderDeadline
                || request.leaderDeadline > now + MAX_WAIT_MICROS) return Admission.LATE;
        return sessionsKnowingClock.get(request.sessionId) == null ? Admission.UNKNOWN_SESSION : Admission.ADMITTED;
    }

    /**
     * Whether a command for the zone with a later deadline was admitted before; if not, records this deadline. All
     * callers wait equally long, so a command with an earlier deadline was sent earlier and was delayed in transit, and
     * its caller may have had the later command acknowledged meanwhile.
     */
    boolean isOvertaken(String zone, long deadline) {
        if (deadline < latestDeadlineByZone.getOrDefault(zone, deadline)) return true;
        latestDeadlineByZone.put(zone, deadline);
        return false;
    }

    /**
     * Wraps a command with the identity of its sender, so that it is applied once. Claims are left as they are:
     * holder, incarnation and attempt already identify them.
     */
    static Object withIdentity(CommandRequest request, Object command, byte[] body) {
        if (request.sessionId == 0 || command instanceof Commands.ClaimTake || command instanceof Commands.ClaimFinish)
            return command;
        var identified = new Commands.IdentifiedCommand();
        identified.sessionId = request.sessionId;
        identified.sequence = request.id;
        identified.lowestPending = request.lowestPending;
        identified.body = body;
        return identified;
    }
}
