package craneway.state.record;

import craneway.model.problem.ProblemKind;
import craneway.state.message.Codec;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandResult;
import java.util.Comparator;
import java.util.Map;
import java.util.function.Function;

/**
 * Applies a command that carries its asker's identity once, whatever number of copies the log holds. Each life keeps the
 * verdicts of the commands that its process may still send again; the process tells with each the least it waits for. Both
 * the lives and the verdicts of one are bounded, and a sequence below a life's floor is refused without effect.
 */
final class Lives {
    static final int LIVES = 1_024, VERDICTS = 256;

    private Lives() {}

    static CommandResult once(Rows.PartState rows, Commands.IdentifiedCommand f, Function<Object, CommandResult> handle) {
        var known = verdict(rows, f.sessionId, f.sequence);
        if (known != null) return known;
        var life = rows.sessions.computeIfAbsent(f.sessionId, k -> new Rows.Session());
        life.lastIndex = rows.lastIndex;
        if (f.sequence < life.lowestSequence)
            return Records.failure(ProblemKind.LATE_COMMAND, "ask " + f.sequence + " is below " + life.lowestSequence);
        var v = handle.apply(Codec.decodeTagged(f.body));
        life.results.put(f.sequence, applied(v));
        trim(life, f.lowestPending);
        while (rows.sessions.size() > LIVES) rows.sessions.remove(idle(rows));
        return v;
    }

    static CommandResult verdict(Rows.PartState rows, long life, long sequence) {
        var l = rows.sessions.get(life);
        var a = l == null ? null : l.results.get(sequence);
        return a == null ? null : verdict(a);
    }

    private static void trim(Rows.Session life, long lowest) {
        life.lowestSequence = Math.max(life.lowestSequence, lowest);
        life.results.headMap(life.lowestSequence).clear();
        while (life.results.size() > VERDICTS)
            life.lowestSequence = life.results.pollFirstEntry().getKey() + 1;
    }

    /** The life that has been idle for longest. */
    private static Long idle(Rows.PartState rows) {
        return rows.sessions.entrySet().stream()
                .min(Comparator.comparingLong(e -> e.getValue().lastIndex))
                .map(Map.Entry::getKey)
                .orElseThrow();
    }

    private static Rows.RecordedResult applied(CommandResult v) {
        var a = new Rows.RecordedResult();
        a.kind = v.kind;
        a.detail = v.detail;
        a.retryAfterMicros = v.retryAfterMicros;
        a.version = v.version;
        return a;
    }

    private static CommandResult verdict(Rows.RecordedResult a) {
        var v = new CommandResult();
        v.kind = a.kind;
        v.detail = a.detail;
        v.retryAfterMicros = a.retryAfterMicros;
        v.version = a.version;
        return v;
    }
}
