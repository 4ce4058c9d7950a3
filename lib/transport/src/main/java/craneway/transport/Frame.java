package craneway.transport;

import craneway.state.message.BadMessageException;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * The unit in which messages travel over a socket. A frame has a version (1 byte), flags (1 byte), the id of the
 * sender's core (8 bytes), a CRC-32 of everything else (4 bytes), and a payload, which is compressed if that makes it
 * smaller. The payload holds tagged messages, each after its length as a variable-length integer.
 *
 * @param coreId the core of the sender, 0 if it belongs to none
 * @param payload the uncompressed payload
 */
record Frame(int version, long coreId, byte[] payload) {
    static final int VERSION = 1;
    static final int HEADER_BYTES = 14;

    /** With the headers of UDP and IP this stays below 1280 bytes, the MTU that every IPv6 link supports. */
    static final int MAX_DATAGRAM_BYTES = 1_200;

    static final int MAX_FRAME_BYTES = 80 << 20;
    private static final int COMPRESSED_FLAG = 1;

    /** Smaller payloads are not compressed. */
    private static final int MIN_BYTES_TO_COMPRESS = 300;

    private static final int CHECKSUM_OFFSET = 10;

    private static final ThreadLocal<Deflater> DEFLATER =
            ThreadLocal.withInitial(() -> new Deflater(Deflater.BEST_SPEED, true));
    private static final ThreadLocal<Inflater> INFLATER = ThreadLocal.withInitial(() -> new Inflater(true));

    /**
     * Returns the most bytes that a message can take in an uncompressed payload: itself and up to 5 bytes of length.
     */
    static int maxEncodedSize(byte[] message) {
        return message.length + 5;
    }

    /** Encodes messages as one frame of the given core. */
    static byte[] encode(long coreId, List<byte[]> messages) {
        var plain = ByteBuffer.allocate(
                messages.stream().mapToInt(Frame::maxEncodedSize).sum());
        for (var message : messages) {
            putLength(plain, message.length);
            plain.put(message);
        }
        var compressed = plain.position() > MIN_BYTES_TO_COMPRESS ? compress(plain) : null;
        return compressed != null && compressed.length < plain.position()
                ? assemble(coreId, COMPRESSED_FLAG, compressed, compressed.length)
                : assemble(coreId, 0, plain.array(), plain.position());
    }

    /**
     * Writes a length as a variable-length integer: 7 bits per byte, lowest first, the top bit set on all but the last.
     */
    private static void putLength(ByteBuffer buffer, int length) {
        for (; length > 127; length >>>= 7) buffer.put((byte) (length | 128));
        buffer.put((byte) length);
    }

    private static byte[] assemble(long coreId, int flags, byte[] payload, int payloadBytes) {
        var frame = ByteBuffer.allocate(HEADER_BYTES + payloadBytes)
                .put((byte) VERSION)
                .put((byte) flags)
                .putLong(coreId)
                .putInt(0)
                .put(payload, 0, payloadBytes);
        return frame.putInt(CHECKSUM_OFFSET, checksum(frame.array())).array();
    }

    private static int checksum(byte[] frame) {
        var crc = new CRC32();
        crc.update(frame, 0, CHECKSUM_OFFSET);
        crc.update(frame, HEADER_BYTES, frame.length - HEADER_BYTES);
        return (int) crc.getValue();
    }

    private static byte[] compress(ByteBuffer plain) {
        var deflater = DEFLATER.get();
        deflater.reset();
        deflater.setInput(plain.array(), 0, plain.position());
        deflater.finish();
        var out = new ByteArrayOutputStream(plain.position() / 2);
        var chunk = new byte[Math.min(plain.position(), 64 << 10)];
        while (!deflater.finished()) out.write(chunk, 0, deflater.deflate(chunk));
        return out.toByteArray();
    }

    /**
     * Decodes a frame of this version or the next one; processes of two releases run side by side during an upgrade.
     *
     * @throws BadMessageException if the frame is damaged or has an unknown version
     */
    static Frame decode(byte[] frame) {
        if (frame.length < HEADER_BYTES) throw new BadMessageException("a frame of only " + frame.length + " bytes");
        if (frame[0] != VERSION && frame[0] != VERSION + 1) throw new BadMessageException("wire version " + frame[0]);
        var header = ByteBuffer.wrap(frame);
        if (header.getInt(CHECKSUM_OFFSET) != checksum(frame)) throw new BadMessageException("checksum mismatch");
        var payload = new byte[frame.length - HEADER_BYTES];
        System.arraycopy(frame, HEADER_BYTES, payload, 0, payload.length);
        return new Frame(
                frame[0], header.getLong(2), (frame[1] & COMPRESSED_FLAG) == 0 ? payload : decompress(payload));
    }

    private static byte[] decompress(byte[] compressed) {
        var inflater = INFLATER.get();
        inflater.reset();
        try {
            inflater.setInput(compressed);
            var out = new ByteArrayOutputStream(compressed.length * 3);
            var chunk = new byte[4_096];
            while (!inflater.finished()) {
                var chunkBytes = inflater.inflate(chunk);
                if (chunkBytes == 0 || out.size() > MAX_FRAME_BYTES)
                    throw new BadMessageException("compressed payload is incomplete or too large");
                out.write(chunk, 0, chunkBytes);
            }
            return out.toByteArray();
        } catch (DataFormatException e) {
            throw new BadMessageException("invalid compressed payload: " + e.getMessage());
        }
    }

    /**
     * Splits the payload into its messages.
     *
     * @throws BadMessageException if the payload ends within a message
     */
    List<byte[]> messages() {
        var messages = new ArrayList<byte[]>();
        for (var remaining = ByteBuffer.wrap(payload); remaining.hasRemaining(); ) {
            var message = new byte[readLength(remaining)];
            remaining.get(message);
            messages.add(message);
        }
        return messages;
    }

    private static int readLength(ByteBuffer buffer) {
        var length = 0L;
        for (var shift = 0; ; shift += 7) {
            if (!buffer.hasRemaining() || shift > 28) throw new BadMessageException("invalid message length");
            var next = buffer.get();
            length |= (next & 127L) << shift;
            if (next >= 0) break;
        }
        if (length > buffer.remaining()) throw new BadMessageException("truncated message");
        return (int) length;
    }
}
