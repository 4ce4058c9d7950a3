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
class BadCommandTest extends ThreeStores {
    private static Commands.ZoneMark order(boolean emptied) {
        var m = new Commands.ZoneMark();
        m.zone = "z1";
        m.emptied = emptied;
        return m;
    }

    private CommandRequest forged(long life, long term, long bound) {
        var a = new CommandRequest();
        a.id = 4711;
        a.part = Parts.MANIFEST_PART;
        a.from = first.store.directory().self();
        a.sessionId = life;
        a.lowestPending = a.id;
        a.leaderTerm = term;
        a.leaderDeadline = bound;
        a.body = Codec.encodeTagged(order(true));
        return a;
    }

    private void refused(CommandRequest a, Event e) {
        var before = noted(e);
        first.send(leader.address, a);
        c.run(0.5);
        assertEquals(before + 1, noted(e), this::notes);
        assertFalse(emptied(), this::notes);
        assertEquals(leader, c.owner(Parts.MANIFEST_PART));
        acknowledged(second, true);
        acknowledged(second, false);
    }

    @Test
    void aCommandOfAnUnknownLifeIsRefusedWithAnEvent() {
        warm();
        refused(forged(99, term(), leader.now() + 500_000), Event.UNKNOWN_INSTANCE);
    }

    @Test
    void aCopyAfterItsBoundIsRefusedWithAnEvent() {
        warm();
        refused(forged(99, term(), leader.now() - 1), Event.LATE_COMMAND);
        refused(forged(99, term() + 1, leader.now() + 500_000), Event.LATE_COMMAND);
        refused(forged(99, term(), Long.MAX_VALUE), Event.LATE_COMMAND);
    }

    @Test
    void aCommandThatCannotBeReadIsRefusedWithAnEvent() {
        warm();
        var a = forged(99, term(), leader.now() + 500_000);
        a.body = new byte[] {120, 3, 1};
        refused(a, Event.BAD_MESSAGE);
    }

    @Test
    void aProcessTooOldToTellItsLifeIsStillServed() {
        var a = forged(0, 0, 0);
        first.send(leader.address, a);
        c.run(0.5);
        assertTrue(emptied(), this::notes);
    }

    @Test
    void anAnswerToAnEarlierLifeOfTheAddressIsNotTaken() {
        warm();
        c.hold = (f, t, m) -> t.equals(first.address) && m instanceof CommandResult;
        var lost = mark(first, true);
        c.run(0.1);
        assertFalse(lost.came());
        first.crash();
        c.run(0.3);
        first.start();
        var before = noted(Event.STALE_REPLY);
        var kept = c.held.size();
        assertTrue(kept > 0);
        c.release();
        assertEquals(before + kept, noted(Event.STALE_REPLY), this::notes);
        c.run(3);
        acknowledged(first, false);
    }
}
