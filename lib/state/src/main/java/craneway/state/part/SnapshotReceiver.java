package craneway.state.part;

import craneway.state.message.BadMessageException;
import craneway.state.message.Codec;
import java.util.Arrays;

/**
 * Puts one snapshot together from its pieces. It holds at most one, of at most {@link #MOST} bytes, and keeps what it has when the
 * leader changes, so that a leader with the same snapshot goes on from there. A piece behind a gap, of another snapshot than the
 * one that is open, or malformed is refused without effect; a whole whose checksum is wrong is dropped. A decider without I/O.
 */
final class SnapshotReceiver {
    static final int MOST = 64 << 20;
    private static final long FORGET = 60_000_000;
    private static final int FIRST_ROOM = 1 << 20;
    private static final int MOST_PIECE = 1 << 20;
    private static final byte[] NOTHING = {};

    private SnapshotPiece open;
    private long leaderTerm;
    private long lastAt;
    private byte[] held = NOTHING;
    private int length;

    /**
     * What became of a piece.
     *
     * @param held how many bytes of its snapshot are held without a gap
     * @param refusal why the piece was refused; null where it was not
     * @param snapshot the whole snapshot, once it is
     */
    record Outcome(long held, String refusal, Snapshot snapshot) {}

    Outcome take(long term, SnapshotPiece p, long now) {
        if (malformed(p)) return new Outcome(0, "a malformed piece", null);
        if (open == null || !open.sameSnapshot(p)) {
            if (p.offset != 0) return new Outcome(0, "offset " + p.offset + " of a snapshot that is not open", null);
            if (open != null && term <= leaderTerm && p.index <= open.index)
                return new Outcome(0, "a snapshot other than the open one", null);
            begin(p);
        }
        leaderTerm = Math.max(leaderTerm, term);
        lastAt = now;
        if (p.offset > length) return new Outcome(length, "offset " + p.offset + " behind a gap at " + length, null);
        add(p);
        return length < open.totalBytes ? new Outcome(length, null, null) : whole();
    }

    private static boolean malformed(SnapshotPiece p) {
        return p.bytes == null
                || p.bytes.length == 0
                || p.bytes.length > MOST_PIECE
                || p.index <= 0
                || p.totalBytes <= 0
                || p.totalBytes > MOST
                || p.offset < 0
                || p.offset > p.totalBytes - p.bytes.length;
    }

    private void begin(SnapshotPiece p) {
        drop();
        open = p.at(0);
    }

    private void add(SnapshotPiece p) {
        var end = (int) p.offset + p.bytes.length;
        if (end <= length) return;
        if (end > held.length) {
            var room = Math.max(Math.max(end, FIRST_ROOM), 2 * held.length);
            held = Arrays.copyOf(held, (int) Math.min(open.totalBytes, room));
        }
        System.arraycopy(p.bytes, 0, held, (int) p.offset, p.bytes.length);
        length = end;
    }

    private Outcome whole() {
        var expected = open;
        var bytes = held;
        drop();
        if (EncodedSnapshot.checksum(bytes) != expected.checksum)
            return new Outcome(0, "the whole snapshot is damaged", null);
        try {
            var snapshot = Codec.decode(Snapshot.class, bytes);
            if (snapshot.index == expected.index && snapshot.term == expected.term && snapshot.body != null)
                return new Outcome(expected.totalBytes, null, snapshot);
            return new Outcome(0, "the whole is not the snapshot it was said to be", null);
        } catch (BadMessageException e) {
            return new Outcome(0, "the whole is no snapshot: " + e.getMessage(), null);
        }
    }

    /** Forgets what no leader goes on with, and what the log has passed. */
    void expire(long applied, long now) {
        if (open != null && (open.index <= applied || now - lastAt > FORGET)) drop();
    }

    private void drop() {
        open = null;
        held = NOTHING;
        length = 0;
    }

    /** The bytes of memory this holds. */
    int room() {
        return held.length;
    }
}
