package craneway.state.message;

import io.protostuff.LinkedBuffer;
import io.protostuff.ProtostuffIOUtil;
import io.protostuff.runtime.RuntimeSchema;
import java.util.Arrays;

/**
 * Encodes and decodes messages, commands and rows with Protostuff. A tagged encoding starts with one byte that tells
 * the type. Thread-safe.
 */
public final class Codec {
    private static final ThreadLocal<LinkedBuffer> ENCODE_BUFFER =
            ThreadLocal.withInitial(() -> LinkedBuffer.allocate(4096));

    private Codec() {}

    /** Encodes a message without a tag. */
    @SuppressWarnings("unchecked")
    public static byte[] encode(Object message) {
        var buffer = ENCODE_BUFFER.get();
        try {
            return ProtostuffIOUtil.toByteArray(
                    message, RuntimeSchema.getSchema((Class<Object>) message.getClass()), buffer);
        } finally {
            buffer.clear();
        }
    }

    /** Decodes a message of a known type; throws {@link BadMessageException} if that fails. */
    public static <T> T decode(Class<T> type, byte[] body) {
        try {
            var schema = RuntimeSchema.getSchema(type);
            var message = schema.newMessage();
            ProtostuffIOUtil.mergeFrom(body, message, schema);
            return message;
        } catch (RuntimeException e) {
            throw new BadMessageException(type.getSimpleName() + ": " + e.getMessage());
        }
    }

    /** Encodes a message behind the tag of its type. */
    public static byte[] encodeTagged(Object message) {
        var body = encode(message);
        var tagged = new byte[body.length + 1];
        tagged[0] = (byte) MessageTags.tagOf(message.getClass());
        System.arraycopy(body, 0, tagged, 1, body.length);
        return tagged;
    }

    /**
     * Decodes a tagged message; throws {@link BadMessageException} if the tag is unknown or the rest cannot be decoded.
     */
    public static Object decodeTagged(byte[] tagged) {
        if (tagged.length == 0) throw new BadMessageException("empty message");
        return decode(MessageTags.typeOf(tagged[0]), Arrays.copyOfRange(tagged, 1, tagged.length));
    }
}
