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

/**
 * The transfer of a large snapshot to a follower over a path with a 64 KB window and a one-way delay of 35 ms: it must
 * complete and not start over in spite of outages, lost or repeated messages, restarts, leader changes and older
 * releases.
 */
class SnapshotTransferTest {
    private static final int COMMAND_COUNT = 60;
    private static final int COMMAND_BYTES = 100_000;
    private static final long SNAPSHOT_BYTES = 4_100_000;
    private static final long TOTAL_BYTES = COMMAND_COUNT * COMMAND_BYTES;

    /**
     * A group of three voters of which two run and have replaced their log by a snapshot of about 4 MB; the third has
     * no data and isn't started yet.
     */
    private static SlowNetwork groupWithSnapshot(long seed) {
        var network = new SlowNetwork(seed, 3);
        network.start(1);
        network.start(2);
        network.proposeRandomCommands(COMMAND_COUNT, COMMAND_BYTES);
        assertTrue(network.leader().countEvents(Event.SNAPSHOT_TAKEN) > 0);
        network.connectionBytes = 0;
        return network;
    }

    private static double assertCatchesUp(SlowNetwork network, SlowNetwork.Peer peer, double maxSeconds) {
        var seconds = network.runUntil(() -> network.isCaughtUp(peer), maxSeconds);
        assertTrue(seconds < maxSeconds, () -> "not caught up after " + seconds + " s: " + peer.eventLog);
        assertArrayEquals(network.leader().stateMachine.encodeSnapshot(), peer.stateMachine.encodeSnapshot());
        return seconds;
    }

    @Test
    void aLargeSnapshotIsTransferredOverASlowPath() {
        var network = groupWithSnapshot(1);
        assertCatchesUp(network, network.start(3), 40);
        assertTrue(network.connectionBytes < 1.1 * TOTAL_BYTES, () -> network.connectionBytes + " bytes were sent");
    }

    @Test
    void aLargeSnapshotIsTransferredThoughConnectionsEndEveryThreeSeconds() {
        var network = groupWithSnapshot(2);
        network.outageIntervalMicros = 3 * SlowNetwork.MICROS_PER_SECOND;
        assertCatchesUp(network, network.start(3), 60);
        assertTrue(network.connectionBytes < 1.5 * TOTAL_BYTES, () -> network.connectionBytes + " bytes were sent");
    }

    @Test
    void aLargeSnapshotIsTransferredThoughMessagesAreLostDuplicatedAndReordered() {
        for (var seed = 0; seed < 20; seed++) {
            var network = groupWithSnapshot(seed);
            network.lossRate = 0.05;
            network.duplicationRate = 0.1;
            network.maxExtraDelayMicros = 200_000;
            assertCatchesUp(network, network.start(3), 120);
        }
    }

    @Test
    void aTransferIsResumedByTheNextLeader() {
        for (var seed = 0; seed < 10; seed++) {
            var network = groupWithSnapshot(seed);
            var third = network.start(3);
            network.runUntil(() -> network.connectionBytes > SNAPSHOT_BYTES / 2, 30);
            var oldLeader = network.leader();
            oldLeader.stop();
            network.runUntil(() -> network.leader() != null, 30);
            network.connectionBytes = 0;
            assertCatchesUp(network, third, 60);
            assertTrue(
                    network.connectionBytes < TOTAL_BYTES - SNAPSHOT_BYTES / 3,
                    () -> network.connectionBytes + " bytes were sent after the leader change");
        }
    }

    @Test
    void aTransferCompletesThoughTheReceiverRestarts() {
        var network = groupWithSnapshot(3);
        var third = network.start(3);
        network.runUntil(() -> network.connectionBytes > SNAPSHOT_BYTES / 2, 30);
        third.stop();
        network.runFor(0.3);
        network.start(3);
        assertCatchesUp(network, third, 60);
    }

    @Test
    void aTransferIsResumedAtOnceWhenTheReceiverReturns() {
        for (var seed = 0; seed < 5; seed++) {
            var network = groupWithSnapshot(seed);
            var third = network.start(3);
            network.runUntil(() -> network.connectionBytes > SNAPSHOT_BYTES / 2, 30);
            third.stop();
            network.runFor(30 + seed * 1.3);
            network.connectionBytes = 0;
            network.start(3);
            network.runFor(0.6);
            assertTrue(network.connectionBytes > 0, "the transfer was not resumed");
            assertCatchesUp(network, third, 20);
        }
    }

