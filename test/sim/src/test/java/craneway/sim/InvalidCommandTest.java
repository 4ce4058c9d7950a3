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

/**
 * Commands that no process of this core can have sent (unknown session, wrong deadline or term, unreadable body) are
 * rejected with an event and have no effect.
 */
class InvalidCommandTest extends ThreeStoreTestBase {
    private static Commands.ZoneMark zoneMark(boolean emptied) {
        var mark = new Commands.ZoneMark();
        mark.zone = "z1";
        mark.emptied = emptied;
        return mark;
    }

    private CommandRequest forgedRequest(long sessionId, long leaderTerm, long leaderDeadline) {
        var request = new CommandRequest();
        request.id = 4711;
        request.part = Parts.MANIFEST_PART;
        request.from = first.store.directory().self();
        request.sessionId = sessionId;
        request.lowestPending = request.id;
        request.leaderTerm = leaderTerm;
        request.leaderDeadline = leaderDeadline;
        request.body = Codec.encodeTagged(zoneMark(true));
        return request;
    }

    private void assertRejected(CommandRequest request, Event event) {
        var countBefore = countEvents(event);
        first.send(leader.address, request);
        cluster.runFor(0.5);
        assertEquals(countBefore + 1, countEvents(event), this::eventLog);
        assertFalse(isZoneEmptied(), this::eventLog);
        assertEquals(leader, cluster.leaderOf(Parts.MANIFEST_PART));
        assertMarkAcknowledged(second, true);
        assertMarkAcknowledged(second, false);
    }

    @Test
    void aCommandOfAnUnknownSessionIsRejectedWithAnEvent() {
        openSessions();
        assertRejected(forgedRequest(99, leaderTerm(), leader.now() + 500_000), Event.UNKNOWN_INSTANCE);
    }

    @Test
    void aCommandAfterItsDeadlineOrOfAnotherTermIsRejectedWithAnEvent() {
        openSessions();
        assertRejected(forgedRequest(99, leaderTerm(), leader.now() - 1), Event.LATE_COMMAND);
        assertRejected(forgedRequest(99, leaderTerm() + 1, leader.now() + 500_000), Event.LATE_COMMAND);
        assertRejected(forgedRequest(99, leaderTerm(), Long.MAX_VALUE), Event.LATE_COMMAND);
    }

    @Test
    void aCommandThatCannotBeDecodedIsRejectedWithAnEvent() {
        openSessions();
        var request = forgedRequest(99, leaderTerm(), leader.now() + 500_000);
        request.body = new byte[] {120, 3, 1};
        assertRejected(request, Event.BAD_MESSAGE);
    }

    @Test
    void aCommandWithoutASessionFromAnOlderReleaseIsStillExecuted() {
        var request = forgedRequest(0, 0, 0);
        first.send(leader.address, request);
        cluster.runFor(0.5);
        assertTrue(isZoneEmptied(), this::eventLog);
    }

    @Test
    void aResponseToAnEarlierIncarnationAtTheAddressIsDiscarded() {
        openSessions();
        cluster.holdFilter = (from, to, message) -> to.equals(first.address) && message instanceof CommandResult;
        var outcome = markZone(first, true);
        cluster.runFor(0.1);
        assertFalse(outcome.hasArrived());
        first.crash();
        cluster.runFor(0.3);
        first.start();
        var countBefore = countEvents(Event.STALE_REPLY);
        var heldCount = cluster.heldMessages.size();
        assertTrue(heldCount > 0);
        cluster.releaseHeldMessages();
        assertEquals(countBefore + heldCount, countEvents(Event.STALE_REPLY), this::eventLog);
        cluster.runFor(3);
        assertMarkAcknowledged(first, false);
    }
}
