package craneway.state.record;

import craneway.model.problem.ProblemKind;
import craneway.state.message.Commands;
import craneway.state.message.MarkKey;
import craneway.state.message.Messages.CommandResult;
import craneway.state.message.Plan;

/** Handles the commands about the manifest and the marks on zones. */
final class ManifestCommands {
    private ManifestCommands() {}

    /**
     * Accepts a new manifest if it is based on the version in force. A copy of the accepted manifest is acknowledged
     * again.
     */
    static CommandResult putManifest(Rows.Whole rows, Commands.ManifestPut command) {
        var manifest = rows.manifest;
        if (command.number > 0) return putNumbered(rows, command, manifest);
        if (command.base == baseVersionOf(manifest) && command.text.equals(manifest.text))
            return acceptedResult(manifest);
        if (command.base != manifest.version)
            return Records.failure(
                    ProblemKind.RACE_LOST,
                    "written against version " + command.base + ", in force is version " + manifest.version);
        manifest.base = command.base;
        manifest.number = 0;
        manifest.version++;
        manifest.text = command.text;
        manifest.topicVersion = rows.index;
        return acceptedResult(manifest);
    }

    /**
     * Returns the version that the manifest in force is based on. Snapshots of older processes do not record it; it is
     * then taken to be the previous version.
     */
    private static long baseVersionOf(Rows.Manifest manifest) {
        return manifest.base < 0 ? manifest.version - 1 : manifest.base;
    }

    private static CommandResult putNumbered(Rows.Whole rows, Commands.ManifestPut command, Rows.Manifest manifest) {
        var fingerprint = ConfigurationFingerprint.of(command.source, command.base);
        if (fingerprint.matchesRecorded(command.number, manifest)) return acceptedResult(manifest);
        if (command.base != manifest.known())
            return Records.failure(
                    ProblemKind.RACE_LOST,
                    "written against version " + command.base + ", in force is version " + manifest.known());
        if (command.number <= manifest.known())
            return Records.failure(
                    ProblemKind.BAD_MANIFEST, "version " + command.number + " is not above " + manifest.known());
        manifest.base = command.base;
        manifest.version = Math.max(command.number, manifest.version + 1);
        manifest.number = manifest.version == command.number ? 0 : command.number;
        manifest.text = command.text;
        manifest.source = command.source;
        manifest.topicVersion = rows.index;
        fingerprint.remember(command.number, manifest);
        return acceptedResult(manifest);
    }

    private static CommandResult acceptedResult(Rows.Manifest manifest) {
        var result = Records.okWithVersion(manifest.topicVersion);
        result.detail = Long.toString(manifest.version);
        return result;
    }

    /** Sets or clears the mark that empties a zone. */
    static CommandResult markZone(Rows.Whole rows, Commands.ZoneMark command) {
        var manifest = rows.manifest;
        var key = MarkKey.zone(command.zone).text();
        if (manifest.marks.containsKey(key) == command.emptied) return Records.okWithVersion(manifest.topicVersion);
        if (command.emptied) manifest.marks.put(key, Plan.EMPTIED);
        else manifest.marks.remove(key);
        manifest.marksVersion++;
        manifest.topicVersion = rows.index;
        return Records.okWithVersion(manifest.topicVersion);
    }
}
