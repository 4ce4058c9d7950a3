package craneway.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.model.unit.Parts;
import craneway.state.message.Messages.CommandRequest;
import craneway.state.message.Messages.CommandResult;
import java.util.ArrayList;
import org.junit.jupiter.api.Test;

/** A copy of an order that arrives after a later, reverse order was acknowledged has no effect. */
class LateCopyTest extends ThreeStores {
    private static Cluster.Hold firstAskTo(Cluster.Member from, String to) {
        var kept = new int[1];
        return (f, t, m) -> f == from && t.equals(to) && m instanceof CommandRequest && kept[0]++ == 0;
    }

    private static Cluster.Hold asksTo(Cluster.Member from, String to) {
        return (f, t, m) -> f == from && t.equals(to) && m instanceof CommandRequest;
    }

    @Test
    void aCopyHeldUpOnItsWayDoesNotUndoATakeBack() {
        warm();
        c.hold = firstAskTo(first, leader.address);
        acknowledged(first, true);
        assertEquals(1, c.held.size());
        acknowledged(second, false);
        c.run(2);
        c.release();
        c.run(2);
        assertFalse(emptied(), this::notes);
    }

    @Test
    void aCopyHeldUpOnItsWayDoesNotTakeAZoneBack() {
        acknowledged(first, true);
        c.hold = firstAskTo(first, leader.address);
        acknowledged(first, false);
        assertEquals(1, c.held.size());
        acknowledged(second, true);
        c.release();
        c.run(2);
        assertTrue(emptied(), this::notes);
    }

    @Test
    void anOrderThatGotNoAnswerAndArrivesLaterHasNoEffect() {
        warm();
        c.hold = asksTo(first, leader.address);
        var lost = mark(first, true);
        c.until(lost::came, 3);
        assertFalse(lost.acknowledged());
        acknowledged(second, true);
        acknowledged(second, false);
        c.release();
        c.run(2);
        assertFalse(emptied(), this::notes);
    }

    @Test
    void aCopyThatReachesALeaderOfALaterTermHasNoEffect() {
        warm();
        var term = leader.store.replicas()[Parts.MANIFEST_PART].group().term();
        c.hold = asksTo(first, leader.address);
        var lost = mark(first, true);
        c.until(lost::came, 3);
        assertFalse(lost.acknowledged());
        leader.store.transferLeadership();
        c.until(() -> c.ownedBut(leader), 5);
        acknowledged(second, true);
        acknowledged(second, false);
        for (var i = 0; i < 10 && c.owner(Parts.MANIFEST_PART) != leader; i++) {
            c.owner(Parts.MANIFEST_PART).store.transferLeadership();
            c.run(1);
            c.until(c::owned, 5);
        }
        assertEquals(leader, c.owner(Parts.MANIFEST_PART));
        assertTrue(leader.store.replicas()[Parts.MANIFEST_PART].group().term() > term);
        c.release();
        c.run(2);
        assertFalse(emptied(), this::notes);
    }

    @Test
    void aCopyBoundByTheLastLeadersClockHasNoEffectAtTheNext() {
        leadBy(c.get("s3"));
        warm();
        var copies = new ArrayList<CommandRequest>();
        c.hold = (f, t, m) -> f == first && m instanceof CommandRequest a && copies.add(a);
        var lost = mark(first, true);
        c.until(lost::came, 3);
        c.hold = (f, t, m) -> false;
        leader.crash();
        c.until(() -> c.ownedBut(leader), 5);
        var next = c.owner(Parts.MANIFEST_PART);
        assertTrue(next.now() < copies.get(0).leaderDeadline, "the next leader's clock is behind the bound");
        acknowledged(second, true);
        acknowledged(second, false);
        for (var a : copies) first.send(next.address, a);
        c.run(1);
        assertFalse(emptied(), this::notes);
    }

    @Test
    void anOrderInAFrozenLeadersQueueHasNoEffectOnceItWakes() {
        warm();
        leader.hang(true);
        var lost = mark(first, true);
        c.until(lost::came, 3);
        assertFalse(lost.acknowledged());
        c.until(() -> c.ownedBut(leader), 5);
        acknowledged(second, true);
        acknowledged(second, false);
        leader.hang(false);
        c.run(3);
        assertFalse(emptied(), this::notes);
    }

    @Test
    void aLostAnswerAndACopyAreAcknowledgedOnceAndTakenOnce() {
        warm();
        var before = marksVersion();
        var lost = new int[1];
        c.hold = (f, t, m) -> m instanceof CommandResult v && v.kind == 0 && t.equals(first.address) && lost[0]++ == 0;
        acknowledged(first, true);
        assertEquals(1, lost[0] - 1);
        assertEquals(before + 1, marksVersion());
    }

    private long marksVersion() {
        return c.owner(Parts.MANIFEST_PART)
                .store
                .replicas()[Parts.MANIFEST_PART]
                .records()
                .rows()
                .manifest
                .marksVersion;
    }

    @Test
    void anOrderIsTakenThoughTheLeaderChangesMeanwhile() {
        warm();
        c.hold = asksTo(first, leader.address);
        var order = mark(first, true);
        c.run(0.02);
        leader.store.transferLeadership();
        c.hold = (f, t, m) -> false;
        c.until(order::came, 3);
        assertTrue(order.acknowledged(), this::notes);
        c.until(c::owned, 5);
        assertTrue(emptied(), this::notes);
    }

    @Test
    void theTableOfLivesOutlivesALeaderChangeASnapshotAndARestartOfAll() {
        acknowledged(first, true);
        acknowledged(second, false);
        var lives = lives();
        assertTrue(lives >= 2);
        c.members.values().forEach(Cluster.Member::losePower);
        c.run(2);
        c.members.values().forEach(Cluster.Member::start);
        c.until(c::owned, 8);
        assertTrue(c.owned(), this::notes);
        assertEquals(lives, lives());
    }

    private int lives() {
        return c.owner(Parts.MANIFEST_PART)
                .store
                .replicas()[Parts.MANIFEST_PART]
                .records()
                .rows()
                .sessions
                .size();
    }

    @Test
    void whileAMemberIsOlderCommandsAreLoggedAsItReadsThem() {
        restart(first, false);
        acknowledged(first, true);
        acknowledged(second, false);
        assertEquals(0, lives());
        c.hold = asksTo(second, c.owner(Parts.MANIFEST_PART).address);
        var lost = mark(second, true);
        c.until(lost::came, 3);
        c.release();
        c.run(1);
        assertFalse(emptied(), this::notes);
        restart(first, true);
        acknowledged(second, true);
        assertEquals(1, lives());
    }

    private void restart(Cluster.Member m, boolean fenced) {
        m.crash();
        c.run(0.5);
        m.fenced = fenced;
        m.start();
        c.run(3);
        c.until(c::owned, 5);
    }
}
