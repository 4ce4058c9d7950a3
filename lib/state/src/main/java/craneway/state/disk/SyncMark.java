package craneway.state.disk;

import java.nio.ByteBuffer;

/**
 * How much of a segment was synced, written without a sync of its own after each sync. A loss of power may take it back
 * or tear it; the one that is read never says too much. The nonce is 0 in marks of the format without a header.
 */
record SyncMark(int segmentNumber, long syncedBytes, long nonce) {
    private static final int BODY_BYTES = 20;
    private static final int BODY_BYTES_WITHOUT_NONCE = 12;

    byte[] encode() {
        return Seal.close(ByteBuffer.allocate(BODY_BYTES)
                .putInt(segmentNumber)
                .putLong(syncedBytes)
                .putLong(nonce)
                .array());
    }

    /** The mark in these bytes, or null if there is none or a torn one. */
    static SyncMark decode(byte[] bytes) {
        var v = new LegacyRecord();
        if (bytes == null || !v.wrap(ByteBuffer.wrap(bytes), 0).isValid()) return null;
        var body = v.body();
        var b = ByteBuffer.wrap(body);
        if (body.length == BODY_BYTES_WITHOUT_NONCE) return new SyncMark(b.getInt(), b.getLong(), 0);
        return body.length == BODY_BYTES ? new SyncMark(b.getInt(), b.getLong(), b.getLong()) : null;
    }
}
