package craneway.state.disk;

import java.nio.ByteBuffer;

/** Wraps the bytes of a small file so that damage to them is noticed. */
public final class ChecksumEnvelope {
    private ChecksumEnvelope() {}

    /** The bytes to write for a body. */
    public static byte[] wrap(byte[] body) {
        return RecordView.make(RecordView.BASE, 0, 0, 0, body).array();
    }

    /** The body of sealed bytes; throws {@link DiskLostException} if they are damaged. */
    public static byte[] unwrap(String name, byte[] sealed) {
        var v = new RecordView().wrap(ByteBuffer.wrap(sealed), 0);
        if (!v.valid() || v.size() != sealed.length) throw new DiskLostException(name + ": damaged");
        return v.body();
    }
}
