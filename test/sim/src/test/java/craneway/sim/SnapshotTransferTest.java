package craneway.sim;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.model.event.Event;
import craneway.state.part.PartMessage;
import craneway.state.part.SnapshotPiece;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A follower that needs a snapshot gets it over a path of 64 KB windows at 35 ms a way, whatever that path loses. */
class SnapshotTransferTest {
    private static final int COMMANDS = 60;
    private static final int COMMAND_BYTES = 100_000;
    private static final long SNAPSHOT_BYTES = 4_100_000;
    private static final long TOTAL_BYTES = COMMANDS * COMMAND_BYTES;

    /** Three voters of which the third comes, with nothing, once the others hold a snapshot of some 4 MB and its log is gone. */
    private static SlowNetwork groupWithSnapshot(long seed) {
        var paths = new SlowNetwork(seed, 3);
        paths.start(1);
        paths.start(2);
        paths.proposeRandomCommands(COMMANDS, COMMAND_BYTES);
        assertTrue(paths.leader().countEvents(Event.SNAPSHOT_TAKEN) > 0);
        paths.connectionBytes = 0;
        return paths;
    }

    private static double assertCatchesUp(SlowNetwork paths, SlowNetwork.Peer p, double most) {
        var took = paths.runUntil(() -> paths.isCaughtUp(p), most);
        assertTrue(took < most, () -> "not caught up after " + took + " s: " + p.eventLog);
        assertArrayEquals(paths.leader().stateMachine.encodeSnapshot(), p.stateMachine.encodeSnapshot());
        return took;
    }

    @Test
    void aLargeSnapshotArrivesOverASlowPath() {
        var paths = groupWithSnapshot(1);
        assertCatchesUp(paths, paths.start(3), 40);
        assertTrue(paths.connectionBytes < 1.1 * TOTAL_BYTES, () -> paths.connectionBytes + " bytes were sent");
    }

    @Test
    void aLargeSnapshotArrivesThoughConnectionsEndEveryThreeSeconds() {
        var paths = groupWithSnapshot(2);
        paths.outageIntervalMicros = 3 * SlowNetwork.MICROS_PER_SECOND;
        assertCatchesUp(paths, paths.start(3), 60);
        assertTrue(paths.connectionBytes < 1.5 * TOTAL_BYTES, () -> paths.connectionBytes + " bytes were sent");
    }

    @Test
    void aLargeSnapshotArrivesThoughMessagesAreLostDoubledAndOvertaken() {
        for (var seed = 0; seed < 20; seed++) {
            var paths = groupWithSnapshot(seed);
            paths.lossRate = 0.05;
            paths.duplicationRate = 0.1;
            paths.maxExtraDelayMicros = 200_000;
            assertCatchesUp(paths, paths.start(3), 120);
        }
    }

    @Test
    void aTransferGoesOnWhereItWasWhenTheLeaderChanges() {
        for (var seed = 0; seed < 10; seed++) {
            var paths = groupWithSnapshot(seed);
            var third = paths.start(3);
            paths.runUntil(() -> paths.connectionBytes > SNAPSHOT_BYTES / 2, 30);
            var old = paths.leader();
            old.stop();
            paths.runUntil(() -> paths.leader() != null, 30);
            paths.connectionBytes = 0;
            assertCatchesUp(paths, third, 60);
            assertTrue(paths.connectionBytes < TOTAL_BYTES - SNAPSHOT_BYTES / 3, () -> paths.connectionBytes + " bytes were sent anew");
        }
    }

    @Test
    void aTransferEndsThoughTheReceiverStartsAgainInItsMiddle() {
        var paths = groupWithSnapshot(3);
        var third = paths.start(3);
        paths.runUntil(() -> paths.connectionBytes > SNAPSHOT_BYTES / 2, 30);
        third.stop();
        paths.runFor(0.3);
        paths.start(3);
        assertCatchesUp(paths, third, 60);
    }

    @Test
    void aTransferGoesOnAsSoonAsAReceiverThatWasAwayIsBack() {
        for (var seed = 0; seed < 5; seed++) {
            var paths = groupWithSnapshot(seed);
            var third = paths.start(3);
            paths.runUntil(() -> paths.connectionBytes > SNAPSHOT_BYTES / 2, 30);
            third.stop();
            paths.runFor(30 + seed * 1.3);
            paths.connectionBytes = 0;
            paths.start(3);
            paths.runFor(0.6);
            assertTrue(paths.connectionBytes > 0, "nothing was sent yet");
            assertCatchesUp(paths, third, 20);
        }
    }

