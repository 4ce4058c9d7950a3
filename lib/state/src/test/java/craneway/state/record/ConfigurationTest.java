package craneway.state.record;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.model.problem.ProblemKind;
import craneway.model.unit.Hash;
import craneway.state.message.Codec;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandResult;
import org.junit.jupiter.api.Test;

/** Which configurations are taken, taken once more, and refused, at the replicated state. */
class ConfigurationTest {
    private static final int OK = 0;

    private Records records = new Records();
    private long index;

    private CommandResult put(long base, long number, String source) {
        var c = new Commands.ManifestPut();
        c.baseVersion = base;
        c.senderNumber = number;
        c.text = "read: " + source;
        c.sourceText = source;
        return records.apply(++index, Codec.encodeTagged(c));
    }

    private CommandResult putUnnumbered(long base, String text) {
        var c = new Commands.ManifestPut();
        c.baseVersion = base;
        c.text = text;
        return records.apply(++index, Codec.encodeTagged(c));
    }

    private void reload() {
        var next = new Records();
        next.restoreSnapshot(records.encodeSnapshot());
        records = next;
    }

    private void rebuild() {
        records.apply(++index, Codec.encodeTagged(new Commands.Rebuilt()));
    }

    private Rows.Manifest newest() {
        return records.rows().manifest;
    }

    @Test
    void anAcknowledgedOneSentAgainIsAcknowledgedAgain() {
        assertEquals(OK, put(0, 3, "a").kind);
        for (var i = 0; i < 3; i++) {
            assertEquals(OK, put(0, 3, "a").kind);
            reload();
        }
        assertEquals(3, newest().version);
    }

    @Test
    void ofTwoUnderOneNumberOneIsTaken() {
        assertEquals(OK, put(0, 3, "a").kind);
        assertEquals(ProblemKind.RACE_LOST.code(), put(0, 3, "b").kind);
        assertEquals(OK, put(0, 3, "a").kind);
        assertEquals("a", newest().sourceText);
        assertEquals(ProblemKind.BAD_MANIFEST.code(), put(3, 3, "b").kind);
    }

    @Test
    void theSameTextOnAnotherBaseIsAnotherChange() {
        assertEquals(OK, put(0, 3, "a").kind);
        assertEquals(OK, put(3, 5, "b").kind);
        assertEquals(ProblemKind.RACE_LOST.code(), put(0, 5, "b").kind);
        assertEquals(OK, put(3, 5, "b").kind);
    }

    @Test
    void oneThatWasRefusedIsNeverTakenLater() {
        put(0, 3, "a");
        put(3, 5, "b");
        assertEquals(ProblemKind.RACE_LOST.code(), put(3, 7, "c").kind);
        put(5, 6, "d");
        assertEquals(ProblemKind.RACE_LOST.code(), put(3, 7, "c").kind);
        rebuild();
        assertEquals(ProblemKind.RACE_LOST.code(), put(3, 7, "c").kind);
    }

    @Test
    void aRebuildRefusesNeitherWhatWasAcknowledgedNorWhatBuildsOnIt() {
        put(0, 3, "a");
        rebuild();
        rebuild();
        assertEquals(OK, put(0, 3, "a").kind);
        assertTrue(newest().version > 2_000);
        var before = newest().version;
        assertEquals(OK, put(3, 9, "b").kind);
        assertTrue(newest().version > before);
        assertEquals(OK, put(3, 9, "b").kind);
        reload();
        assertEquals(OK, put(3, 9, "b").kind);
        assertEquals(ProblemKind.BAD_MANIFEST.code(), put(9, 9, "c").kind);
        assertEquals(OK, put(9, 10, "c").kind);
        assertEquals(ProblemKind.RACE_LOST.code(), put(3, 9, "x").kind);
    }

    @Test
    void aRebuildDoesNotRefuseOneWithoutANumberThatWasAcknowledged() {
        assertEquals(OK, putUnnumbered(0, "a").kind);
        assertEquals(OK, putUnnumbered(1, "b").kind);
        rebuild();
        assertEquals(OK, putUnnumbered(1, "b").kind);
        assertEquals(1_002, newest().version);
        assertEquals(ProblemKind.RACE_LOST.code(), putUnnumbered(1, "c").kind);
        assertEquals(OK, putUnnumbered(1_002, "c").kind);
    }

    @Test
    void ofMoreThanAreRememberedTheNewestAreAcknowledgedAgainAndOlderOnesHaveNoEffect() {
        var all = Fingerprint.REMEMBERED + 500;
        for (var n = 1; n <= all; n++) assertEquals(OK, put(n - 1, n, "text " + n).kind);
        assertEquals(Fingerprint.REMEMBERED, newest().legacyHashes.size());
        assertEquals(Fingerprint.REMEMBERED, newest().digests.size());
        reload();
        var oldest = all - Fingerprint.REMEMBERED + 1;
        assertEquals(OK, put(oldest - 1, oldest, "text " + oldest).kind);
        assertEquals(OK, put(all - 1, all, "text " + all).kind);
        assertEquals(ProblemKind.RACE_LOST.code(), put(oldest - 2, oldest - 1, "text " + (oldest - 1)).kind);
        assertEquals(all, newest().version);
        assertEquals("text " + all, newest().sourceText);
    }

    @Test
    void twoTextsOfOneHashAreToldApart() {
        put(0, 3, "a");
        newest().legacyHashes.put(3L, Hash.of(Hash.of("b"), 0));
        assertEquals(ProblemKind.RACE_LOST.code(), put(0, 3, "b").kind);
        assertEquals(OK, put(0, 3, "a").kind);
    }

    @Test
    void aSnapshotOfAnOlderProcessIsRead() {
        put(0, 3, "a");
        put(3, 5, "b");
        newest().digests.clear();
        newest().baseVersion = -1;
        reload();
        assertEquals(OK, put(3, 5, "b").kind);
        assertEquals(OK, put(0, 3, "a").kind);
        assertEquals(ProblemKind.RACE_LOST.code(), put(0, 3, "x").kind);
        assertEquals(OK, put(5, 6, "c").kind);
        assertEquals(OK, put(5, 6, "c").kind);
    }

    @Test
    void whatRoutersGetHoldsNoFingerprints() {
        put(0, 3, "a");
        assertTrue(newest().copyForPublication().legacyHashes.isEmpty());
        assertTrue(newest().copyForPublication().digests.isEmpty());
        assertEquals(0, newest().copyForPublication().sourceText.length());
    }
}
