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
class DelayedCommandTest extends ThreeStoreTestBase {
    private static Cluster.MessageFilter firstRequestTo(Cluster.Member from, String to) {
        var kept = new int[1];
        return (f, t, m) -> f == from && t.equals(to) && m instanceof CommandRequest && kept[0]++ == 0;
    }

    private static Cluster.MessageFilter allRequestsTo(Cluster.Member from, String to) {
        return (f, t, m) -> f == from && t.equals(to) && m instanceof CommandRequest;
    }

    @Test
    void aCopyHeldUpOnItsWayDoesNotUndoATakeBack() {
        openSessions();
        cluster.holdFilter = firstRequestTo(first, leader.address);
        assertMarkAcknowledged(first, true);
        assertEquals(1, cluster.heldMessages.size());
        assertMarkAcknowledged(second, false);
        cluster.runFor(2);
        cluster.releaseHeldMessages();
        cluster.runFor(2);
        assertFalse(isZoneEmptied(), this::eventLog);
    }

    @Test
    void aCopyHeldUpOnItsWayDoesNotTakeAZoneBack() {
        assertMarkAcknowledged(first, true);
        cluster.holdFilter = firstRequestTo(first, leader.address);
        assertMarkAcknowledged(first, false);
        assertEquals(1, cluster.heldMessages.size());
        assertMarkAcknowledged(second, true);
        cluster.releaseHeldMessages();
        cluster.runFor(2);
        assertTrue(isZoneEmptied(), this::eventLog);
    }

    @Test
    void anOrderThatGotNoAnswerAndArrivesLaterHasNoEffect() {
        openSessions();
        cluster.holdFilter = allRequestsTo(first, leader.address);
        var lost = markZone(first, true);
        cluster.runUntil(lost::hasArrived, 3);
        assertFalse(lost.isAcknowledged());
        assertMarkAcknowledged(second, true);
        assertMarkAcknowledged(second, false);
        cluster.releaseHeldMessages();
        cluster.runFor(2);
        assertFalse(isZoneEmptied(), this::eventLog);
    }

    @Test
    void aCopyThatReachesALeaderOfALaterTermHasNoEffect() {
        openSessions();
        var term = leader.store.replicas()[Parts.MANIFEST_PART].group().term();
        cluster.holdFilter = allRequestsTo(first, leader.address);
        var lost = markZone(first, true);
        cluster.runUntil(lost::hasArrived, 3);
        assertFalse(lost.isAcknowledged());
        leader.store.transferLeadership();
        cluster.runUntil(() -> cluster.allPartsLedByOtherThan(leader), 5);
        assertMarkAcknowledged(second, true);
        assertMarkAcknowledged(second, false);
        for (var i = 0; i < 10 && cluster.leaderOf(Parts.MANIFEST_PART) != leader; i++) {
            cluster.leaderOf(Parts.MANIFEST_PART).store.transferLeadership();
            cluster.runFor(1);
            cluster.runUntil(cluster::allPartsHaveLeaders, 5);
        }
        assertEquals(leader, cluster.leaderOf(Parts.MANIFEST_PART));
        assertTrue(leader.store.replicas()[Parts.MANIFEST_PART].group().term() > term);
        cluster.releaseHeldMessages();
        cluster.runFor(2);
        assertFalse(isZoneEmptied(), this::eventLog);
    }

    @Test
    void aCopyBoundByTheLastLeadersClockHasNoEffectAtTheNext() {
        makeLeader(cluster.member("s3"));
        openSessions();
        var copies = new ArrayList<CommandRequest>();
        cluster.holdFilter = (f, t, m) -> f == first && m instanceof CommandRequest a && copies.add(a);
        var lost = markZone(first, true);
        cluster.runUntil(lost::hasArrived, 3);
        cluster.holdFilter = (f, t, m) -> false;
        leader.crash();
        cluster.runUntil(() -> cluster.allPartsLedByOtherThan(leader), 5);
        var next = cluster.leaderOf(Parts.MANIFEST_PART);
        assertTrue(next.now() < copies.get(0).leaderDeadline, "the next leader's clock is behind the bound");
        assertMarkAcknowledged(second, true);
        assertMarkAcknowledged(second, false);
        for (var a : copies) first.send(next.address, a);
        cluster.runFor(1);
        assertFalse(isZoneEmptied(), this::eventLog);
    }

