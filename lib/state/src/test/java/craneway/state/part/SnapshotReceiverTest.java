package craneway.state.part;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Checks the assembly of snapshots from pieces: duplicates, damage, competing leaders, oversized pieces and memory
 * bounds.
 */
class SnapshotReceiverTest {
    private static final long TERM = 3;

    private final SnapshotReceiver receiver = new SnapshotReceiver();

    private static Snapshot newSnapshot(long index, int bodyBytes) {
        var snapshot = new Snapshot();
        snapshot.index = index;
        snapshot.term = 2;
        snapshot.body = new byte[bodyBytes];
        new Random(index).nextBytes(snapshot.body);
        return snapshot;
    }

    private SnapshotReceiver.Outcome accept(long term, SnapshotPiece piece) {
        return receiver.accept(term, piece, 0);
    }

    @Test
    void bufferNeverExceedsSnapshotSize() {
        var snapshot = newSnapshot(9, 8_000_000);
        var encoded = new EncodedSnapshot(snapshot);
        SnapshotReceiver.Outcome last = null;
        for (var at = 0; at < encoded.length(); at += EncodedSnapshot.PIECE_BYTES) {
            last = accept(TERM, encoded.piece(at));
            assertNull(last.refusal());
            assertTrue(receiver.bufferCapacity() <= encoded.length());
            assertTrue(receiver.bufferCapacity() <= Math.max(1 << 20, 2 * (at + EncodedSnapshot.PIECE_BYTES)));
        }
        assertNotNull(last);
        assertArrayEquals(snapshot.body, last.snapshot().body);
        assertEquals(0, receiver.bufferCapacity());
    }

    @Test
    void duplicatePiecesChangeNothing() {
        var encoded = new EncodedSnapshot(newSnapshot(9, 200_000));
        for (var times = 0; times < 2; times++)
            assertEquals(
                    EncodedSnapshot.PIECE_BYTES, accept(TERM, encoded.piece(0)).receivedBytes());
        accept(TERM, encoded.piece(EncodedSnapshot.PIECE_BYTES));
        assertEquals(
                2 * EncodedSnapshot.PIECE_BYTES, accept(TERM, encoded.piece(0)).receivedBytes());
    }

    @Test
    void damagedSnapshotIsDiscardedAndCanBeSentAgain() {
        var encoded = new EncodedSnapshot(newSnapshot(9, 100_000));
        var damaged = encoded.piece(0);
        damaged.bytes[50_000] ^= 1;
        accept(TERM, damaged);
        var completed = accept(TERM, encoded.piece(EncodedSnapshot.PIECE_BYTES));
        assertNotNull(completed.refusal());
        assertNull(completed.snapshot());
        assertEquals(0, receiver.bufferCapacity());
        accept(TERM, encoded.piece(0));
        assertNotNull(accept(TERM, encoded.piece(EncodedSnapshot.PIECE_BYTES)).snapshot());
    }

    @Test
    void onlyNewerLeaderOrNewerSnapshotReplacesCurrentTransfer() {
        var open = new EncodedSnapshot(newSnapshot(9, 200_000));
        var older = new EncodedSnapshot(newSnapshot(8, 200_000));
        accept(TERM, open.piece(0));
        assertNotNull(accept(TERM, older.piece(0)).refusal());
        assertEquals(
                2 * EncodedSnapshot.PIECE_BYTES,
                accept(TERM, open.piece(EncodedSnapshot.PIECE_BYTES)).receivedBytes());
        assertNull(accept(TERM + 1, older.piece(0)).refusal());
        assertNotNull(
                accept(TERM + 1, open.piece(2 * EncodedSnapshot.PIECE_BYTES)).refusal());
    }

    @Test
    void oversizedOrMalformedPieceAllocatesNothing() {
        var piece = new EncodedSnapshot(newSnapshot(9, 200_000)).piece(0);
        piece.totalBytes = SnapshotReceiver.MAX_SNAPSHOT_BYTES + 1L;
        assertNotNull(accept(TERM, piece).refusal());
        piece.totalBytes = 10;
        assertNotNull(accept(TERM, piece).refusal());
        piece.totalBytes = Long.MAX_VALUE;
        piece.offset = Long.MAX_VALUE - 1;
        assertNotNull(accept(TERM, piece).refusal());
        assertEquals(0, receiver.bufferCapacity());
    }

    @Test
    void staleTransferIsDiscarded() {
        var encoded = new EncodedSnapshot(newSnapshot(9, 200_000));
        accept(TERM, encoded.piece(0));
        receiver.discardIfStale(0, 60_000_000);
        assertTrue(receiver.bufferCapacity() > 0);
        receiver.discardIfStale(0, 60_000_001);
        assertEquals(0, receiver.bufferCapacity());
        accept(TERM, encoded.piece(0));
        receiver.discardIfStale(9, 0);
        assertEquals(0, receiver.bufferCapacity());
    }
}
