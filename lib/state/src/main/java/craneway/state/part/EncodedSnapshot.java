package craneway.state.part;

import craneway.state.message.Codec;
import java.util.Arrays;
import java.util.zip.CRC32C;

/** A snapshot as the bytes that travel, made once and shared by all peers it is sent to. */
final class EncodedSnapshot {
    /** The bytes of a piece; a snapshot no larger travels whole, which every version reads. */
    static final int PIECE = 64 << 10;

    private final Snapshot snapshot;
    private final byte[] bytes;
    private final SnapshotPiece identity = new SnapshotPiece();

    EncodedSnapshot(Snapshot snapshot) {
        this.snapshot = snapshot;
        bytes = Codec.encode(snapshot);
        identity.index = snapshot.index;
        identity.term = snapshot.term;
        identity.totalBytes = bytes.length;
        identity.checksum = checksum(bytes);
    }

    static long checksum(byte[] bytes) {
        var c = new CRC32C();
        c.update(bytes, 0, bytes.length);
        return c.getValue();
    }

    boolean of(Snapshot other) {
        return snapshot == other;
    }

    boolean small() {
        return bytes.length <= PIECE;
    }

    long index() {
        return identity.index;
    }

    int length() {
        return bytes.length;
    }

    SnapshotPiece identity() {
        return identity;
    }

    SnapshotPiece piece(int offset) {
        var p = identity.at(offset);
        p.bytes = Arrays.copyOfRange(bytes, offset, Math.min(offset + PIECE, bytes.length));
        return p;
    }
}
