package craneway.state.disk;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/** A record of the segments without a header, which sealed files still use; the types hold for all segments. */
final class LegacyRecord {
    static final int KIND_OFFSET = 25;
    static final byte SEGMENT_BASE = 1;
    static final byte TERM_AND_VOTE = 2;
    static final byte ENTRY = 3;
    static final byte TRUNCATION = 4;
    private static final int MAX_RECORD_BYTES = 64 << 20;

    private ByteBuffer buffer;
    private int start;

    LegacyRecord wrap(ByteBuffer buffer, int offset) {
        buffer = buffer;
        start = offset;
        return this;
    }

    static ByteBuffer encode(byte type, long index, long term, int sub, byte[] body) {
        var b = ByteBuffer.allocate(KIND_OFFSET + 4 + body.length);
        b.putInt(0, b.capacity())
                .put(8, type)
                .putLong(9, index)
                .putLong(17, term)
                .putInt(KIND_OFFSET, sub);
        b.put(KIND_OFFSET + 4, body);
        b.putInt(4, checksum(b.array(), 8, b.capacity() - 8));
        return b;
    }

    boolean isValid() {
        if (start + KIND_OFFSET + 4 > buffer.limit()) return false;
        var n = size();
        return n >= KIND_OFFSET + 4
                && n <= MAX_RECORD_BYTES
                && start + n <= buffer.limit()
                && buffer.getInt(start + 4) == checksum(buffer.array(), start + 8, n - 8);
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
        var x = new byte[size() - KIND_OFFSET - 4];
        buffer.get(start + KIND_OFFSET + 4, x);
        return x;
    }

    private static int checksum(byte[] a, int off, int len) {
        var c = new CRC32C();
        c.update(a, off, len);
        return (int) c.getValue();
    }
}
