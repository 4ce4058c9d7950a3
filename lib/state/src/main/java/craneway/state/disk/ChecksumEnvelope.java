package craneway.state.disk;

import java.nio.ByteBuffer;

/** Adds a checksum to the content of a small file so that damage is detected. */
public final class ChecksumEnvelope {
    private ChecksumEnvelope() {}

    /** Returns the content to write for a body. */
    public static byte[] wrap(byte[] body) {
        return LegacyRecord.encode(LegacyRecord.SEGMENT_BASE, 0, 0, 0, body).array();
    }

    /** Returns the body of a file's content; throws {@link DiskLostException} if the content is damaged. */
    public static byte[] unwrap(String name, byte[] sealed) {
        var record = new LegacyRecord().wrap(ByteBuffer.wrap(sealed), 0);
        if (!record.isValid() || record.size() != sealed.length) throw new DiskLostException(name + ": damaged");
        return record.body();
    }
}
