package craneway.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.model.event.Event;
import craneway.model.unit.Parts;
import craneway.state.message.Codec;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandRequest;
import craneway.state.message.Messages.CommandResult;
import org.junit.jupiter.api.Test;

/** Commands that no process of this core can have sent are refused with a numbered event and have no effect. */
class InvalidCommandTest extends ThreeStoreTestBase {
    private static Commands.ZoneMark zoneMark(boolean emptied) {
        var m = new Commands.ZoneMark();
        m.zone = "z1";
        m.emptied = emptied;
        return m;
    }

    private CommandRequest forgedRequest(long life, long term, long bound) {
        var a = new CommandRequest();
        a.id = 4711;
        a.part = Parts.MANIFEST_PART;
        a.from = first.store.directory().self();
        a.sessionId = life;
        a.lowestPending = a.id;
        a.leaderTerm = term;
        a.leaderDeadline = bound;
        a.body = Codec.encodeTagged(zoneMark(true));
        return a;
    }

    private void assertRejected(CommandRequest a, Event e) {
        var before = countEvents(e);
        first.send(leader.address, a);
        cluster.runFor(0.5);
        assertEquals(before + 1, countEvents(e), this::eventLog);
        assertFalse(isZoneEmptied(), this::eventLog);
        assertEquals(leader, cluster.leaderOf(Parts.MANIFEST_PART));
        assertMarkAcknowledged(second, true);
        assertMarkAcknowledged(second, false);
    }

    @Test
    void aCommandOfAnUnknownLifeIsRefusedWithAnEvent() {
        openSessions();
        assertRejected(forgedRequest(99, leaderTerm(), leader.now() + 500_000), Event.UNKNOWN_INSTANCE);
    }

    @Test
    void aCopyAfterItsBoundIsRefusedWithAnEvent() {
        openSessions();
        assertRejected(forgedRequest(99, leaderTerm(), leader.now() - 1), Event.LATE_COMMAND);
        assertRejected(forgedRequest(99, leaderTerm() + 1, leader.now() + 500_000), Event.LATE_COMMAND);
        assertRejected(forgedRequest(99, leaderTerm(), Long.MAX_VALUE), Event.LATE_COMMAND);
    }

    @Test
    void aCommandThatCannotBeReadIsRefusedWithAnEvent() {
        openSessions();
        var a = forgedRequest(99, leaderTerm(), leader.now() + 500_000);
        a.body = new byte[] {120, 3, 1};
        assertRejected(a, Event.BAD_MESSAGE);
    }

    @Test
    void aProcessTooOldToTellItsLifeIsStillServed() {
        var a = forgedRequest(0, 0, 0);
        first.send(leader.address, a);
        cluster.runFor(0.5);
        assertTrue(isZoneEmptied(), this::eventLog);
    }

    @Test
    void anAnswerToAnEarlierLifeOfTheAddressIsNotTaken() {
        openSessions();
        cluster.holdFilter = (f, t, m) -> t.equals(first.address) && m instanceof CommandResult;
        var lost = markZone(first, true);
        cluster.runFor(0.1);
        assertFalse(lost.hasArrived());
        first.crash();
        cluster.runFor(0.3);
        first.start();
        var before = countEvents(Event.STALE_REPLY);
        var kept = cluster.heldMessages.size();
        assertTrue(kept > 0);
        cluster.releaseHeldMessages();
        assertEquals(before + kept, countEvents(Event.STALE_REPLY), this::eventLog);
        cluster.runFor(3);
        assertMarkAcknowledged(first, false);
    }
}
