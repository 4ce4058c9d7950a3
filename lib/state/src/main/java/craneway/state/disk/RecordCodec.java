package craneway.state.disk;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * Writes and reads the records of one segment. Each says how many bytes of the segment were known to be synced when it
 * was written, so a whole record proves that all bytes before that length were whole on the disk. The checksum covers the
 * segment's nonce and the record's place too: bytes of another segment or place are no record.
 */
final class RecordCodec {
    static final int HEADER_BYTES = 33;
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

    static int recordSize(LogRecord r) {
        return HEADER_BYTES + r.body().length;
    }

    byte[] encode(LogRecord r, int offset, int synced) {
        var b = ByteBuffer.allocate(recordSize(r));
        b.putInt(0, b.capacity())
                .put(TYPE_OFFSET, r.recordType())
                .putLong(INDEX_OFFSET, r.index())
                .putLong(TERM_OFFSET, r.term())
                .putInt(ENTRY_TYPE_OFFSET, r.entryType())
                .putInt(SYNCED_BYTES_OFFSET, synced)
                .put(HEADER_BYTES, r.body());
        b.putInt(CHECKSUM_OFFSET, checksum(b.array(), 0, b.capacity(), offset));
        return b.array();
    }

    boolean isValid(ByteBuffer file, int at) {
        if (at + HEADER_BYTES > file.limit()) return false;
        var size = recordSize(file, at);
        if (size < HEADER_BYTES || size > MAX_RECORD_BYTES || size > file.limit() - at) return false;
        var type = file.get(at + TYPE_OFFSET);
        return type >= LegacyRecord.TERM_AND_VOTE
                && type <= LegacyRecord.TRUNCATION
                && file.getInt(at + CHECKSUM_OFFSET) == checksum(file.array(), at, size, at);
    }

    /** Whether a whole record at a place proves that more than the given length was synced. */
    boolean provesSyncedBeyond(int length, ByteBuffer file, int at) {
        if (at + HEADER_BYTES > file.limit()) return false;
        var synced = file.getInt(at + SYNCED_BYTES_OFFSET);
        return synced > length && synced <= at && isValid(file, at);
    }

    static int recordSize(ByteBuffer file, int at) {
        return file.getInt(at);
    }

    static LogRecord decode(ByteBuffer file, int at) {
        var body = new byte[recordSize(file, at) - HEADER_BYTES];
        file.get(at + HEADER_BYTES, body);
        return new LogRecord(
                file.get(at + TYPE_OFFSET),
                file.getLong(at + INDEX_OFFSET),
                file.getLong(at + TERM_OFFSET),
                file.getInt(at + ENTRY_TYPE_OFFSET),
                body);
    }

    private int checksum(byte[] bytes, int at, int size, int offset) {
        nonceAndOffset.putInt(Long.BYTES, offset);
        checksum.reset();
        checksum.update(nonceAndOffset.array(), 0, nonceAndOffset.capacity());
        checksum.update(bytes, at + TYPE_OFFSET, size - TYPE_OFFSET);
        return (int) checksum.getValue();
    }
}