    @Test
    void aReceiverOfAnEarlierVersionGetsTheSnapshotWhole() {
        var paths = groupWithSnapshot(4);
        paths.peers.put(3L, paths.new Peer(3, new Disk()));
        paths.peers.get(3L).earlierVersion = true;
        var third = paths.start(3);
        assertCatchesUp(paths, third, 60);
        assertFalse(third.eventLog.stream().anyMatch(n -> n.startsWith("unknown kind")), third.eventLog::toString);
    }

    @Test
    void aReceiverThatGoesBackToAnEarlierVersionInTheMiddleGetsTheSnapshotWhole() {
        var paths = groupWithSnapshot(5);
        var third = paths.start(3);
        paths.runUntil(() -> paths.connectionBytes > SNAPSHOT_BYTES / 2, 30);
        third.stop();
        paths.runFor(0.3);
        third.earlierVersion = true;
        paths.start(3);
        assertCatchesUp(paths, third, 60);
    }

    @Test
    void aFollowerCountsAsCaughtUpOnlyOnceRoundsAreShort() {
        var paths = groupWithSnapshot(6);
        var third = paths.start(3);
        var early = new ArrayList<Long>();
        paths.runUntil(
                () -> {
                    var leader = paths.leader();
                    var lacks = leader.group.lastIndex() - leader.group.matchIndexOf(3);
                    if (leader.group.isCaughtUp(3, paths.sim.now()) && lacks > 5) early.add(lacks);
                    return paths.isCaughtUp(third);
                },
                40);
        assertEquals(List.of(), early);
        assertTrue(paths.runUntil(() -> paths.leader().group.isCaughtUp(3, paths.sim.now()), 2) < 1.5);
    }

    private static PartMessage snapshotPiece(SlowNetwork paths, long term, long offset, int fill) {
        var m = new PartMessage();
        m.kind = PartMessage.SNAPSHOT_PIECE;
        m.from = paths.leader().id;
        m.to = 3;
        m.term = term;
        m.snapshotPiece = new SnapshotPiece();
        m.snapshotPiece.index = 40;
        m.snapshotPiece.term = 1;
        m.snapshotPiece.totalBytes = 2_000;
        m.snapshotPiece.checksum = 77;
        m.snapshotPiece.offset = offset;
        m.snapshotPiece.bytes = new byte[1_000];
        m.snapshotPiece.bytes[0] = (byte) fill;
        return m;
    }

    private static void assertRejected(SlowNetwork paths, SlowNetwork.Peer p, PartMessage m) {
        var before = p.countEvents(Event.SNAPSHOT_REJECTED);
        p.group.receive(m, paths.sim.now());
        p.group.syncAndSend(paths.sim.now());
        assertEquals(before + 1, p.countEvents(Event.SNAPSHOT_REJECTED), p.eventLog::toString);
        assertEquals(0, p.group.appliedIndex());
        assertEquals(0, p.group.lastIndex());
    }

    @Test
    void aPieceOutOfPlaceOfAPastTermOrOfADamagedWholeIsRefusedWithoutEffect() {
        var paths = groupWithSnapshot(7);
        paths.dropFilter = m -> m.to == 3 && m.kind != PartMessage.SNAPSHOT_PIECE_REPLY && m.kind != PartMessage.APPEND_REPLY;
        var third = paths.start(3);
        var term = paths.leader().group.term();
        assertRejected(paths, third, snapshotPiece(paths, term, 1_000, 1));
        var none = snapshotPiece(paths, term, 0, 1);
        none.snapshotPiece = null;
        assertRejected(paths, third, none);
        var empty = snapshotPiece(paths, term, 0, 1);
        empty.snapshotPiece.bytes = null;
        assertRejected(paths, third, empty);
        var beyond = snapshotPiece(paths, term, 1_500, 1);
        assertRejected(paths, third, beyond);
        third.group.receive(snapshotPiece(paths, term, 0, 1), paths.sim.now());
        assertEquals(0, third.group.appliedIndex());
        var other = snapshotPiece(paths, term, 0, 1);
        other.snapshotPiece.checksum = 78;
        assertRejected(paths, third, other);
        assertRejected(paths, third, snapshotPiece(paths, term - 1, 1_000, 1));
        assertRejected(paths, third, snapshotPiece(paths, term, 1_000, 2));
        var whole = snapshotPiece(paths, term, 0, 1);
        whole.kind = PartMessage.SNAPSHOT;
        assertRejected(paths, third, whole);
        paths.dropFilter = m -> false;
        assertCatchesUp(paths, third, 40);
    }
}
