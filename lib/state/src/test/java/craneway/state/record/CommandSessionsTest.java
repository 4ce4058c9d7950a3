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

/** Checks that an identified command is applied exactly once and that the table of sessions stays bounded. */
class CommandSessionsTest {
    private static final long SESSION_ID = 0x9e37_79b9_7f4a_7c15L;

    private Records records = new Records();
    private long index;

    private CommandResult apply(long sessionId, long sequence, long lowest, Object command) {
        var identified = new Commands.IdentifiedCommand();
        identified.sessionId = sessionId;
        identified.sequence = sequence;
        identified.lowestPending = lowest;
        identified.body = Codec.encodeTagged(command);
        return records.apply(++index, Codec.encodeTagged(identified));
    }

    private static Commands.ZoneMark zoneMark(boolean emptied) {
        var command = new Commands.ZoneMark();
        command.zone = "z1";
        command.emptied = emptied;
        return command;
    }

    private boolean isZoneEmptied() {
        return records.rows().manifest.marks.containsKey("zone:z1");
    }

    @Test
    void copyReturnsFirstResultWithoutSecondEffect() {
        var first = apply(SESSION_ID, 7, 7, zoneMark(true));
        apply(SESSION_ID + 1, 3, 3, zoneMark(false));
        var copy = apply(SESSION_ID, 7, 7, zoneMark(true));
        assertEquals(first.version, copy.version);
        assertEquals(0, copy.kind);
        assertFalse(isZoneEmptied());
    }

    @Test
    void refusalIsRememberedToo() {
        var command = new Commands.PlanConfirm();
        command.plan = 9;
        var first = apply(SESSION_ID, 1, 1, command);
        var copy = apply(SESSION_ID, 1, 1, command);
        assertEquals(ProblemKind.UNKNOWN_PLAN.code(), first.kind);
        assertEquals(first.kind, copy.kind);
        assertEquals(first.detail, copy.detail);
        assertEquals(first.retryAfterMicros, copy.retryAfterMicros);
    }

    @Test
    void sequenceBelowLowestAcceptedHasNoEffect() {
        apply(SESSION_ID, 10, 10, zoneMark(false));
        var late = apply(SESSION_ID, 9, 9, zoneMark(true));
        assertEquals(ProblemKind.LATE_COMMAND.code(), late.kind);
        assertFalse(isZoneEmptied());
    }

    @Test
    void resultsNoLongerAwaitedAreDropped() {
        for (var i = 1; i <= 5; i++) apply(SESSION_ID, i, 1, zoneMark(i % 2 == 0));
        assertEquals(5, records.rows().sessions.get(SESSION_ID).results.size());
        apply(SESSION_ID, 6, 5, zoneMark(true));
        assertEquals(2, records.rows().sessions.get(SESSION_ID).results.size());
        assertNull(records.recordedResult(SESSION_ID, 4));
        assertNotNull(records.recordedResult(SESSION_ID, 5));
        assertEquals(ProblemKind.LATE_COMMAND.code(), apply(SESSION_ID, 4, 4, zoneMark(false)).kind);
        assertTrue(isZoneEmptied());
    }

    @Test
    void resultsPerSessionAreBounded() {
        for (var i = 1; i <= 3 * CommandSessions.MAX_RESULTS_PER_SESSION; i++) apply(SESSION_ID, i, 1, zoneMark(true));
        assertEquals(
                CommandSessions.MAX_RESULTS_PER_SESSION,
                records.rows().sessions.get(SESSION_ID).results.size());
        assertEquals(ProblemKind.LATE_COMMAND.code(), apply(SESSION_ID, 1, 1, zoneMark(false)).kind);
        assertTrue(isZoneEmptied());
    }

    @Test
    void sessionsAreBoundedAndLeastRecentlyUsedIsDropped() {
        apply(SESSION_ID, 1, 1, zoneMark(true));
        for (var i = 1; i <= CommandSessions.MAX_SESSIONS; i++) {
            apply(i, 1, 1, zoneMark(true));
            if (i == CommandSessions.MAX_SESSIONS / 2) apply(SESSION_ID, 2, 1, zoneMark(true));
        }
        assertEquals(CommandSessions.MAX_SESSIONS, records.rows().sessions.size());
        assertTrue(records.rows().sessions.containsKey(SESSION_ID));
        assertFalse(records.rows().sessions.containsKey(1L));
    }

    @Test
    void sessionsArePartOfSnapshot() {
        apply(SESSION_ID, 7, 7, zoneMark(true));
        apply(SESSION_ID + 1, 3, 3, zoneMark(false));
        var other = new Records();
        other.restoreSnapshot(records.encodeSnapshot());
        records = other;
        assertEquals(0, apply(SESSION_ID, 7, 7, zoneMark(true)).kind);
        assertFalse(isZoneEmptied());
        assertEquals(ProblemKind.LATE_COMMAND.code(), apply(SESSION_ID, 6, 6, zoneMark(true)).kind);
    }

    @Test
    void sameEntriesGiveSameSnapshot() {
        var other = new Records();
        for (var i = 1; i <= 2_000; i++) {
            var identified = new Commands.IdentifiedCommand();
            identified.sessionId = SESSION_ID * (i % 7);
            identified.sequence = i - i % 3;
            identified.lowestPending = i - 20;
            identified.body = Codec.encodeTagged(zoneMark(i % 5 < 2));
            var encoded = Codec.encodeTagged(identified);
            records.apply(i, encoded);
            other.apply(i, encoded);
        }
        assertArrayEquals(records.encodeSnapshot(), other.encodeSnapshot());
    }

    @Test
    void nestedIdentifiedCommandIsRefused() {
        var inner = new Commands.IdentifiedCommand();
        inner.body = Codec.encodeTagged(zoneMark(true));
        assertEquals(ProblemKind.BAD_MESSAGE.code(), apply(SESSION_ID, 1, 1, inner).kind);
        assertFalse(isZoneEmptied());
    }

    @Test
    void commandWithoutIdentityIsApplied() {
        assertEquals(0, records.apply(++index, Codec.encodeTagged(zoneMark(true))).kind);
        assertTrue(isZoneEmptied());
        assertTrue(records.rows().sessions.isEmpty());
    }
}
