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
    static CommandResult putManifest(Rows.PartState rows, Commands.ManifestPut command) {
        var manifest = rows.manifest;
        if (command.senderNumber > 0) return putNumbered(rows, command, manifest);
        if (command.baseVersion == baseVersionOf(manifest) && command.text.equals(manifest.text))
            return acceptedResult(manifest);
        if (command.baseVersion != manifest.version)
            return Records.failure(
                    ProblemKind.RACE_LOST,
                    "written against version " + command.baseVersion + ", in force is version " + manifest.version);
        manifest.baseVersion = command.baseVersion;
        manifest.senderNumber = 0;
        manifest.version++;
        manifest.text = command.text;
        manifest.topicVersion = rows.lastIndex;
        return acceptedResult(manifest);
    }

    /**
     * Returns the version that the manifest in force is based on. Snapshots of older processes do not record it; it is
     * then taken to be the previous version.
     */
    private static long baseVersionOf(Rows.Manifest manifest) {
        return manifest.baseVersion < 0 ? manifest.version - 1 : manifest.baseVersion;
    }

    private static CommandResult putNumbered(
            Rows.PartState rows, Commands.ManifestPut command, Rows.Manifest manifest) {
        var fingerprint = ConfigurationFingerprint.of(command.sourceText, command.baseVersion);
        if (fingerprint.matchesRecorded(command.senderNumber, manifest)) return acceptedResult(manifest);
        if (command.baseVersion != manifest.knownNumber())
            return Records.failure(
                    ProblemKind.RACE_LOST,
                    "written against version " + command.baseVersion + ", in force is version "
                            + manifest.knownNumber());
        if (command.senderNumber <= manifest.knownNumber())
            return Records.failure(
                    ProblemKind.BAD_MANIFEST,
                    "version " + command.senderNumber + " is not above " + manifest.knownNumber());
        manifest.baseVersion = command.baseVersion;
        manifest.version = Math.max(command.senderNumber, manifest.version + 1);
        manifest.senderNumber = manifest.version == command.senderNumber ? 0 : command.senderNumber;
        manifest.text = command.text;
        manifest.sourceText = command.sourceText;
        manifest.topicVersion = rows.lastIndex;
        fingerprint.remember(command.senderNumber, manifest);
        return acceptedResult(manifest);
    }

    private static CommandResult acceptedResult(Rows.Manifest manifest) {
        var result = Records.okWithVersion(manifest.topicVersion);
        result.detail = Long.toString(manifest.version);
        return result;
    }

    /** Sets or clears the mark that empties a zone. */
    static CommandResult markZone(Rows.PartState rows, Commands.ZoneMark command) {
        var manifest = rows.manifest;
        var key = MarkKey.zone(command.zone).text();
        if (manifest.marks.containsKey(key) == command.emptied) return Records.okWithVersion(manifest.topicVersion);
        if (command.emptied) manifest.marks.put(key, Plan.EMPTIED);
        else manifest.marks.remove(key);
        manifest.marksVersion++;
        manifest.topicVersion = rows.lastIndex;
        return Records.okWithVersion(manifest.topicVersion);
    }
}
