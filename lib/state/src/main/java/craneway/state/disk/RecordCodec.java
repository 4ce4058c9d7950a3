package craneway.state.disk;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * Encodes and decodes the records of one segment. Each record states how many bytes of the segment were known to be
 * synced when it was written, so a valid record proves that the bytes before that length were intact on disk.
 *
 * <p>The checksum also covers the segment's nonce and the record's offset, so bytes from another segment or offset are
 * not accepted as a record.
 */
final class RecordCodec {
    /** The bytes of a record before its body. */
    static final int HEADER_BYTES = 33;
    /** A size field above this is treated as damage. */
    private static final int MAX_RECORD_BYTES = 64 << 20;

    private static final int CHECKSUM_OFFSET = 4;
    private static final int TYPE_OFFSET = 8;
    private static final int INDEX_OFFSET = 9;
    private static final int TERM_OFFSET = 17;
    private static final int ENTRY_TYPE_OFFSET = 25;
    private static final int SYNCED_BYTES_OFFSET = 29;

    private final CRC32C checksum = new CRC32C();
    private final ByteBuffer nonceAndOffset = ByteBuffer.allocate(Long.BYTES + Integer.BYTES);

    RecordCodec(long nonce) {
        nonceAndOffset.putLong(0, nonce);
    }

    /** Returns the encoded size of a record in bytes. */
    static int recordSize(LogRecord record) {
        return HEADER_BYTES + record.body().length;
    }

    /** Encodes a record for the given offset of the segment. */
    byte[] encode(LogRecord record, int offset, int syncedBytes) {
        var buffer = ByteBuffer.allocate(recordSize(record));
        buffer.putInt(0, buffer.capacity())
                .put(TYPE_OFFSET, record.recordType())
                .putLong(INDEX_OFFSET, record.index())
                .putLong(TERM_OFFSET, record.term())
                .putInt(ENTRY_TYPE_OFFSET, record.entryType())
                .putInt(SYNCED_BYTES_OFFSET, syncedBytes)
                .put(HEADER_BYTES, record.body());
        buffer.putInt(CHECKSUM_OFFSET, checksum(buffer.array(), 0, buffer.capacity(), offset));
        return buffer.array();
    }

    /** Returns whether a complete record with a correct checksum starts at the offset. */
    boolean isValid(ByteBuffer file, int offset) {
        if (offset + HEADER_BYTES > file.limit()) return false;
        var size = recordSize(file, offset);
        if (size < HEADER_BYTES || size > MAX_RECORD_BYTES || size > file.limit() - offset) return false;
        var recordType = file.get(offset + TYPE_OFFSET);
        return recordType >= LegacyRecord.TERM_AND_VOTE
                && recordType <= LegacyRecord.TRUNCATION
                && file.getInt(offset + CHECKSUM_OFFSET) == checksum(file.array(), offset, size, offset);
    }

    /** Returns whether a valid record at the offset proves that more than the given number of bytes was synced. */
    boolean provesSyncedBeyond(int length, ByteBuffer file, int offset) {
        if (offset + HEADER_BYTES > file.limit()) return false;
        var syncedBytes = file.getInt(offset + SYNCED_BYTES_OFFSET);
        return syncedBytes > length && syncedBytes <= offset && isValid(file, offset);
    }

    /** Returns the size that the record at the offset states, unchecked. */
    static int recordSize(ByteBuffer file, int offset) {
        return file.getInt(offset);
    }

    /** Decodes the valid record at the offset. */
    static LogRecord decode(ByteBuffer file, int offset) {
        var body = new byte[recordSize(file, offset) - HEADER_BYTES];
        file.get(offset + HEADER_BYTES, body);
        return new LogRecord(
                file.get(offset + TYPE_OFFSET),
                file.getLong(offset + INDEX_OFFSET),
                file.getLong(offset + TERM_OFFSET),
                file.getInt(offset + ENTRY_TYPE_OFFSET),
                body);
    }

    private int checksum(byte[] bytes, int start, int size, int offset) {
        nonceAndOffset.putInt(Long.BYTES, offset);
        checksum.reset();
        checksum.update(nonceAndOffset.array(), 0, nonceAndOffset.capacity());
        checksum.update(bytes, start + TYPE_OFFSET, size - TYPE_OFFSET);
        return (int) checksum.getValue();
    }
}
