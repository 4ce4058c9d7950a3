package craneway.state.part;

import craneway.state.message.Codec;
import java.util.Arrays;
import java.util.zip.CRC32C;

/** The wire encoding of a snapshot, computed once and shared by all peers it is sent to. */
final class EncodedSnapshot {
    /** The size of a piece. A snapshot that is no larger is sent whole, which every version can read. */
    static final int PIECE_BYTES = 64 << 10;

    private final Snapshot snapshot;
    private final byte[] bytes;
    private final SnapshotPiece identity = new SnapshotPiece();

    /** Encodes a snapshot. */
    EncodedSnapshot(Snapshot snapshot) {
        this.snapshot = snapshot;
        bytes = Codec.encode(snapshot);
        identity.index = snapshot.index;
        identity.term = snapshot.term;
        identity.totalBytes = bytes.length;
        identity.checksum = checksum(bytes);
    }

    /** Returns the CRC-32C checksum of the bytes. */
    static long checksum(byte[] bytes) {
        var crc = new CRC32C();
        crc.update(bytes, 0, bytes.length);
        return crc.getValue();
    }

    /** Returns whether this encodes exactly the given object. */
    boolean isEncodingOf(Snapshot other) {
        return snapshot == other;
    }

    /** Returns whether the snapshot is small enough to be sent whole. */
    boolean fitsInOnePiece() {
        return bytes.length <= PIECE_BYTES;
    }

    /** Returns the index of the last entry that the snapshot includes. */
    long index() {
        return identity.index;
    }

    /** Returns the length of the encoding in bytes. */
    int length() {
        return bytes.length;
    }

    /** Returns a piece without bytes that identifies this snapshot. */
    SnapshotPiece identity() {
        return identity;
    }

    /** Returns the piece that starts at an offset. */
    SnapshotPiece piece(int offset) {
        var piece = identity.withOffset(offset);
        piece.bytes = Arrays.copyOfRange(bytes, offset, Math.min(offset + PIECE_BYTES, bytes.length));
        return piece;
    }
}
