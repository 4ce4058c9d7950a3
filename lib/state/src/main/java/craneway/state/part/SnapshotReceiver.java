package craneway.state.part;

import craneway.state.message.BadMessageException;
import craneway.state.message.Codec;
import java.util.Arrays;

/**
 * Puts one snapshot together from its pieces. It holds at most one, of at most {@link #MAX_SNAPSHOT_BYTES} bytes, and keeps what it has when the
 * leader changes, so that a leader with the same snapshot goes on from there. A piece behind a gap, of another snapshot than the
 * one that is open, or malformed is refused without effect; a whole whose checksum is wrong is dropped. A decider without I/O.
 */
final class SnapshotReceiver {
    static final int MAX_SNAPSHOT_BYTES = 64 << 20;
    private static final long IDLE_TIMEOUT_MICROS = 60_000_000;
    private static final int INITIAL_BUFFER_BYTES = 1 << 20;
    private static final int MAX_PIECE_BYTES = 1 << 20;
    private static final byte[] EMPTY_BUFFER = {};

    private SnapshotPiece current;
    private long leaderTerm;
    private long lastPieceAt;
    private byte[] buffer = EMPTY_BUFFER;
    private int receivedBytes;

    /**
     * What became of a piece.
     *
     * @param held how many bytes of its snapshot are held without a gap
     * @param refusal why the piece was refused; null where it was not
     * @param snapshot the whole snapshot, once it is
     */
    record Outcome(long receivedBytes, String refusal, Snapshot snapshot) {}

    Outcome accept(long term, SnapshotPiece p, long now) {
        if (isMalformed(p)) return new Outcome(0, "a malformed piece", null);
        if (current == null || !current.isOfSameSnapshot(p)) {
            if (p.offset != 0) return new Outcome(0, "offset " + p.offset + " of a snapshot that is not open", null);
            if (current != null && term <= leaderTerm && p.index <= current.index)
                return new Outcome(0, "a snapshot other than the open one", null);
            startTransfer(p);
        }
        leaderTerm = Math.max(leaderTerm, term);
        lastPieceAt = now;
        if (p.offset > receivedBytes) return new Outcome(receivedBytes, "offset " + p.offset + " behind a gap at " + receivedBytes, null);
        store(p);
        return receivedBytes < current.total ? new Outcome(receivedBytes, null, null) : assemble();
    }

    private static boolean isMalformed(SnapshotPiece p) {
        return p.bytes == null
                || p.bytes.length == 0
                || p.bytes.length > MAX_PIECE_BYTES
                || p.index <= 0
                || p.total <= 0
                || p.total > MAX_SNAPSHOT_BYTES
                || p.offset < 0
                || p.offset > p.total - p.bytes.length;
    }

    private void startTransfer(SnapshotPiece p) {
        discard();
        current = p.withOffset(0);
    }

    private void store(SnapshotPiece p) {
        var end = (int) p.offset + p.bytes.length;
        if (end <= receivedBytes) return;
        if (end > buffer.length) {
            var room = Math.max(Math.max(end, INITIAL_BUFFER_BYTES), 2 * buffer.length);
            buffer = Arrays.copyOf(buffer, (int) Math.min(current.total, room));
        }
        System.arraycopy(p.bytes, 0, buffer, (int) p.offset, p.bytes.length);
        receivedBytes = end;
    }

    private Outcome assemble() {
        var expected = current;
        var bytes = buffer;
        discard();
        if (EncodedSnapshot.checksum(bytes) != expected.checksum)
            return new Outcome(0, "the whole snapshot is damaged", null);
        try {
            var snapshot = Codec.read(Snapshot.class, bytes);
            if (snapshot.index == expected.index && snapshot.term == expected.term && snapshot.body != null)
                return new Outcome(expected.total, null, snapshot);
            return new Outcome(0, "the whole is not the snapshot it was said to be", null);
        } catch (BadMessageException e) {
            return new Outcome(0, "the whole is no snapshot: " + e.getMessage(), null);
        }
    }

    /** Forgets what no leader goes on with, and what the log has passed. */
    void discardIfStale(long applied, long now) {
        if (current != null && (current.index <= applied || now - lastPieceAt > IDLE_TIMEOUT_MICROS)) discard();
    }

    private void discard() {
        current = null;
        buffer = EMPTY_BUFFER;
        receivedBytes = 0;
    }

    /** The bytes of memory this holds. */
    int bufferCapacity() {
        return buffer.length;
    }
}
