package craneway.state.part;

import craneway.state.message.BadMessageException;
import craneway.state.message.Codec;
import java.util.Arrays;

/**
 * Assembles a snapshot from its pieces. It holds at most one partial snapshot, of at most {@link #MAX_SNAPSHOT_BYTES}
 * bytes, and keeps it when the leader changes, so that a new leader with the same snapshot can continue.
 *
 * <p>A piece is refused without effect if it is malformed, leaves a gap, or belongs to another snapshot than the
 * current one. A complete snapshot with a wrong checksum is discarded. The class does no I/O; times are microseconds.
 */
final class SnapshotReceiver {
    static final int MAX_SNAPSHOT_BYTES = 64 << 20;
    /** A partial snapshot is discarded when no piece has arrived for this long. */
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
     * The result of handling a piece.
     *
     * @param receivedBytes the number of bytes of the snapshot that are held without a gap
     * @param refusal why the piece was refused, or null if it was accepted
     * @param snapshot the complete snapshot, or null while pieces are missing
     */
    record Outcome(long receivedBytes, String refusal, Snapshot snapshot) {}

    /** Handles a piece sent by the leader of a term. */
    Outcome accept(long term, SnapshotPiece piece, long now) {
        if (isMalformed(piece)) return new Outcome(0, "malformed snapshot piece", null);
        if (current == null || !current.isOfSameSnapshot(piece)) {
            if (piece.offset != 0)
                return new Outcome(0, "offset " + piece.offset + " of a snapshot whose transfer was not started", null);
            if (current != null && term <= leaderTerm && piece.index <= current.index)
                return new Outcome(0, "another snapshot is being received", null);
            startTransfer(piece);
        }
        leaderTerm = Math.max(leaderTerm, term);
        lastPieceAt = now;
        if (piece.offset > receivedBytes)
            return new Outcome(
                    receivedBytes, "offset " + piece.offset + " leaves a gap after byte " + receivedBytes, null);
        store(piece);
        return receivedBytes < current.totalBytes ? new Outcome(receivedBytes, null, null) : assemble();
    }

    private static boolean isMalformed(SnapshotPiece piece) {
        return piece.bytes == null
                || piece.bytes.length == 0
                || piece.bytes.length > MAX_PIECE_BYTES
                || piece.index <= 0
                || piece.totalBytes <= 0
                || piece.totalBytes > MAX_SNAPSHOT_BYTES
                || piece.offset < 0
                || piece.offset > piece.totalBytes - piece.bytes.length;
    }

    private void startTransfer(SnapshotPiece piece) {
        discard();
        current = piece.withOffset(0);
    }

    private void store(SnapshotPiece piece) {
        var end = (int) piece.offset + piece.bytes.length;
        if (end <= receivedBytes) return;
        if (end > buffer.length) {
            var capacity = Math.max(Math.max(end, INITIAL_BUFFER_BYTES), 2 * buffer.length);
            buffer = Arrays.copyOf(buffer, (int) Math.min(current.totalBytes, capacity));
        }
        System.arraycopy(piece.bytes, 0, buffer, (int) piece.offset, piece.bytes.length);
        receivedBytes = end;
    }

    private Outcome assemble() {
        var expected = current;
        var encoded = buffer;
        discard();
        if (EncodedSnapshot.checksum(encoded) != expected.checksum)
            return new Outcome(0, "checksum mismatch of the complete snapshot", null);
        try {
            var snapshot = Codec.decode(Snapshot.class, encoded);
            if (snapshot.index == expected.index && snapshot.term == expected.term && snapshot.body != null)
                return new Outcome(expected.totalBytes, null, snapshot);
            return new Outcome(0, "index, term or body of the complete snapshot differs from the announced one", null);
        } catch (BadMessageException e) {
            return new Outcome(0, "the complete snapshot cannot be decoded: " + e.getMessage(), null);
        }
    }

    /** Discards a partial snapshot that no leader continues or that the log has overtaken. */
    void discardIfStale(long appliedIndex, long now) {
        if (current != null && (current.index <= appliedIndex || now - lastPieceAt > IDLE_TIMEOUT_MICROS)) discard();
    }

    private void discard() {
        current = null;
        buffer = EMPTY_BUFFER;
        receivedBytes = 0;
    }

    /** Returns the size of the receive buffer in bytes. */
    int bufferCapacity() {
        return buffer.length;
    }
}
