package craneway.control.store;

import static craneway.control.store.CommandFence.Admission.ADMITTED;
import static craneway.control.store.CommandFence.Admission.LATE;
import static craneway.control.store.CommandFence.Admission.UNKNOWN_SESSION;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandRequest;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks that a command that arrives late, or was overtaken by a newer one, is declined on the leader. */
class CommandFenceTest {
    private static final long SESSION_ID = 77;
    private static final long TERM = 5;
    private static final long NOW_MICROS = -3_000_000;

    private final CommandFence fence = new CommandFence();

    @BeforeEach
    void sendClock() {
        fence.recordClockSent(SESSION_ID);
    }

    private static CommandRequest command(long sessionId, long term, long deadline) {
        var request = new CommandRequest();
        request.id = 12;
        request.lowestPending = 11;
        request.sessionId = sessionId;
        request.leaderTerm = term;
        request.leaderDeadline = deadline;
        return request;
    }

    @Test
    void admitsACommandWithinItsDeadline() {
        assertEquals(ADMITTED, fence.check(command(SESSION_ID, TERM, NOW_MICROS + 1), TERM, NOW_MICROS));
        assertEquals(ADMITTED, fence.check(command(SESSION_ID, TERM, NOW_MICROS), TERM, NOW_MICROS));
    }

    @Test
    void declinesACommandAfterItsDeadline() {
        assertEquals(LATE, fence.check(command(SESSION_ID, TERM, NOW_MICROS - 1), TERM, NOW_MICROS));
    }

    @Test
    void declinesADeadlineOnAnotherLeadersClock() {
        assertEquals(LATE, fence.check(command(SESSION_ID, TERM - 1, NOW_MICROS + 1), TERM, NOW_MICROS));
        assertEquals(LATE, fence.check(command(SESSION_ID, TERM + 1, NOW_MICROS + 1), TERM, NOW_MICROS));
        assertEquals(LATE, fence.check(command(SESSION_ID, 0, 0), TERM, NOW_MICROS));
    }

    @Test
    void declinesADeadlineFartherAheadThanAnyClientWaits() {
        assertEquals(
                LATE,
                fence.check(
                        command(SESSION_ID, TERM, NOW_MICROS + CommandFence.MAX_WAIT_MICROS + 1), TERM, NOW_MICROS));
        assertEquals(LATE, fence.check(command(SESSION_ID, TERM, Long.MAX_VALUE), TERM, NOW_MICROS));
    }

    @Test
    void aZoneMarkIsOvertakenByAnAdmittedOneWithALaterDeadline() {
        assertFalse(fence.isOvertaken("z1", NOW_MICROS + 500));
        assertFalse(fence.isOvertaken("z1", NOW_MICROS + 500));
        assertTrue(fence.isOvertaken("z1", NOW_MICROS + 499));
        assertFalse(fence.isOvertaken("z2", NOW_MICROS + 499));
        assertFalse(fence.isOvertaken("z1", NOW_MICROS + 501));
        fence.reset();
        assertFalse(fence.isOvertaken("z1", NOW_MICROS + 1));
    }

    @Test
    void aProcessThatWasNotSentTheClockIsUnknown() {
        assertEquals(UNKNOWN_SESSION, fence.check(command(SESSION_ID + 1, TERM, NOW_MICROS + 1), TERM, NOW_MICROS));
        fence.reset();
        assertEquals(UNKNOWN_SESSION, fence.check(command(SESSION_ID, TERM, NOW_MICROS + 1), TERM, NOW_MICROS));
        fence.recordClockSent(SESSION_ID);
        assertEquals(ADMITTED, fence.check(command(SESSION_ID, TERM, NOW_MICROS + 1), TERM, NOW_MICROS));
    }

    @Test
    void remembersABoundedNumberOfProcesses() {
        for (var i = 0; i < 2_000; i++) fence.recordClockSent(1_000 + i);
        assertEquals(UNKNOWN_SESSION, fence.check(command(SESSION_ID, TERM, NOW_MICROS), TERM, NOW_MICROS));
        assertEquals(ADMITTED, fence.check(command(2_999, TERM, NOW_MICROS), TERM, NOW_MICROS));
    }

    @Test
    void wrapsACommandWithItsIdentityUnlessItHasItsOwn() {
        var body = new byte[] {1, 2, 3};
        var identified = assertInstanceOf(
                Commands.IdentifiedCommand.class,
                CommandFence.withIdentity(command(SESSION_ID, TERM, NOW_MICROS), new Commands.ZoneMark(), body));
        assertEquals(SESSION_ID, identified.sessionId);
        assertEquals(12, identified.sequence);
        assertEquals(11, identified.lowestPending);
        assertSame(body, identified.body);
        var claim = new Commands.ClaimTake();
        assertSame(claim, CommandFence.withIdentity(command(SESSION_ID, TERM, NOW_MICROS), claim, body));
        var unidentified = new Commands.ZoneMark();
        assertSame(unidentified, CommandFence.withIdentity(command(0, 0, 0), unidentified, body));
    }
}
