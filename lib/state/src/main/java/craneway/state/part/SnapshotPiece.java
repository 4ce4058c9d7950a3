package craneway.state.part;

/**
 * One piece of an encoded snapshot, or, without bytes, how much of it a receiver holds. A snapshot is known by its index, term,
 * length and checksum, which every piece names.
 */
public final class SnapshotPiece {
    public long index;
    public long term;
    public long totalBytes;
    public long checksum;
    public long offset;
    public byte[] bytes;

    /** Whether both speak of the same snapshot, byte for byte. */
    boolean sameSnapshot(SnapshotPiece other) {
        return index == other.index && term == other.term && totalBytes == other.totalBytes && checksum == other.checksum;
    }

    /** Names the same snapshot at another offset, without bytes. */
    SnapshotPiece at(long newOffset) {
        var p = new SnapshotPiece();
        p.index = index;
        p.term = term;
        p.totalBytes = totalBytes;
        p.checksum = checksum;
        p.offset = newOffset;
        return p;
    }
}