    @Test
    void anOrderInAFrozenLeadersQueueHasNoEffectOnceItWakes() {
        openSessions();
        leader.setDiskHung(true);
        var lost = markZone(first, true);
        cluster.runUntil(lost::hasArrived, 3);
        assertFalse(lost.isAcknowledged());
        cluster.runUntil(() -> cluster.allPartsLedByOtherThan(leader), 5);
        assertMarkAcknowledged(second, true);
        assertMarkAcknowledged(second, false);
        leader.setDiskHung(false);
        cluster.runFor(3);
        assertFalse(isZoneEmptied(), this::eventLog);
    }

    @Test
    void aLostAnswerAndACopyAreAcknowledgedOnceAndTakenOnce() {
        openSessions();
        var before = marksVersion();
        var lost = new int[1];
        cluster.holdFilter = (f, t, m) -> m instanceof CommandResult v && v.kind == 0 && t.equals(first.address) && lost[0]++ == 0;
        assertMarkAcknowledged(first, true);
        assertEquals(1, lost[0] - 1);
        assertEquals(before + 1, marksVersion());
    }

    private long marksVersion() {
        return cluster.leaderOf(Parts.MANIFEST_PART)
                .store
                .replicas()[Parts.MANIFEST_PART]
                .records()
                .rows()
                .manifest
                .marksVersion;
    }

    @Test
    void anOrderIsTakenThoughTheLeaderChangesMeanwhile() {
        openSessions();
        cluster.holdFilter = allRequestsTo(first, leader.address);
        var order = markZone(first, true);
        cluster.runFor(0.02);
        leader.store.transferLeadership();
        cluster.holdFilter = (f, t, m) -> false;
        cluster.runUntil(order::hasArrived, 3);
        assertTrue(order.isAcknowledged(), this::eventLog);
        cluster.runUntil(cluster::allPartsHaveLeaders, 5);
        assertTrue(isZoneEmptied(), this::eventLog);
    }

    @Test
    void theTableOfLivesOutlivesALeaderChangeASnapshotAndARestartOfAll() {
        assertMarkAcknowledged(first, true);
        assertMarkAcknowledged(second, false);
        var lives = sessionCount();
        assertTrue(lives >= 2);
        cluster.members.values().forEach(Cluster.Member::losePower);
        cluster.runFor(2);
        cluster.members.values().forEach(Cluster.Member::start);
        cluster.runUntil(cluster::allPartsHaveLeaders, 8);
        assertTrue(cluster.allPartsHaveLeaders(), this::eventLog);
        assertEquals(lives, sessionCount());
    }

    private int sessionCount() {
        return cluster.leaderOf(Parts.MANIFEST_PART)
                .store
                .replicas()[Parts.MANIFEST_PART]
                .records()
                .rows()
                .sessions
                .size();
    }

    @Test
    void whileAMemberIsOlderCommandsAreLoggedAsItReadsThem() {
        restartMember(first, false);
        assertMarkAcknowledged(first, true);
        assertMarkAcknowledged(second, false);
        assertEquals(0, sessionCount());
        cluster.holdFilter = allRequestsTo(second, cluster.leaderOf(Parts.MANIFEST_PART).address);
        var lost = markZone(second, true);
        cluster.runUntil(lost::hasArrived, 3);
        cluster.releaseHeldMessages();
        cluster.runFor(1);
        assertFalse(isZoneEmptied(), this::eventLog);
        restartMember(first, true);
        assertMarkAcknowledged(second, true);
        assertEquals(1, sessionCount());
    }

    private void restartMember(Cluster.Member m, boolean fenced) {
        m.crash();
        cluster.runFor(0.5);
        m.supportsIdentifiedCommands = fenced;
        m.start();
        cluster.runFor(3);
        cluster.runUntil(cluster::allPartsHaveLeaders, 5);
    }
}
