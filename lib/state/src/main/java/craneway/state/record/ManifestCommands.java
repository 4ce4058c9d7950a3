package craneway.state.record;

import craneway.model.problem.ProblemKind;
import craneway.state.message.Commands;
import craneway.state.message.MarkKey;
import craneway.state.message.Messages.CommandResult;
import craneway.state.message.Plan;

/** Handles the commands about configurations and emptied zones. */
final class ManifestCommands {
    private ManifestCommands() {}

    static CommandResult manifestPut(Rows.PartState rows, Commands.ManifestPut c) {
        var m = rows.manifest;
        if (c.senderNumber > 0) return numbered(rows, c, m);
        if (c.baseVersion == base(m) && c.text.equals(m.text)) return taken(m);
        if (c.baseVersion != m.version)
            return Records.failure(
                    ProblemKind.RACE_LOST, "written against version " + c.baseVersion + ", in force is version " + m.version);
        m.baseVersion = c.baseVersion;
        m.senderNumber = 0;
        m.version++;
        m.text = c.text;
        m.topicVersion = rows.lastIndex;
        return taken(m);
    }

    /** What the newest one was built on; snapshots of older processes do not tell. */
    private static long base(Rows.Manifest m) {
        return m.baseVersion < 0 ? m.version - 1 : m.baseVersion;
    }

    private static CommandResult numbered(Rows.PartState rows, Commands.ManifestPut c, Rows.Manifest m) {
        var change = Fingerprint.of(c.sourceText, c.baseVersion);
        if (change.isThatOf(c.senderNumber, m)) return taken(m);
        if (c.baseVersion != m.knownNumber())
            return Records.failure(
                    ProblemKind.RACE_LOST, "written against version " + c.baseVersion + ", in force is version " + m.knownNumber());
        if (c.senderNumber <= m.knownNumber())
            return Records.failure(ProblemKind.BAD_MANIFEST, "version " + c.senderNumber + " is not above " + m.knownNumber());
        m.baseVersion = c.baseVersion;
        m.version = Math.max(c.senderNumber, m.version + 1);
        m.senderNumber = m.version == c.senderNumber ? 0 : c.senderNumber;
        m.text = c.text;
        m.sourceText = c.sourceText;
        m.topicVersion = rows.lastIndex;
        change.remember(c.senderNumber, m);
        return taken(m);
    }

    private static CommandResult taken(Rows.Manifest m) {
        var v = Records.versioned(m.topicVersion);
        v.detail = Long.toString(m.version);
        return v;
    }

    static CommandResult zoneMark(Rows.PartState rows, Commands.ZoneMark c) {
        var m = rows.manifest;
        var key = MarkKey.zone(c.zone).text();
        if (m.marks.containsKey(key) == c.emptied) return Records.versioned(m.topicVersion);
        if (c.emptied) m.marks.put(key, Plan.EMPTIED);
        else m.marks.remove(key);
        m.marksVersion++;
        m.topicVersion = rows.lastIndex;
        return Records.versioned(m.topicVersion);
    }
}
