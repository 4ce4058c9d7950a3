package craneway.state.record;

import craneway.model.problem.ProblemKind;
import craneway.state.message.Commands;
import craneway.state.message.MarkKey;
import craneway.state.message.Messages.CommandResult;
import craneway.state.message.Plan;

/** Handles the commands about configurations and emptied zones. */
final class ManifestCommands {
    private ManifestCommands() {}

    static CommandResult manifestPut(Rows.Whole rows, Commands.ManifestPut c) {
        var m = rows.manifest;
        if (c.number > 0) return numbered(rows, c, m);
        if (c.base == base(m) && c.text.equals(m.text)) return taken(m);
        if (c.base != m.version)
            return Records.failure(
                    ProblemKind.RACE_LOST, "written against version " + c.base + ", in force is version " + m.version);
        m.base = c.base;
        m.number = 0;
        m.version++;
        m.text = c.text;
        m.topicVersion = rows.index;
        return taken(m);
    }

    /** What the newest one was built on; snapshots of older processes do not tell. */
    private static long base(Rows.Manifest m) {
        return m.base < 0 ? m.version - 1 : m.base;
    }

    private static CommandResult numbered(Rows.Whole rows, Commands.ManifestPut c, Rows.Manifest m) {
        var change = Fingerprint.of(c.source, c.base);
        if (change.isThatOf(c.number, m)) return taken(m);
        if (c.base != m.known())
            return Records.failure(
                    ProblemKind.RACE_LOST, "written against version " + c.base + ", in force is version " + m.known());
        if (c.number <= m.known())
            return Records.failure(ProblemKind.BAD_MANIFEST, "version " + c.number + " is not above " + m.known());
        m.base = c.base;
        m.version = Math.max(c.number, m.version + 1);
        m.number = m.version == c.number ? 0 : c.number;
        m.text = c.text;
        m.source = c.source;
        m.topicVersion = rows.index;
        change.remember(c.number, m);
        return taken(m);
    }

    private static CommandResult taken(Rows.Manifest m) {
        var v = Records.versioned(m.topicVersion);
        v.detail = Long.toString(m.version);
        return v;
    }

    static CommandResult zoneMark(Rows.Whole rows, Commands.ZoneMark c) {
        var m = rows.manifest;
        var key = MarkKey.zone(c.zone).text();
        if (m.marks.containsKey(key) == c.emptied) return Records.versioned(m.topicVersion);
        if (c.emptied) m.marks.put(key, Plan.EMPTIED);
        else m.marks.remove(key);
        m.marksVersion++;
        m.topicVersion = rows.index;
        return Records.versioned(m.topicVersion);
    }
}
