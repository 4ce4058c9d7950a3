package craneway.state.disk;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The start of a segment. The magic number and the format come first in every format. The nonce belongs to this segment
 * alone and enters the checksum of its records; all of the initial length was synced before the segment got its name.
 */
record SegmentHeader(int segment, int core, long nonce, long snapshotIndex, long snapshotTerm, int initialLength) {
    static final int FORMAT = 2;
    static final int SIZE = 52;
    static final int FORMAT_SIZE = 12;
    private static final int MAGIC = 0x43575347;
    private static final int SUM_AT = 12;
    private static final int BODY_AT = 16;

    ByteBuffer encode() {
        var b = ByteBuffer.allocate(SIZE);
        b.putInt(MAGIC).putInt(FORMAT).putInt(~FORMAT).putInt(0);
        b.putInt(segment).putInt(core).putLong(nonce).putLong(snapshotIndex).putLong(snapshotTerm);
        b.putInt(initialLength);
        return b.putInt(SUM_AT, sum(b.array())).flip();
    }

    /** The header of a segment, or null if its bytes are of the format that had none. */
    static SegmentHeader decode(String name, byte[] file) {
        var format = formatOf(name, file);
        if (format != FORMAT) return null;
        var b = ByteBuffer.wrap(file);
        if (file.length < SIZE || b.getInt(SUM_AT) != sum(file))
            throw new DiskLostException(name + ": its header is damaged");
        b.position(BODY_AT);
        return new SegmentHeader(b.getInt(), b.getInt(), b.getLong(), b.getLong(), b.getLong(), b.getInt());
    }

    /** The format of a segment by its first bytes; 1 is the one without a header. */
    static int formatOf(String name, byte[] head) {
        if (head.length < FORMAT_SIZE) throw new DiskLostException(name + ": its header is missing");
        var b = ByteBuffer.wrap(head);
        if (b.getInt() != MAGIC) return 1;
        var format = b.getInt();
        if (b.getInt() != ~format) throw new DiskLostException(name + ": its header is damaged");
        if (format != FORMAT) throw new UnknownFormatException(name, format);
        return format;
    }

    private static int sum(byte[] file) {
        var c = new CRC32C();
        c.update(file, BODY_AT, SIZE - BODY_AT);
        return (int) c.getValue();
    }
}
