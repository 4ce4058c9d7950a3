package craneway.state.disk;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The header of a segment. Every format that has a header starts with the magic number and the format. The nonce is
 * unique to the segment and part of the checksum of its records. The initial bytes were all synced before the segment
 * got its name.
 */
record SegmentHeader(
        int segmentNumber, int coreHash, long nonce, long snapshotIndex, long snapshotTerm, int initialBytes) {
    /** The format that this version writes. */
    static final int CURRENT_FORMAT = 2;

    static final int HEADER_BYTES = 52;
    /** The bytes that identify the format: the magic number, the format and its complement. */
    static final int FORMAT_BYTES = 12;
    /** "CWSG" in ASCII. */
    private static final int MAGIC = 0x43575347;

    private static final int CHECKSUM_OFFSET = 12;
    private static final int BODY_OFFSET = 16;

    /** Encodes the header. */
    ByteBuffer encode() {
        var buffer = ByteBuffer.allocate(HEADER_BYTES);
        buffer.putInt(MAGIC).putInt(CURRENT_FORMAT).putInt(~CURRENT_FORMAT).putInt(0);
        buffer.putInt(segmentNumber)
                .putInt(coreHash)
                .putLong(nonce)
                .putLong(snapshotIndex)
                .putLong(snapshotTerm);
        buffer.putInt(initialBytes);
        return buffer.putInt(CHECKSUM_OFFSET, checksum(buffer.array())).flip();
    }

    /** Decodes the header of a segment; returns null if the segment has format 1, which has no header. */
    static SegmentHeader decode(String fileName, byte[] file) {
        var format = formatOf(fileName, file);
        if (format != CURRENT_FORMAT) return null;
        var buffer = ByteBuffer.wrap(file);
        if (file.length < HEADER_BYTES || buffer.getInt(CHECKSUM_OFFSET) != checksum(file))
            throw new DiskLostException(fileName + ": the header is damaged");
        buffer.position(BODY_OFFSET);
        return new SegmentHeader(
                buffer.getInt(),
                buffer.getInt(),
                buffer.getLong(),
                buffer.getLong(),
                buffer.getLong(),
                buffer.getInt());
    }

    /** Returns the format of a segment by its first bytes; 1 is the format without a header. */
    static int formatOf(String fileName, byte[] start) {
        if (start.length < FORMAT_BYTES) throw new DiskLostException(fileName + ": the header is missing");
        var buffer = ByteBuffer.wrap(start);
        if (buffer.getInt() != MAGIC) return 1;
        var format = buffer.getInt();
        if (buffer.getInt() != ~format) throw new DiskLostException(fileName + ": the header is damaged");
        if (format != CURRENT_FORMAT) throw new UnknownFormatException(fileName, format);
        return format;
    }

    private static int checksum(byte[] file) {
        var crc = new CRC32C();
        crc.update(file, BODY_OFFSET, HEADER_BYTES - BODY_OFFSET);
        return (int) crc.getValue();
    }
}
