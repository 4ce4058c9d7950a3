package craneway.state.part;

/**
 * One piece of an encoded snapshot or, without bytes, the number of bytes of it that a receiver holds. A snapshot is
 * identified by its index, term, length and checksum, which every piece carries. The fields are part of the wire
 * format.
 */
public final class SnapshotPiece {
    /** The index of the last entry that the snapshot includes. */
    public long index;
    /** The term of that entry. */
    public long term;
    /** The length of the encoded snapshot in bytes. */
    public long totalBytes;
    /** The CRC-32C checksum of the encoded snapshot. */
    public long checksum;
    /** The position of the first byte of this piece, or in a reply the number of bytes held without a gap. */
    public long offset;

    public byte[] bytes;

    /** Returns whether both pieces belong to the same encoded snapshot. */
    boolean isOfSameSnapshot(SnapshotPiece other) {
        return index == other.index
                && term == other.term
                && totalBytes == other.totalBytes
                && checksum == other.checksum;
    }

    /** Returns a piece of the same snapshot at another offset, without bytes. */
    SnapshotPiece withOffset(long newOffset) {
        var piece = new SnapshotPiece();
        piece.index = index;
        piece.term = term;
        piece.totalBytes = totalBytes;
        piece.checksum = checksum;
        piece.offset = newOffset;
        return piece;
    }
}
