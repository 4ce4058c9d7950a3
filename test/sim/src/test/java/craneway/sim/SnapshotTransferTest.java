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
    private static final int BYTES = 100_000;
    private static final long SNAPSHOT = 4_100_000;
    private static final long ALL = COMMANDS * BYTES;

    /** Three voters of which the third comes, with nothing, once the others hold a snapshot of some 4 MB and its log is gone. */
    private static SlowPaths snapshotTaken(long seed) {
        var paths = new SlowPaths(seed, 3);
        paths.start(1);
        paths.start(2);
        paths.propose(COMMANDS, BYTES);
        assertTrue(paths.leader().count(Event.SNAPSHOT_TAKEN) > 0);
        paths.largeBytes = 0;
        return paths;
    }

    private static double caughtUp(SlowPaths paths, SlowPaths.Peer p, double most) {
        var took = paths.until(() -> paths.level(p), most);
        assertTrue(took < most, () -> "not caught up after " + took + " s: " + p.notes);
        assertArrayEquals(paths.leader().heap.encodeSnapshot(), p.heap.encodeSnapshot());
        return took;
    }

    @Test
    void aLargeSnapshotArrivesOverASlowPath() {
        var paths = snapshotTaken(1);
        caughtUp(paths, paths.start(3), 40);
        assertTrue(paths.largeBytes < 1.1 * ALL, () -> paths.largeBytes + " bytes were sent");
    }

    @Test
    void aLargeSnapshotArrivesThoughConnectionsEndEveryThreeSeconds() {
        var paths = snapshotTaken(2);
        paths.outageEvery = 3 * SlowPaths.SECOND;
        caughtUp(paths, paths.start(3), 60);
        assertTrue(paths.largeBytes < 1.5 * ALL, () -> paths.largeBytes + " bytes were sent");
    }

    @Test
    void aLargeSnapshotArrivesThoughMessagesAreLostDoubledAndOvertaken() {
        for (var seed = 0; seed < 20; seed++) {
            var paths = snapshotTaken(seed);
            paths.lost = 0.05;
            paths.doubled = 0.1;
            paths.late = 200_000;
            caughtUp(paths, paths.start(3), 120);
        }
    }

    @Test
    void aTransferGoesOnWhereItWasWhenTheLeaderChanges() {
        for (var seed = 0; seed < 10; seed++) {
            var paths = snapshotTaken(seed);
            var third = paths.start(3);
            paths.until(() -> paths.largeBytes > SNAPSHOT / 2, 30);
            var old = paths.leader();
            old.stop();
            paths.until(() -> paths.leader() != null, 30);
            paths.largeBytes = 0;
            caughtUp(paths, third, 60);
            assertTrue(paths.largeBytes < ALL - SNAPSHOT / 3, () -> paths.largeBytes + " bytes were sent anew");
        }
    }

    @Test
    void aTransferEndsThoughTheReceiverStartsAgainInItsMiddle() {
        var paths = snapshotTaken(3);
        var third = paths.start(3);
        paths.until(() -> paths.largeBytes > SNAPSHOT / 2, 30);
        third.stop();
        paths.run(0.3);
        paths.start(3);
        caughtUp(paths, third, 60);
    }

    @Test
    void aTransferGoesOnAsSoonAsAReceiverThatWasAwayIsBack() {
        for (var seed = 0; seed < 5; seed++) {
            var paths = snapshotTaken(seed);
            var third = paths.start(3);
            paths.until(() -> paths.largeBytes > SNAPSHOT / 2, 30);
            third.stop();
            paths.run(30 + seed * 1.3);
            paths.largeBytes = 0;
            paths.start(3);
            paths.run(0.6);
            assertTrue(paths.largeBytes > 0, "nothing was sent yet");
            caughtUp(paths, third, 20);
        }
    }

    @Test
    void aReceiverOfAnEarlierVersionGetsTheSnapshotWhole() {
        var paths = snapshotTaken(4);
        paths.peers.put(3L, paths.new Peer(3, new SimulatedDisk()));
        paths.peers.get(3L).earlierVersion = true;
        var third = paths.start(3);
        caughtUp(paths, third, 60);
        assertFalse(third.notes.stream().anyMatch(n -> n.startsWith("unknown kind")), third.notes::toString);
    }

    @Test
    void aReceiverThatGoesBackToAnEarlierVersionInTheMiddleGetsTheSnapshotWhole() {
        var paths = snapshotTaken(5);
        var third = paths.start(3);
        paths.until(() -> paths.largeBytes > SNAPSHOT / 2, 30);
        third.stop();
        paths.run(0.3);
        third.earlierVersion = true;
        paths.start(3);
        caughtUp(paths, third, 60);
    }

    @Test
    void aFollowerCountsAsCaughtUpOnlyOnceRoundsAreShort() {
        var paths = snapshotTaken(6);
        var third = paths.start(3);
        var early = new ArrayList<Long>();
        paths.until(
                () -> {
                    var leader = paths.leader();
                    var lacks = leader.group.lastIndex() - leader.group.matchIndexOf(3);
                    if (leader.group.isCaughtUp(3, paths.sim.now()) && lacks > 5) early.add(lacks);
                    return paths.level(third);
                },
                40);
        assertEquals(List.of(), early);
        assertTrue(paths.until(() -> paths.leader().group.isCaughtUp(3, paths.sim.now()), 2) < 1.5);
    }

    private static PartMessage piece(SlowPaths paths, long term, long offset, int fill) {
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

    private static void refused(SlowPaths paths, SlowPaths.Peer p, PartMessage m) {
        var before = p.count(Event.SNAPSHOT_REJECTED);
        p.group.receive(m, paths.sim.now());
        p.group.syncAndSend(paths.sim.now());
        assertEquals(before + 1, p.count(Event.SNAPSHOT_REJECTED), p.notes::toString);
        assertEquals(0, p.group.appliedIndex());
        assertEquals(0, p.group.lastIndex());
    }

    @Test
    void aPieceOutOfPlaceOfAPastTermOrOfADamagedWholeIsRefusedWithoutEffect() {
        var paths = snapshotTaken(7);
        paths.drop = m -> m.to == 3 && m.kind != PartMessage.SNAPSHOT_PIECE_REPLY && m.kind != PartMessage.APPEND_REPLY;
        var third = paths.start(3);
        var term = paths.leader().group.term();
        refused(paths, third, piece(paths, term, 1_000, 1));
        var none = piece(paths, term, 0, 1);
        none.snapshotPiece = null;
        refused(paths, third, none);
        var empty = piece(paths, term, 0, 1);
        empty.snapshotPiece.bytes = null;
        refused(paths, third, empty);
        var beyond = piece(paths, term, 1_500, 1);
        refused(paths, third, beyond);
        third.group.receive(piece(paths, term, 0, 1), paths.sim.now());
        assertEquals(0, third.group.appliedIndex());
        var other = piece(paths, term, 0, 1);
        other.snapshotPiece.checksum = 78;
        refused(paths, third, other);
        refused(paths, third, piece(paths, term - 1, 1_000, 1));
        refused(paths, third, piece(paths, term, 1_000, 2));
        var whole = piece(paths, term, 0, 1);
        whole.kind = PartMessage.SNAPSHOT;
        refused(paths, third, whole);
        paths.drop = m -> false;
        caughtUp(paths, third, 40);
    }
}
