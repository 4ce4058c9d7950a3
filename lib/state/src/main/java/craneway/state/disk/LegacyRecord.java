package craneway.state.disk;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * A view of a record of format 1: size (4 bytes), checksum (4), type (1), index (8), term (8), kind (4) and body.
 * Checksummed small files still use it (see {@link ChecksumEnvelope}), and its record types apply to all formats.
 */
final class LegacyRecord {
    /** The offset of the kind, the last field of the header; the body starts 4 bytes later. */
    static final int KIND_OFFSET = 25;
    /**
     * The first record of a segment of format 1, with its snapshot and core; also the only record of a checksummed
     * file.
     */
    static final byte SEGMENT_BASE = 1;
    /** A new term and the vote in it. */
    static final byte TERM_AND_VOTE = 2;
    /** An appended entry. */
    static final byte ENTRY = 3;
    /** The removal of all entries from an index on. */
    static final byte TRUNCATION = 4;
    /** A size field above this is treated as damage. */
    private static final int MAX_RECORD_BYTES = 64 << 20;

    private ByteBuffer buffer;
    private int start;

    /** Moves this view to an offset of a file. */
    LegacyRecord wrap(ByteBuffer file, int offset) {
        buffer = file;
        start = offset;
        return this;
    }

    /** Encodes a record. */
    static ByteBuffer encode(byte type, long index, long term, int kind, byte[] body) {
        var record = ByteBuffer.allocate(KIND_OFFSET + 4 + body.length);
        record.putInt(0, record.capacity())
                .put(8, type)
                .putLong(9, index)
                .putLong(17, term)
                .putInt(KIND_OFFSET, kind);
        record.put(KIND_OFFSET + 4, body);
        record.putInt(4, checksum(record.array(), 8, record.capacity() - 8));
        return record;
    }

    /** Returns whether a complete record with a correct checksum starts here. */
    boolean isValid() {
        if (start + KIND_OFFSET + 4 > buffer.limit()) return false;
        var size = size();
        return size >= KIND_OFFSET + 4
                && size <= MAX_RECORD_BYTES
                && start + size <= buffer.limit()
                && buffer.getInt(start + 4) == checksum(buffer.array(), start + 8, size - 8);
    }

    int size() {
        return buffer.getInt(start);
    }

    byte type() {
        return buffer.get(start + 8);
    }

    long index() {
        return buffer.getLong(start + 9);
    }

    long term() {
        return buffer.getLong(start + 17);
    }

    int kind() {
        return buffer.getInt(start + KIND_OFFSET);
    }

    byte[] body() {
        var body = new byte[size() - KIND_OFFSET - 4];
        buffer.get(start + KIND_OFFSET + 4, body);
        return body;
    }

    private static int checksum(byte[] bytes, int offset, int length) {
        var crc = new CRC32C();
        crc.update(bytes, offset, length);
        return (int) crc.getValue();
    }
}
