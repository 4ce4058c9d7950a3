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

    static CommandResult once(Rows.Whole rows, Commands.Fenced f, Function<Object, CommandResult> handle) {
        var known = verdict(rows, f.life, f.sequence);
        if (known != null) return known;
        var life = rows.lives.computeIfAbsent(f.life, k -> new Rows.Life());
        life.index = rows.index;
        if (f.sequence < life.floor)
            return Records.failure(ProblemKind.LATE_COMMAND, "ask " + f.sequence + " is below " + life.floor);
        var v = handle.apply(Codec.readTagged(f.body));
        life.applied.put(f.sequence, applied(v));
        trim(life, f.lowest);
        while (rows.lives.size() > LIVES) rows.lives.remove(idle(rows));
        return v;
    }

    static CommandResult verdict(Rows.Whole rows, long life, long sequence) {
        var l = rows.lives.get(life);
        var a = l == null ? null : l.applied.get(sequence);
        return a == null ? null : verdict(a);
    }

    private static void trim(Rows.Life life, long lowest) {
        life.floor = Math.max(life.floor, lowest);
        life.applied.headMap(life.floor).clear();
        while (life.applied.size() > VERDICTS)
            life.floor = life.applied.pollFirstEntry().getKey() + 1;
    }

    /** The life that has been idle for longest. */
    private static Long idle(Rows.Whole rows) {
        return rows.lives.entrySet().stream()
                .min(Comparator.comparingLong(e -> e.getValue().index))
                .map(Map.Entry::getKey)
                .orElseThrow();
    }

    private static Rows.Applied applied(CommandResult v) {
        var a = new Rows.Applied();
        a.kind = v.kind;
        a.detail = v.detail;
        a.retryAfter = v.retryAfter;
        a.version = v.version;
        return a;
    }

    private static CommandResult verdict(Rows.Applied a) {
        var v = new CommandResult();
        v.kind = a.kind;
        v.detail = a.detail;
        v.retryAfter = a.retryAfter;
        v.version = a.version;
        return v;
    }
}
