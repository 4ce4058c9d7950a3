package craneway.state.record;

import craneway.model.problem.ProblemKind;
import craneway.state.message.Codec;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandResult;
import java.util.Comparator;
import java.util.Map;
import java.util.function.Function;

/**
 * Applies an identified command exactly once, however many copies of it the log holds. For each session, which is one
 * run of a client process, it keeps the results of the commands that the process may still send again. Each command
 * names the lowest sequence number whose result the process still waits for.
 *
 * <p>The number of sessions and the number of results of each session are bounded. A command whose sequence number is
 * below {@link Rows.Session#lowestSequence} is refused without effect.
 */
final class CommandSessions {
    /** The session that has been idle for longest is dropped beyond this number. */
    static final int MAX_SESSIONS = 1_024;

    /** The oldest results of a session are dropped beyond this number. */
    static final int MAX_RESULTS_PER_SESSION = 256;

    private CommandSessions() {}

    /** Applies a command unless its result is already recorded, and returns the result. */
    static CommandResult applyOnce(
            Rows.PartState rows, Commands.IdentifiedCommand command, Function<Object, CommandResult> handler) {
        var recorded = recordedResult(rows, command.sessionId, command.sequence);
        if (recorded != null) return recorded;
        var session = rows.sessions.computeIfAbsent(command.sessionId, id -> new Rows.Session());
        session.lastIndex = rows.lastIndex;
        if (command.sequence < session.lowestSequence)
            return Records.failure(
                    ProblemKind.LATE_COMMAND, "ask " + command.sequence + " is below " + session.lowestSequence);
        var result = handler.apply(Codec.decodeTagged(command.body));
        session.results.put(command.sequence, toRecord(result));
        trimResults(session, command.lowestPending);
        while (rows.sessions.size() > MAX_SESSIONS) rows.sessions.remove(leastRecentlyUsed(rows));
        return result;
    }

    /** Returns the recorded result of a command, or null if there is none. */
    static CommandResult recordedResult(Rows.PartState rows, long sessionId, long sequence) {
        var session = rows.sessions.get(sessionId);
        var recorded = session == null ? null : session.results.get(sequence);
        return recorded == null ? null : toResult(recorded);
    }

    private static void trimResults(Rows.Session session, long lowestPending) {
        session.lowestSequence = Math.max(session.lowestSequence, lowestPending);
        session.results.headMap(session.lowestSequence).clear();
        while (session.results.size() > MAX_RESULTS_PER_SESSION)
            session.lowestSequence = session.results.pollFirstEntry().getKey() + 1;
    }

    /** Returns the id of the session whose latest command is the oldest. */
    private static Long leastRecentlyUsed(Rows.PartState rows) {
        return rows.sessions.entrySet().stream()
                .min(Comparator.comparingLong(entry -> entry.getValue().lastIndex))
                .map(Map.Entry::getKey)
                .orElseThrow();
    }

    private static Rows.RecordedResult toRecord(CommandResult result) {
        var recorded = new Rows.RecordedResult();
        recorded.kind = result.kind;
        recorded.detail = result.detail;
        recorded.retryAfterMicros = result.retryAfterMicros;
        recorded.version = result.version;
        return recorded;
    }

    private static CommandResult toResult(Rows.RecordedResult recorded) {
        var result = new CommandResult();
        result.kind = recorded.kind;
        result.detail = recorded.detail;
        result.retryAfterMicros = recorded.retryAfterMicros;
        result.version = recorded.version;
        return result;
    }
}
