package craneway.state.part;

import java.util.ArrayList;
import java.util.List;

/**
 * Sends one snapshot to one peer: few pieces are under way at a time, the peer says up to where it holds them without a gap, and
 * what was lost goes again from there. The number under way is halved when none arrives and grows back while they do; the patience
 * doubles with each silence, so that any path that carries single pieces ends the transfer. A decider without I/O.
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

    SnapshotSender(EncodedSnapshot snapshot, long now) {
        this.snapshot = snapshot;
        lastProgressAt = now;
    }

    long index() {
        return snapshot.index();
    }

    /** The pieces to send now; none while enough are under way. */
    List<SnapshotPiece> nextPieces(long now) {
        if (sentBytes > acknowledgedBytes && now >= lastProgressAt + retransmitTimeout) {
            retransmitTimeout = Math.min(2 * retransmitTimeout, MAX_RETRANSMIT_TIMEOUT_MICROS);
            rewind(acknowledgedBytes, now);
        }
        var pieces = new ArrayList<SnapshotPiece>();
        while (sentBytes < snapshot.length() && sentBytes - acknowledgedBytes < windowPieces * EncodedSnapshot.PIECE_BYTES) {
            if (sentBytes == acknowledgedBytes) lastProgressAt = now;
            pieces.add(snapshot.piece(sentBytes));
            sentBytes = Math.min(sentBytes + EncodedSnapshot.PIECE_BYTES, snapshot.length());
        }
        return pieces;
    }

    private void rewind(int to, long now) {
        acknowledgedBytes = to;
        sentBytes = to;
        windowPieces = Math.max(1, windowPieces / 2);
        lastProgressAt = now;
        lastRewindAt = now;
    }

    /** The peer is heard again after a silence: what was under way is lost, and its patience is as at first. */
    void onPeerReturned(long now) {
        retransmitTimeout = INITIAL_RETRANSMIT_TIMEOUT_MICROS;
        rewind(acknowledgedBytes, now);
    }

    /** The peer holds all bytes before the offset. */
    void onPieceAccepted(SnapshotPiece reply, long now) {
        if (!isValidReply(reply) || reply.offset <= acknowledgedBytes) return;
        acknowledgedBytes = (int) reply.offset;
        sentBytes = Math.max(sentBytes, acknowledgedBytes);
        windowPieces = Math.min(windowPieces + 1, MAX_PIECES_IN_FLIGHT);
        retransmitTimeout = INITIAL_RETRANSMIT_TIMEOUT_MICROS;
        lastProgressAt = now;
    }

    /** The peer refused a piece sent at that time, and holds all bytes before the offset; what was sent before a rewind is past. */
    void onPieceRefused(SnapshotPiece reply, long sentAt, long now) {
        if (isValidReply(reply) && sentAt >= lastRewindAt) rewind((int) reply.offset, now);
    }

    /** Who holds the whole says so as for entries, so a reply names an offset within. */
    private boolean isValidReply(SnapshotPiece reply) {
        return reply.isOfSameSnapshot(snapshot.identity()) && reply.offset >= 0 && reply.offset < snapshot.length();
    }
}
