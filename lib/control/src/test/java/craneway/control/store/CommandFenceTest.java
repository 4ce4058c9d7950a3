package craneway.control.store;

import static craneway.control.store.CommandFence.Admission.ADMITTED;
import static craneway.control.store.CommandFence.Admission.LATE;
import static craneway.control.store.CommandFence.Admission.UNKNOWN_LIFE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandRequest;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class CommandFenceTest {
    private static final long LIFE = 77, TERM = 5, NOW = -3_000_000;

    private final CommandFence fence = new CommandFence();

    @BeforeEach
    void begin() {
        fence.recordClockSent(LIFE);
    }

    private static CommandRequest onCommandRequest(long life, long term, long bound) {
        var a = new CommandRequest();
        a.id = 12;
        a.lowest = 11;
        a.life = life;
        a.term = term;
        a.bound = bound;
        return a;
    }

    @Test
    void aCommandWithinItsBoundIsTaken() {
        assertEquals(ADMITTED, fence.check(onCommandRequest(LIFE, TERM, NOW + 1), TERM, NOW));
        assertEquals(ADMITTED, fence.check(onCommandRequest(LIFE, TERM, NOW), TERM, NOW));
    }

    @Test
    void aCommandAfterItsBoundIsLate() {
        assertEquals(LATE, fence.check(onCommandRequest(LIFE, TERM, NOW - 1), TERM, NOW));
    }

    @Test
    void aBoundByAnotherLeadersClockIsNone() {
        assertEquals(LATE, fence.check(onCommandRequest(LIFE, TERM - 1, NOW + 1), TERM, NOW));
        assertEquals(LATE, fence.check(onCommandRequest(LIFE, TERM + 1, NOW + 1), TERM, NOW));
        assertEquals(LATE, fence.check(onCommandRequest(LIFE, 0, 0), TERM, NOW));
    }

    @Test
    void aBoundFartherThanAnyCoreClientWaitsIsNone() {
        assertEquals(
                LATE, fence.check(onCommandRequest(LIFE, TERM, NOW + CommandFence.MAX_WAIT_MICROS + 1), TERM, NOW));
        assertEquals(LATE, fence.check(onCommandRequest(LIFE, TERM, Long.MAX_VALUE), TERM, NOW));
    }

    @Test
    void aZoneOrderWithAnEarlierBoundThanOneTakenIsOvertaken() {
        assertFalse(fence.isOvertaken("z1", NOW + 500));
        assertFalse(fence.isOvertaken("z1", NOW + 500));
        assertTrue(fence.isOvertaken("z1", NOW + 499));
        assertFalse(fence.isOvertaken("z2", NOW + 499));
        assertFalse(fence.isOvertaken("z1", NOW + 501));
        fence.reset();
        assertFalse(fence.isOvertaken("z1", NOW + 1));
    }

    @Test
    void aLifeThatTheLeaderNeverToldItsClockIsUnknown() {
        assertEquals(UNKNOWN_LIFE, fence.check(onCommandRequest(LIFE + 1, TERM, NOW + 1), TERM, NOW));
        fence.reset();
        assertEquals(UNKNOWN_LIFE, fence.check(onCommandRequest(LIFE, TERM, NOW + 1), TERM, NOW));
        fence.recordClockSent(LIFE);
        assertEquals(ADMITTED, fence.check(onCommandRequest(LIFE, TERM, NOW + 1), TERM, NOW));
    }

    @Test
    void livesThatAreToldAreBounded() {
        for (var i = 0; i < 2_000; i++) fence.recordClockSent(1_000 + i);
        assertEquals(UNKNOWN_LIFE, fence.check(onCommandRequest(LIFE, TERM, NOW), TERM, NOW));
        assertEquals(ADMITTED, fence.check(onCommandRequest(2_999, TERM, NOW), TERM, NOW));
    }

    @Test
    void aCommandIsLoggedUnderItsIdentityUnlessItHasOneOfItsOwn() {
        var body = new byte[] {1, 2, 3};
        var f = assertInstanceOf(
                Commands.Fenced.class,
                CommandFence.withIdentity(onCommandRequest(LIFE, TERM, NOW), new Commands.ZoneMark(), body));
        assertEquals(LIFE, f.life);
        assertEquals(12, f.sequence);
        assertEquals(11, f.lowest);
        assertSame(body, f.body);
        var claim = new Commands.Claim();
        assertSame(claim, CommandFence.withIdentity(onCommandRequest(LIFE, TERM, NOW), claim, body));
        var old = new Commands.ZoneMark();
        assertSame(old, CommandFence.withIdentity(onCommandRequest(0, 0, 0), old, body));
    }
}
