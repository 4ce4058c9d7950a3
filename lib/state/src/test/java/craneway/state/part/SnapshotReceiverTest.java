package craneway.state.part;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class SnapshotReceiverTest {
    private static final long TERM = 3;

    private final SnapshotReceiver receiver = new SnapshotReceiver();

    private static Snapshot snapshot(long index, int bytes) {
        var i = new Snapshot();
        i.index = index;
        i.term = 2;
        i.body = new byte[bytes];
        new Random(index).nextBytes(i.body);
        return i;
    }

    private SnapshotReceiver.Outcome take(long term, SnapshotPiece p) {
        return receiver.take(term, p, 0);
    }

    @Test
    void aReceiverHoldsNoMoreThanTheSnapshot() {
        var snapshot = snapshot(9, 8_000_000);
        var encoded = new EncodedSnapshot(snapshot);
        SnapshotReceiver.Outcome last = null;
        for (var at = 0; at < encoded.length(); at += EncodedSnapshot.PIECE) {
            last = take(TERM, encoded.piece(at));
            assertNull(last.refusal());
            assertTrue(receiver.room() <= encoded.length());
            assertTrue(receiver.room() <= Math.max(1 << 20, 2 * (at + EncodedSnapshot.PIECE)));
        }
        assertNotNull(last);
        assertArrayEquals(snapshot.body, last.snapshot().body);
        assertEquals(0, receiver.room());
    }

    @Test
    void piecesThatComeTwiceChangeNothing() {
        var encoded = new EncodedSnapshot(snapshot(9, 200_000));
        for (var times = 0; times < 2; times++)
            assertEquals(EncodedSnapshot.PIECE, take(TERM, encoded.piece(0)).held());
        take(TERM, encoded.piece(EncodedSnapshot.PIECE));
        assertEquals(2 * EncodedSnapshot.PIECE, take(TERM, encoded.piece(0)).held());
    }

    @Test
    void aDamagedWholeIsDroppedAndMayBeginAnew() {
        var encoded = new EncodedSnapshot(snapshot(9, 100_000));
        var damaged = encoded.piece(0);
        damaged.bytes[50_000] ^= 1;
        take(TERM, damaged);
        var whole = take(TERM, encoded.piece(EncodedSnapshot.PIECE));
        assertNotNull(whole.refusal());
        assertNull(whole.snapshot());
        assertEquals(0, receiver.room());
        take(TERM, encoded.piece(0));
        assertNotNull(take(TERM, encoded.piece(EncodedSnapshot.PIECE)).snapshot());
    }

    @Test
    void onlyANewerLeaderOrANewerSnapshotTakesTheOpenOnesPlace() {
        var open = new EncodedSnapshot(snapshot(9, 200_000));
        var older = new EncodedSnapshot(snapshot(8, 200_000));
        take(TERM, open.piece(0));
        assertNotNull(take(TERM, older.piece(0)).refusal());
        assertEquals(
                2 * EncodedSnapshot.PIECE,
                take(TERM, open.piece(EncodedSnapshot.PIECE)).held());
        assertNull(take(TERM + 1, older.piece(0)).refusal());
        assertNotNull(take(TERM + 1, open.piece(2 * EncodedSnapshot.PIECE)).refusal());
    }

    @Test
    void aSnapshotTooLargeOrMalformedTakesNoRoom() {
        var p = new EncodedSnapshot(snapshot(9, 200_000)).piece(0);
        p.totalBytes = SnapshotReceiver.MOST + 1L;
        assertNotNull(take(TERM, p).refusal());
        p.totalBytes = 10;
        assertNotNull(take(TERM, p).refusal());
        p.totalBytes = Long.MAX_VALUE;
        p.offset = Long.MAX_VALUE - 1;
        assertNotNull(take(TERM, p).refusal());
        assertEquals(0, receiver.room());
    }

    @Test
    void whatNoLeaderGoesOnWithIsForgotten() {
        var encoded = new EncodedSnapshot(snapshot(9, 200_000));
        take(TERM, encoded.piece(0));
        receiver.expire(0, 60_000_000);
        assertTrue(receiver.room() > 0);
        receiver.expire(0, 60_000_001);
        assertEquals(0, receiver.room());
        take(TERM, encoded.piece(0));
        receiver.expire(9, 0);
        assertEquals(0, receiver.room());
    }
}