    @Test
    void aReceiverOfAnEarlierVersionGetsTheSnapshotInOneMessage() {
        var network = groupWithSnapshot(4);
        network.peers.put(3L, network.new Peer(3, new SimulatedDisk()));
        network.peers.get(3L).earlierVersion = true;
        var third = network.start(3);
        assertCatchesUp(network, third, 60);
        assertFalse(third.eventLog.stream().anyMatch(n -> n.startsWith("unknown kind")), third.eventLog::toString);
    }

    @Test
    void aReceiverThatIsDowngradedDuringTheTransferGetsTheSnapshotInOneMessage() {
        var network = groupWithSnapshot(5);
        var third = network.start(3);
        network.runUntil(() -> network.connectionBytes > SNAPSHOT_BYTES / 2, 30);
        third.stop();
        network.runFor(0.3);
        third.earlierVersion = true;
        network.start(3);
        assertCatchesUp(network, third, 60);
    }

    @Test
    void aFollowerCountsAsCaughtUpOnlyOnceCatchUpRoundsAreShort() {
        var network = groupWithSnapshot(6);
        var third = network.start(3);
        var tooEarly = new ArrayList<Long>();
        network.runUntil(
                () -> {
                    var leader = network.leader();
                    var missingEntries = leader.group.lastIndex() - leader.group.matchIndexOf(3);
                    if (leader.group.isCaughtUp(3, network.sim.now()) && missingEntries > 5)
                        tooEarly.add(missingEntries);
                    return network.isCaughtUp(third);
                },
                40);
        assertEquals(List.of(), tooEarly);
        assertTrue(network.runUntil(() -> network.leader().group.isCaughtUp(3, network.sim.now()), 2) < 1.5);
    }

    private static PartMessage snapshotPiece(SlowNetwork network, long term, long offset, int firstByte) {
        var message = new PartMessage();
        message.kind = PartMessage.SNAPSHOT_PIECE;
        message.from = network.leader().id;
        message.to = 3;
        message.term = term;
        message.snapshotPiece = new SnapshotPiece();
        message.snapshotPiece.index = 40;
        message.snapshotPiece.term = 1;
        message.snapshotPiece.totalBytes = 2_000;
        message.snapshotPiece.checksum = 77;
        message.snapshotPiece.offset = offset;
        message.snapshotPiece.bytes = new byte[1_000];
        message.snapshotPiece.bytes[0] = (byte) firstByte;
        return message;
    }

    private static void assertRejected(SlowNetwork network, SlowNetwork.Peer peer, PartMessage message) {
        var rejectionsBefore = peer.countEvents(Event.SNAPSHOT_REJECTED);
        peer.group.receive(message, network.sim.now());
        peer.group.syncAndSend(network.sim.now());
        assertEquals(rejectionsBefore + 1, peer.countEvents(Event.SNAPSHOT_REJECTED), peer.eventLog::toString);
        assertEquals(0, peer.group.appliedIndex());
        assertEquals(0, peer.group.lastIndex());
    }

    @Test
    void invalidPiecesAreRejectedWithoutEffect() {
        var network = groupWithSnapshot(7);
        network.dropFilter = message -> message.to == 3
                && message.kind != PartMessage.SNAPSHOT_PIECE_REPLY
                && message.kind != PartMessage.APPEND_REPLY;
        var third = network.start(3);
        var term = network.leader().group.term();
        assertRejected(network, third, snapshotPiece(network, term, 1_000, 1));
        var withoutPiece = snapshotPiece(network, term, 0, 1);
        withoutPiece.snapshotPiece = null;
        assertRejected(network, third, withoutPiece);
        var withoutBytes = snapshotPiece(network, term, 0, 1);
        withoutBytes.snapshotPiece.bytes = null;
        assertRejected(network, third, withoutBytes);
        var beyondEnd = snapshotPiece(network, term, 1_500, 1);
        assertRejected(network, third, beyondEnd);
        third.group.receive(snapshotPiece(network, term, 0, 1), network.sim.now());
        assertEquals(0, third.group.appliedIndex());
        var otherChecksum = snapshotPiece(network, term, 0, 1);
        otherChecksum.snapshotPiece.checksum = 78;
        assertRejected(network, third, otherChecksum);
        assertRejected(network, third, snapshotPiece(network, term - 1, 1_000, 1));
        assertRejected(network, third, snapshotPiece(network, term, 1_000, 2));
        var wholeSnapshot = snapshotPiece(network, term, 0, 1);
        wholeSnapshot.kind = PartMessage.SNAPSHOT;
        assertRejected(network, third, wholeSnapshot);
        network.dropFilter = message -> false;
        assertCatchesUp(network, third, 40);
    }
}
