package craneway.control.store;

import static craneway.control.store.CommandFence.Ruling.LATE;
import static craneway.control.store.CommandFence.Ruling.TAKEN;
import static craneway.control.store.CommandFence.Ruling.UNKNOWN_LIFE;
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
        fence.tell(LIFE);
    }

    private static CommandRequest onCommandRequest(long life, long term, long bound) {
        var a = new CommandRequest();
        a.id = 12;
        a.lowestPending = 11;
        a.sessionId = life;
        a.leaderTerm = term;
        a.leaderDeadline = bound;
        return a;
    }

    @Test
    void aCommandWithinItsBoundIsTaken() {
        assertEquals(TAKEN, fence.rule(onCommandRequest(LIFE, TERM, NOW + 1), TERM, NOW));
        assertEquals(TAKEN, fence.rule(onCommandRequest(LIFE, TERM, NOW), TERM, NOW));
    }

    @Test
    void aCommandAfterItsBoundIsLate() {
        assertEquals(LATE, fence.rule(onCommandRequest(LIFE, TERM, NOW - 1), TERM, NOW));
    }

    @Test
    void aBoundByAnotherLeadersClockIsNone() {
        assertEquals(LATE, fence.rule(onCommandRequest(LIFE, TERM - 1, NOW + 1), TERM, NOW));
        assertEquals(LATE, fence.rule(onCommandRequest(LIFE, TERM + 1, NOW + 1), TERM, NOW));
        assertEquals(LATE, fence.rule(onCommandRequest(LIFE, 0, 0), TERM, NOW));
    }

    @Test
    void aBoundFartherThanAnyCoreClientWaitsIsNone() {
        assertEquals(LATE, fence.rule(onCommandRequest(LIFE, TERM, NOW + CommandFence.LONGEST + 1), TERM, NOW));
        assertEquals(LATE, fence.rule(onCommandRequest(LIFE, TERM, Long.MAX_VALUE), TERM, NOW));
    }

    @Test
    void aZoneOrderWithAnEarlierBoundThanOneTakenIsOvertaken() {
        assertFalse(fence.overtaken("z1", NOW + 500));
        assertFalse(fence.overtaken("z1", NOW + 500));
        assertTrue(fence.overtaken("z1", NOW + 499));
        assertFalse(fence.overtaken("z2", NOW + 499));
        assertFalse(fence.overtaken("z1", NOW + 501));
        fence.reset();
        assertFalse(fence.overtaken("z1", NOW + 1));
    }

    @Test
    void aLifeThatTheLeaderNeverToldItsClockIsUnknown() {
        assertEquals(UNKNOWN_LIFE, fence.rule(onCommandRequest(LIFE + 1, TERM, NOW + 1), TERM, NOW));
        fence.reset();
        assertEquals(UNKNOWN_LIFE, fence.rule(onCommandRequest(LIFE, TERM, NOW + 1), TERM, NOW));
        fence.tell(LIFE);
        assertEquals(TAKEN, fence.rule(onCommandRequest(LIFE, TERM, NOW + 1), TERM, NOW));
    }

    @Test
    void livesThatAreToldAreBounded() {
        for (var i = 0; i < 2_000; i++) fence.tell(1_000 + i);
        assertEquals(UNKNOWN_LIFE, fence.rule(onCommandRequest(LIFE, TERM, NOW), TERM, NOW));
        assertEquals(TAKEN, fence.rule(onCommandRequest(2_999, TERM, NOW), TERM, NOW));
    }

    @Test
    void aCommandIsLoggedUnderItsIdentityUnlessItHasOneOfItsOwn() {
        var body = new byte[] {1, 2, 3};
        var f = assertInstanceOf(
                Commands.IdentifiedCommand.class,
                CommandFence.identified(onCommandRequest(LIFE, TERM, NOW), new Commands.ZoneMark(), body));
        assertEquals(LIFE, f.sessionId);
        assertEquals(12, f.sequence);
        assertEquals(11, f.lowestPending);
        assertSame(body, f.body);
        var claim = new Commands.ClaimTake();
        assertSame(claim, CommandFence.identified(onCommandRequest(LIFE, TERM, NOW), claim, body));
        var old = new Commands.ZoneMark();
        assertSame(old, CommandFence.identified(onCommandRequest(0, 0, 0), old, body));
    }
}
