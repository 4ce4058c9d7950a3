package craneway.state.record;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.model.problem.ProblemKind;
import craneway.model.unit.Hash;
import craneway.state.message.Codec;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandResult;
import org.junit.jupiter.api.Test;

/** Checks which configurations the replicated state accepts, acknowledges again, or refuses. */
class ConfigurationTest {
    private static final int OK = 0;

    private Records records = new Records();
    private long index;

    private CommandResult put(long base, long number, String source) {
        var command = new Commands.ManifestPut();
        command.baseVersion = base;
        command.senderNumber = number;
        command.text = "read: " + source;
        command.sourceText = source;
        return records.apply(++index, Codec.encodeTagged(command));
    }

    private CommandResult putUnnumbered(long base, String text) {
        var command = new Commands.ManifestPut();
        command.baseVersion = base;
        command.text = text;
        return records.apply(++index, Codec.encodeTagged(command));
    }

    private void reload() {
        var reloaded = new Records();
        reloaded.restoreSnapshot(records.encodeSnapshot());
        records = reloaded;
    }

    private void rebuild() {
        records.apply(++index, Codec.encodeTagged(new Commands.Rebuilt()));
    }

    private Rows.Manifest newestManifest() {
        return records.rows().manifest;
    }

    @Test
    void resubmissionIsAcknowledgedAgain() {
        assertEquals(OK, put(0, 3, "a").kind);
        for (var i = 0; i < 3; i++) {
            assertEquals(OK, put(0, 3, "a").kind);
            reload();
        }
        assertEquals(3, newestManifest().version);
    }

    @Test
    void secondConfigurationUnderSameNumberIsRefused() {
        assertEquals(OK, put(0, 3, "a").kind);
        assertEquals(ProblemKind.RACE_LOST.code(), put(0, 3, "b").kind);
        assertEquals(OK, put(0, 3, "a").kind);
        assertEquals("a", newestManifest().sourceText);
        assertEquals(ProblemKind.BAD_MANIFEST.code(), put(3, 3, "b").kind);
    }

    @Test
    void sameTextOnOtherBaseIsAnotherConfiguration() {
        assertEquals(OK, put(0, 3, "a").kind);
        assertEquals(OK, put(3, 5, "b").kind);
        assertEquals(ProblemKind.RACE_LOST.code(), put(0, 5, "b").kind);
        assertEquals(OK, put(3, 5, "b").kind);
    }

    @Test
    void refusedConfigurationIsNeverAcceptedLater() {
        put(0, 3, "a");
        put(3, 5, "b");
        assertEquals(ProblemKind.RACE_LOST.code(), put(3, 7, "c").kind);
        put(5, 6, "d");
        assertEquals(ProblemKind.RACE_LOST.code(), put(3, 7, "c").kind);
        rebuild();
        assertEquals(ProblemKind.RACE_LOST.code(), put(3, 7, "c").kind);
    }

    @Test
    void rebuildKeepsAcknowledgedConfigurationAndItsSuccessorsValid() {
        put(0, 3, "a");
        rebuild();
        rebuild();
        assertEquals(OK, put(0, 3, "a").kind);
        assertTrue(newestManifest().version > 2_000);
        var before = newestManifest().version;
        assertEquals(OK, put(3, 9, "b").kind);
        assertTrue(newestManifest().version > before);
        assertEquals(OK, put(3, 9, "b").kind);
        reload();
        assertEquals(OK, put(3, 9, "b").kind);
        assertEquals(ProblemKind.BAD_MANIFEST.code(), put(9, 9, "c").kind);
        assertEquals(OK, put(9, 10, "c").kind);
        assertEquals(ProblemKind.RACE_LOST.code(), put(3, 9, "x").kind);
    }

    @Test
    void rebuildKeepsUnnumberedConfigurationAcknowledged() {
        assertEquals(OK, putUnnumbered(0, "a").kind);
        assertEquals(OK, putUnnumbered(1, "b").kind);
        rebuild();
        assertEquals(OK, putUnnumbered(1, "b").kind);
        assertEquals(1_002, newestManifest().version);
        assertEquals(ProblemKind.RACE_LOST.code(), putUnnumbered(1, "c").kind);
        assertEquals(OK, putUnnumbered(1_002, "c").kind);
    }

    @Test
    void onlyNewestConfigurationsAreRemembered() {
        var total = ConfigurationFingerprint.MAX_REMEMBERED + 500;
        for (var number = 1; number <= total; number++)
            assertEquals(OK, put(number - 1, number, "text " + number).kind);
        assertEquals(
                ConfigurationFingerprint.MAX_REMEMBERED,
                newestManifest().legacyHashes.size());
        assertEquals(
                ConfigurationFingerprint.MAX_REMEMBERED,
                newestManifest().digests.size());
        reload();
        var oldest = total - ConfigurationFingerprint.MAX_REMEMBERED + 1;
        assertEquals(OK, put(oldest - 1, oldest, "text " + oldest).kind);
        assertEquals(OK, put(total - 1, total, "text " + total).kind);
        assertEquals(ProblemKind.RACE_LOST.code(), put(oldest - 2, oldest - 1, "text " + (oldest - 1)).kind);
        assertEquals(total, newestManifest().version);
        assertEquals("text " + total, newestManifest().sourceText);
    }

    @Test
    void textsWithSameLegacyHashAreDistinguished() {
        put(0, 3, "a");
        newestManifest().legacyHashes.put(3L, Hash.of(Hash.of("b"), 0));
        assertEquals(ProblemKind.RACE_LOST.code(), put(0, 3, "b").kind);
        assertEquals(OK, put(0, 3, "a").kind);
    }

    @Test
    void snapshotOfOlderProcessIsRead() {
        put(0, 3, "a");
        put(3, 5, "b");
        newestManifest().digests.clear();
        newestManifest().baseVersion = -1;
        reload();
        assertEquals(OK, put(3, 5, "b").kind);
        assertEquals(OK, put(0, 3, "a").kind);
        assertEquals(ProblemKind.RACE_LOST.code(), put(0, 3, "x").kind);
        assertEquals(OK, put(5, 6, "c").kind);
        assertEquals(OK, put(5, 6, "c").kind);
    }

    @Test
    void publishedCopyHasNoFingerprints() {
        put(0, 3, "a");
        assertTrue(newestManifest().copyForPublication().legacyHashes.isEmpty());
        assertTrue(newestManifest().copyForPublication().digests.isEmpty());
        assertEquals(0, newestManifest().copyForPublication().sourceText.length());
    }
}
