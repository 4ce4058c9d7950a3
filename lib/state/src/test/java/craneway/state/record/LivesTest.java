package craneway.state.record;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.model.problem.ProblemKind;
import craneway.state.message.Codec;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandResult;
import org.junit.jupiter.api.Test;

/** A command under an identity is applied once, and the table of identities stays bounded. */
class LivesTest {
    private static final long LIFE = 0x9e37_79b9_7f4a_7c15L;

    private Records records = new Records();
    private long index;

    private CommandResult apply(long life, long sequence, long lowest, Object command) {
        var f = new Commands.IdentifiedCommand();
        f.sessionId = life;
        f.sequence = sequence;
        f.lowestPending = lowest;
        f.body = Codec.encodeTagged(command);
        return records.apply(++index, Codec.encodeTagged(f));
    }

    private static Commands.ZoneMark mark(boolean emptied) {
        var c = new Commands.ZoneMark();
        c.zone = "z1";
        c.emptied = emptied;
        return c;
    }

    private boolean emptied() {
        return records.rows().manifest.marks.containsKey("zone:z1");
    }

    @Test
    void aCopyReturnsTheFirstVerdictAndHasNoSecondEffect() {
        var first = apply(LIFE, 7, 7, mark(true));
        apply(LIFE + 1, 3, 3, mark(false));
        var copy = apply(LIFE, 7, 7, mark(true));
        assertEquals(first.version, copy.version);
        assertEquals(0, copy.kind);
        assertFalse(emptied());
    }

    @Test
    void aRefusalIsRememberedToo() {
        var c = new Commands.PlanConfirm();
        c.plan = 9;
        var first = apply(LIFE, 1, 1, c);
        var copy = apply(LIFE, 1, 1, c);
        assertEquals(ProblemKind.UNKNOWN_PLAN.code(), first.kind);
        assertEquals(first.kind, copy.kind);
        assertEquals(first.detail, copy.detail);
        assertEquals(first.retryAfterMicros, copy.retryAfterMicros);
    }

    @Test
    void aSequenceBelowTheFloorHasNoEffect() {
        apply(LIFE, 10, 10, mark(false));
        var late = apply(LIFE, 9, 9, mark(true));
        assertEquals(ProblemKind.LATE_COMMAND.code(), late.kind);
        assertFalse(emptied());
    }

    @Test
    void whatItsProcessNoLongerWaitsForIsForgotten() {
        for (var i = 1; i <= 5; i++) apply(LIFE, i, 1, mark(i % 2 == 0));
        assertEquals(5, records.rows().sessions.get(LIFE).results.size());
        apply(LIFE, 6, 5, mark(true));
        assertEquals(2, records.rows().sessions.get(LIFE).results.size());
        assertNull(records.recordedResult(LIFE, 4));
        assertNotNull(records.recordedResult(LIFE, 5));
        assertEquals(ProblemKind.LATE_COMMAND.code(), apply(LIFE, 4, 4, mark(false)).kind);
        assertTrue(emptied());
    }

    @Test
    void theVerdictsOfALifeAreBounded() {
        for (var i = 1; i <= 3 * Lives.VERDICTS; i++) apply(LIFE, i, 1, mark(true));
        assertEquals(Lives.VERDICTS, records.rows().sessions.get(LIFE).results.size());
        assertEquals(ProblemKind.LATE_COMMAND.code(), apply(LIFE, 1, 1, mark(false)).kind);
        assertTrue(emptied());
    }

    @Test
    void theLivesAreBoundedAndTheIdlestGoesFirst() {
        apply(LIFE, 1, 1, mark(true));
        for (var i = 1; i <= Lives.LIVES; i++) {
            apply(i, 1, 1, mark(true));
            if (i == Lives.LIVES / 2) apply(LIFE, 2, 1, mark(true));
        }
        assertEquals(Lives.LIVES, records.rows().sessions.size());
        assertTrue(records.rows().sessions.containsKey(LIFE));
        assertFalse(records.rows().sessions.containsKey(1L));
    }

    @Test
    void theTableIsPartOfTheSnapshot() {
        apply(LIFE, 7, 7, mark(true));
        apply(LIFE + 1, 3, 3, mark(false));
        var other = new Records();
        other.restoreSnapshot(records.encodeSnapshot());
        records = other;
        assertEquals(0, apply(LIFE, 7, 7, mark(true)).kind);
        assertFalse(emptied());
        assertEquals(ProblemKind.LATE_COMMAND.code(), apply(LIFE, 6, 6, mark(true)).kind);
    }

    @Test
    void replicasThatApplyTheSameEntriesHoldTheSameSnapshot() {
        var other = new Records();
        for (var i = 1; i <= 2_000; i++) {
            var f = new Commands.IdentifiedCommand();
            f.sessionId = LIFE * (i % 7);
            f.sequence = i - i % 3;
            f.lowestPending = i - 20;
            f.body = Codec.encodeTagged(mark(i % 5 < 2));
            var b = Codec.encodeTagged(f);
            records.apply(i, b);
            other.apply(i, b);
        }
        assertArrayEquals(records.encodeSnapshot(), other.encodeSnapshot());
    }

    @Test
    void aCommandWithinACommandIsRefused() {
        var inner = new Commands.IdentifiedCommand();
        inner.body = Codec.encodeTagged(mark(true));
        assertEquals(ProblemKind.BAD_MESSAGE.code(), apply(LIFE, 1, 1, inner).kind);
        assertFalse(emptied());
    }

    @Test
    void aCommandWithoutIdentityIsAppliedAsBefore() {
        assertEquals(0, records.apply(++index, Codec.encodeTagged(mark(true))).kind);
        assertTrue(emptied());
        assertTrue(records.rows().sessions.isEmpty());
    }
}
