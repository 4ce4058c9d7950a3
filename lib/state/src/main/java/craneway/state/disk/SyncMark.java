package craneway.state.disk;

import java.nio.ByteBuffer;

/**
 * How much of a segment was synced, written without a sync of its own after each sync. A loss of power may take it back
 * or tear it; the one that is read never says too much. The nonce is 0 in marks of the format without a header.
 */
record SyncMark(int segment, long length, long nonce) {
    private static final int SIZE = 20;
    private static final int SIZE_WITHOUT_NONCE = 12;

    byte[] encode() {
        return ChecksumEnvelope.wrap(ByteBuffer.allocate(SIZE)
                .putInt(segment)
                .putLong(length)
                .putLong(nonce)
                .array());
    }

    /** The mark in these bytes, or null if there is none or a torn one. */
    static SyncMark decode(byte[] bytes) {
        var v = new RecordView();
        if (bytes == null || !v.wrap(ByteBuffer.wrap(bytes), 0).valid()) return null;
        var body = v.body();
        var b = ByteBuffer.wrap(body);
        if (body.length == SIZE_WITHOUT_NONCE) return new SyncMark(b.getInt(), b.getLong(), 0);
        return body.length == SIZE ? new SyncMark(b.getInt(), b.getLong(), b.getLong()) : null;
    }
}
