package craneway.state.disk;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The start of a segment. The magic number and the format come first in every format. The nonce belongs to this segment
 * alone and enters the checksum of its records; all of the initial length was synced before the segment got its name.
 */
record SegmentHeader(
        int segmentNumber, int coreHash, long nonce, long snapshotIndex, long snapshotTerm, int initialBytes) {
    static final int CURRENT_FORMAT = 2;
    static final int HEADER_BYTES = 52;
    static final int FORMAT_BYTES = 12;
    private static final int MAGIC = 0x43575347;
    private static final int CHECKSUM_OFFSET = 12;
    private static final int BODY_OFFSET = 16;

    ByteBuffer encode() {
        var b = ByteBuffer.allocate(HEADER_BYTES);
        b.putInt(MAGIC).putInt(CURRENT_FORMAT).putInt(~CURRENT_FORMAT).putInt(0);
        b.putInt(segmentNumber)
                .putInt(coreHash)
                .putLong(nonce)
                .putLong(snapshotIndex)
                .putLong(snapshotTerm);
        b.putInt(initialBytes);
        return b.putInt(CHECKSUM_OFFSET, checksum(b.array())).flip();
    }

    /** The header of a segment, or null if its bytes are of the format that had none. */
    static SegmentHeader decode(String name, byte[] file) {
        var format = formatOf(name, file);
        if (format != CURRENT_FORMAT) return null;
        var b = ByteBuffer.wrap(file);
        if (file.length < HEADER_BYTES || b.getInt(CHECKSUM_OFFSET) != checksum(file))
            throw new DiskLostException(name + ": its header is damaged");
        b.position(BODY_OFFSET);
        return new SegmentHeader(b.getInt(), b.getInt(), b.getLong(), b.getLong(), b.getLong(), b.getInt());
    }

    /** The format of a segment by its first bytes; 1 is the one without a header. */
    static int formatOf(String name, byte[] head) {
        if (head.length < FORMAT_BYTES) throw new DiskLostException(name + ": its header is missing");
        var b = ByteBuffer.wrap(head);
        if (b.getInt() != MAGIC) return 1;
        var format = b.getInt();
        if (b.getInt() != ~format) throw new DiskLostException(name + ": its header is damaged");
        if (format != CURRENT_FORMAT) throw new UnknownFormat(name, format);
        return format;
    }

    private static int checksum(byte[] file) {
        var c = new CRC32C();
        c.update(file, BODY_OFFSET, HEADER_BYTES - BODY_OFFSET);
        return (int) c.getValue();
    }
}
