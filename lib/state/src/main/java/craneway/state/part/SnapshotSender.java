package craneway.state.part;

import java.util.ArrayList;
import java.util.List;

/**
 * Sends one snapshot to one peer in pieces. Only a few pieces are in flight at a time. The peer reports how many bytes
 * it holds without a gap, and lost pieces are sent again from there.
 *
 * <p>The window is halved when no piece arrives and grows back while pieces do. The retransmit timeout doubles with
 * each silence, so that a transfer ends over any path that lets single pieces through. The class does no I/O; times are
 * microseconds.
 */
final class SnapshotSender {
    private static final int MAX_PIECES_IN_FLIGHT = 4;
    private static final long INITIAL_RETRANSMIT_TIMEOUT_MICROS = 600_000;
    private static final long MAX_RETRANSMIT_TIMEOUT_MICROS = 8_000_000;

    private final EncodedSnapshot snapshot;
    private int acknowledgedBytes;
    private int sentBytes;
    private int windowPieces = MAX_PIECES_IN_FLIGHT;
    private long retransmitTimeout = INITIAL_RETRANSMIT_TIMEOUT_MICROS;
    private long lastProgressAt;
    private long lastRewindAt = Long.MIN_VALUE;

    /** Creates a sender at the start of the snapshot. */
    SnapshotSender(EncodedSnapshot snapshot, long now) {
        this.snapshot = snapshot;
        lastProgressAt = now;
    }

    /** Returns the index of the last entry that the snapshot includes. */
    long index() {
        return snapshot.index();
    }

    /** Returns the pieces to send now; none while the window is full. */
    List<SnapshotPiece> nextPieces(long now) {
        if (sentBytes > acknowledgedBytes && now >= lastProgressAt + retransmitTimeout) {
            retransmitTimeout = Math.min(2 * retransmitTimeout, MAX_RETRANSMIT_TIMEOUT_MICROS);
            rewind(acknowledgedBytes, now);
        }
        var pieces = new ArrayList<SnapshotPiece>();
        while (sentBytes < snapshot.length()
                && sentBytes - acknowledgedBytes < windowPieces * EncodedSnapshot.PIECE_BYTES) {
            if (sentBytes == acknowledgedBytes) lastProgressAt = now;
            pieces.add(snapshot.piece(sentBytes));
            sentBytes = Math.min(sentBytes + EncodedSnapshot.PIECE_BYTES, snapshot.length());
        }
        return pieces;
    }

    private void rewind(int offset, long now) {
        acknowledgedBytes = offset;
        sentBytes = offset;
        windowPieces = Math.max(1, windowPieces / 2);
        lastProgressAt = now;
        lastRewindAt = now;
    }

    /**
     * Handles the first reply of a peer after a silence: the pieces in flight count as lost, and the retransmit timeout
     * starts over.
     */
    void onPeerReturned(long now) {
        retransmitTimeout = INITIAL_RETRANSMIT_TIMEOUT_MICROS;
        rewind(acknowledgedBytes, now);
    }

    /** Records that the peer holds all bytes before the reply's offset. */
    void onPieceAccepted(SnapshotPiece reply, long now) {
        if (!isValidReply(reply) || reply.offset <= acknowledgedBytes) return;
        acknowledgedBytes = (int) reply.offset;
        sentBytes = Math.max(sentBytes, acknowledgedBytes);
        windowPieces = Math.min(windowPieces + 1, MAX_PIECES_IN_FLIGHT);
        retransmitTimeout = INITIAL_RETRANSMIT_TIMEOUT_MICROS;
        lastProgressAt = now;
    }

    /**
     * Rewinds to the reply's offset after the peer refused a piece sent at the given time. Refusals of pieces sent
     * before the last rewind are ignored.
     */
    void onPieceRefused(SnapshotPiece reply, long sentAt, long now) {
        if (isValidReply(reply) && sentAt >= lastRewindAt) rewind((int) reply.offset, now);
    }

    /**
     * Returns whether the reply belongs to this snapshot and names an offset within it. A peer that holds the whole
     * snapshot replies as for appended entries, so the end is never named here.
     */
    private boolean isValidReply(SnapshotPiece reply) {
        return reply.isOfSameSnapshot(snapshot.identity()) && reply.offset >= 0 && reply.offset < snapshot.length();
    }
}
