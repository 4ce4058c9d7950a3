package craneway.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.model.unit.Parts;
import craneway.state.message.Messages.CommandRequest;
import craneway.state.message.Messages.CommandResult;
import java.util.ArrayList;
import org.junit.jupiter.api.Test;

/**
 * A copy of a command that is delayed on the network or in a leader's queue, and arrives after a later, opposite
 * command was acknowledged, must have no effect.
 */
class DelayedCommandTest extends ThreeStoreTestBase {
    private static Cluster.MessageFilter firstRequestTo(Cluster.Member from, String to) {
        var matched = new int[1];
        return (sender, receiver, message) ->
                sender == from && receiver.equals(to) && message instanceof CommandRequest && matched[0]++ == 0;
    }

    private static Cluster.MessageFilter allRequestsTo(Cluster.Member from, String to) {
        return (sender, receiver, message) ->
                sender == from && receiver.equals(to) && message instanceof CommandRequest;
    }

    @Test
    void aDelayedCopyDoesNotMarkAZoneAgainAfterItWasUnmarked() {
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
    void aDelayedCopyDoesNotUnmarkAZoneAfterItWasMarkedAgain() {
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
    void aCommandThatTimedOutAndArrivesLaterHasNoEffect() {
        openSessions();
        cluster.holdFilter = allRequestsTo(first, leader.address);
        var delayed = markZone(first, true);
        cluster.runUntil(delayed::hasArrived, 3);
        assertFalse(delayed.isAcknowledged());
        assertMarkAcknowledged(second, true);
        assertMarkAcknowledged(second, false);
        cluster.releaseHeldMessages();
        cluster.runFor(2);
        assertFalse(isZoneEmptied(), this::eventLog);
    }

    @Test
    void aCopyThatReachesTheLeaderInALaterTermHasNoEffect() {
        openSessions();
        var initialTerm = leader.store.replicas()[Parts.MANIFEST_PART].group().term();
        cluster.holdFilter = allRequestsTo(first, leader.address);
        var delayed = markZone(first, true);
        cluster.runUntil(delayed::hasArrived, 3);
        assertFalse(delayed.isAcknowledged());
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
        assertTrue(leader.store.replicas()[Parts.MANIFEST_PART].group().term() > initialTerm);
        cluster.releaseHeldMessages();
        cluster.runFor(2);
        assertFalse(isZoneEmptied(), this::eventLog);
    }

    @Test
    void aCopyWithADeadlineOnTheOldLeadersClockHasNoEffectAtTheNewLeader() {
        makeLeader(cluster.member("s3"));
        openSessions();
        var copies = new ArrayList<CommandRequest>();
        cluster.holdFilter = (from, to, message) ->
                from == first && message instanceof CommandRequest request && copies.add(request);
        var delayed = markZone(first, true);
        cluster.runUntil(delayed::hasArrived, 3);
        cluster.holdFilter = (from, to, message) -> false;
        leader.crash();
        cluster.runUntil(() -> cluster.allPartsLedByOtherThan(leader), 5);
        var newLeader = cluster.leaderOf(Parts.MANIFEST_PART);
        assertTrue(
                newLeader.now() < copies.get(0).leaderDeadline, "the new leader's clock must be before the deadline");
        assertMarkAcknowledged(second, true);
        assertMarkAcknowledged(second, false);
        for (var request : copies) first.send(newLeader.address, request);
        cluster.runFor(1);
        assertFalse(isZoneEmptied(), this::eventLog);
    }

    @Test
    void aCommandQueuedAtALeaderWithAHungDiskHasNoEffectOnceTheDiskRecovers() {
        openSessions();
        leader.setDiskHung(true);
        var delayed = markZone(first, true);
        cluster.runUntil(delayed::hasArrived, 3);
        assertFalse(delayed.isAcknowledged());
        cluster.runUntil(() -> cluster.allPartsLedByOtherThan(leader), 5);
        assertMarkAcknowledged(second, true);
        assertMarkAcknowledged(second, false);
        leader.setDiskHung(false);
        cluster.runFor(3);
        assertFalse(isZoneEmptied(), this::eventLog);
    }

    @Test
    void aRetryAfterALostResponseIsExecutedAndAcknowledgedOnce() {
        openSessions();
        var versionBefore = marksVersion();
        var matched = new int[1];
        cluster.holdFilter = (from, to, message) -> message instanceof CommandResult result
                && result.kind == 0
                && to.equals(first.address)
                && matched[0]++ == 0;
        assertMarkAcknowledged(first, true);
        assertEquals(1, matched[0] - 1);
        assertEquals(versionBefore + 1, marksVersion());
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
    void aCommandIsExecutedThoughTheLeaderChangesMeanwhile() {
        openSessions();
        cluster.holdFilter = allRequestsTo(first, leader.address);
        var outcome = markZone(first, true);
        cluster.runFor(0.02);
        leader.store.transferLeadership();
        cluster.holdFilter = (from, to, message) -> false;
        cluster.runUntil(outcome::hasArrived, 3);
        assertTrue(outcome.isAcknowledged(), this::eventLog);
        cluster.runUntil(cluster::allPartsHaveLeaders, 5);
        assertTrue(isZoneEmptied(), this::eventLog);
    }

    @Test
    void sessionsSurviveAPowerLossOfAllStores() {
        assertMarkAcknowledged(first, true);
        assertMarkAcknowledged(second, false);
        var sessionsBefore = sessionCount();
        assertTrue(sessionsBefore >= 2);
        cluster.members.values().forEach(Cluster.Member::losePower);
        cluster.runFor(2);
        cluster.members.values().forEach(Cluster.Member::start);
        cluster.runUntil(cluster::allPartsHaveLeaders, 8);
        assertTrue(cluster.allPartsHaveLeaders(), this::eventLog);
        assertEquals(sessionsBefore, sessionCount());
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
    void commandsAreLoggedWithoutSessionsWhileAMemberIsOfAnOlderRelease() {
        restartMember(first, false);
        assertMarkAcknowledged(first, true);
        assertMarkAcknowledged(second, false);
        assertEquals(0, sessionCount());
        cluster.holdFilter = allRequestsTo(second, cluster.leaderOf(Parts.MANIFEST_PART).address);
        var delayed = markZone(second, true);
        cluster.runUntil(delayed::hasArrived, 3);
        cluster.releaseHeldMessages();
        cluster.runFor(1);
        assertFalse(isZoneEmptied(), this::eventLog);
        restartMember(first, true);
        assertMarkAcknowledged(second, true);
        assertEquals(1, sessionCount());
    }

    private void restartMember(Cluster.Member member, boolean supportsIdentifiedCommands) {
        member.crash();
        cluster.runFor(0.5);
        member.supportsIdentifiedCommands = supportsIdentifiedCommands;
        member.start();
        cluster.runFor(3);
        cluster.runUntil(cluster::allPartsHaveLeaders, 5);
    }
}
