package craneway.state.message;

import io.protostuff.LinkedBuffer;
import io.protostuff.ProtostuffIOUtil;
import io.protostuff.runtime.RuntimeSchema;
import java.util.Arrays;

public final class Codec {
    private static final ThreadLocal<LinkedBuffer> BUFFER = ThreadLocal.withInitial(() -> LinkedBuffer.allocate(4096));

    private Codec() {}

    @SuppressWarnings("unchecked")
    public static byte[] encode(Object o) {
        var b = BUFFER.get();
        try {
            return ProtostuffIOUtil.toByteArray(o, RuntimeSchema.getSchema((Class<Object>) o.getClass()), b);
        } finally {
            b.clear();
        }
    }

    public static <T> T decode(Class<T> type, byte[] body) {
        try {
            var schema = RuntimeSchema.getSchema(type);
            var t = schema.newMessage();
            ProtostuffIOUtil.mergeFrom(body, t, schema);
            return t;
        } catch (RuntimeException e) {
            throw new BadMessageException(type.getSimpleName() + ": " + e.getMessage());
        }
    }

    public static byte[] encodeTagged(Object o) {
        var body = encode(o);
        var tagged = new byte[body.length + 1];
        tagged[0] = (byte) Tags.of(o.getClass());
        System.arraycopy(body, 0, tagged, 1, body.length);
        return tagged;
    }

    public static Object decodeTagged(byte[] b) {
        if (b.length == 0) throw new BadMessageException("empty message");
        return decode(Tags.type(b[0]), Arrays.copyOfRange(b, 1, b.length));
    }
}
