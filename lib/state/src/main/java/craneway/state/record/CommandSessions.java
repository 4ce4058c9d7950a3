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
 * below {@link Rows.Life#floor} is refused without effect.
 */
final class CommandSessions {
    /** The session that has been idle for longest is dropped beyond this number. */
    static final int MAX_SESSIONS = 1_024;

    /** The oldest results of a session are dropped beyond this number. */
    static final int MAX_RESULTS_PER_SESSION = 256;

    private CommandSessions() {}

    /** Applies a command unless its result is already recorded, and returns the result. */
    static CommandResult applyOnce(Rows.Whole rows, Commands.Fenced command, Function<Object, CommandResult> handler) {
        var recorded = recordedResult(rows, command.life, command.sequence);
        if (recorded != null) return recorded;
        var session = rows.lives.computeIfAbsent(command.life, id -> new Rows.Life());
        session.index = rows.index;
        if (command.sequence < session.floor)
            return Records.failure(ProblemKind.LATE_COMMAND, "ask " + command.sequence + " is below " + session.floor);
        var result = handler.apply(Codec.readTagged(command.body));
        session.applied.put(command.sequence, toRecord(result));
        trimResults(session, command.lowest);
        while (rows.lives.size() > MAX_SESSIONS) rows.lives.remove(leastRecentlyUsed(rows));
        return result;
    }

    /** Returns the recorded result of a command, or null if there is none. */
    static CommandResult recordedResult(Rows.Whole rows, long sessionId, long sequence) {
        var session = rows.lives.get(sessionId);
        var recorded = session == null ? null : session.applied.get(sequence);
        return recorded == null ? null : toResult(recorded);
    }

    private static void trimResults(Rows.Life session, long lowestPending) {
        session.floor = Math.max(session.floor, lowestPending);
        session.applied.headMap(session.floor).clear();
        while (session.applied.size() > MAX_RESULTS_PER_SESSION)
            session.floor = session.applied.pollFirstEntry().getKey() + 1;
    }

    /** Returns the id of the session whose latest command is the oldest. */
    private static Long leastRecentlyUsed(Rows.Whole rows) {
        return rows.lives.entrySet().stream()
                .min(Comparator.comparingLong(entry -> entry.getValue().index))
                .map(Map.Entry::getKey)
                .orElseThrow();
    }

    private static Rows.Applied toRecord(CommandResult result) {
        var recorded = new Rows.Applied();
        recorded.kind = result.kind;
        recorded.detail = result.detail;
        recorded.retryAfter = result.retryAfter;
        recorded.version = result.version;
        return recorded;
    }

    private static CommandResult toResult(Rows.Applied recorded) {
        var result = new CommandResult();
        result.kind = recorded.kind;
        result.detail = recorded.detail;
        result.retryAfter = recorded.retryAfter;
        result.version = recorded.version;
        return result;
    }
}
