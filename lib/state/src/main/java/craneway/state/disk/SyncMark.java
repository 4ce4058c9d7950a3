package craneway.state.disk;

import java.nio.ByteBuffer;

/**
 * States how many bytes of a segment were synced. It is written after each sync, without a sync of its own, so a loss
 * of power may undo or tear it; one that can be read never states too much. The nonce is 0 in marks of format 1.
 */
record SyncMark(int segmentNumber, long syncedBytes, long nonce) {
    private static final int BODY_BYTES = 20;
    private static final int BODY_BYTES_WITHOUT_NONCE = 12;

    byte[] encode() {
        return ChecksumEnvelope.wrap(ByteBuffer.allocate(BODY_BYTES)
                .putInt(segmentNumber)
                .putLong(syncedBytes)
                .putLong(nonce)
                .array());
    }

    /** Decodes a mark; returns null if there is none or it is torn. */
    static SyncMark decode(byte[] bytes) {
        var record = new LegacyRecord();
        if (bytes == null || !record.wrap(ByteBuffer.wrap(bytes), 0).isValid()) return null;
        var body = record.body();
        var buffer = ByteBuffer.wrap(body);
        if (body.length == BODY_BYTES_WITHOUT_NONCE) return new SyncMark(buffer.getInt(), buffer.getLong(), 0);
        return body.length == BODY_BYTES ? new SyncMark(buffer.getInt(), buffer.getLong(), buffer.getLong()) : null;
    }
}
