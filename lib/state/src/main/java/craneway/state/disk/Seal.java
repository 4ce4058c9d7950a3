package craneway.state.disk;

import java.nio.ByteBuffer;

/** Wraps the bytes of a small file so that damage to them is noticed. */
public final class Seal {
    private Seal() {}

    /** The bytes to write for a body. */
    public static byte[] close(byte[] body) {
        return LegacyRecord.encode(LegacyRecord.SEGMENT_BASE, 0, 0, 0, body).array();
    }

    /** The body of sealed bytes; throws {@link DiskLostException} if they are damaged. */
    public static byte[] open(String name, byte[] sealed) {
        var v = new LegacyRecord().wrap(ByteBuffer.wrap(sealed), 0);
        if (!v.isValid() || v.size() != sealed.length) throw new DiskLostException(name + ": damaged");
        return v.body();
    }
}
