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

/** Messages as they travel together: version, flags, core id, checksum, and the tagged messages, deflated where that helps. */
record Frame(int version, long coreId, byte[] payload) {
    static final int VERSION = 1, HEADER_BYTES = 14, MAX_DATAGRAM_BYTES = 1_200, MAX_FRAME_BYTES = 80 << 20;
    private static final int DEFLATED = 1, DEFLATE_FROM = 300, SUM_AT = 10;

    private static final ThreadLocal<Deflater> DEFLATER =
            ThreadLocal.withInitial(() -> new Deflater(Deflater.BEST_SPEED, true));
    private static final ThreadLocal<Inflater> INFLATER = ThreadLocal.withInitial(() -> new Inflater(true));

    static int maxEncodedSize(byte[] m) {
        return m.length + 5;
    }

    static byte[] encode(long core, List<byte[]> messages) {
        var plain = ByteBuffer.allocate(messages.stream().mapToInt(Frame::maxEncodedSize).sum());
        for (var m : messages) {
            size(plain, m.length);
            plain.put(m);
        }
        var whole = plain.position() > DEFLATE_FROM ? deflated(plain) : null;
        return whole != null && whole.length < plain.position()
                ? made(core, DEFLATED, whole, whole.length)
                : made(core, 0, plain.array(), plain.position());
    }

    private static void size(ByteBuffer b, int n) {
        for (; n > 127; n >>>= 7) b.put((byte) (n | 128));
        b.put((byte) n);
    }

    private static byte[] made(long core, int flags, byte[] body, int n) {
        var b = ByteBuffer.allocate(HEADER_BYTES + n)
                .put((byte) VERSION)
                .put((byte) flags)
                .putLong(core)
                .putInt(0)
                .put(body, 0, n);
        return b.putInt(SUM_AT, sum(b.array())).array();
    }

    private static int sum(byte[] b) {
        var c = new CRC32();
        c.update(b, 0, SUM_AT);
        c.update(b, HEADER_BYTES, b.length - HEADER_BYTES);
        return (int) c.getValue();
    }

    private static byte[] deflated(ByteBuffer plain) {
        var d = DEFLATER.get();
        d.reset();
        d.setInput(plain.array(), 0, plain.position());
        d.finish();
        var out = new ByteArrayOutputStream(plain.position() / 2);
        var some = new byte[Math.min(plain.position(), 64 << 10)];
        while (!d.finished()) out.write(some, 0, d.deflate(some));
        return out.toByteArray();
    }

    static Frame decode(byte[] b) {
        if (b.length < HEADER_BYTES) throw new BadMessageException("a frame of " + b.length + " bytes");
        if (b[0] != VERSION && b[0] != VERSION + 1) throw new BadMessageException("wire version " + b[0]);
        var head = ByteBuffer.wrap(b);
        if (head.getInt(SUM_AT) != sum(b)) throw new BadMessageException("checksum differs");
        var body = new byte[b.length - HEADER_BYTES];
        System.arraycopy(b, HEADER_BYTES, body, 0, body.length);
        return new Frame(b[0], head.getLong(2), (b[1] & DEFLATED) == 0 ? body : inflated(body));
    }

    private static byte[] inflated(byte[] body) {
        var i = INFLATER.get();
        i.reset();
        try {
            i.setInput(body);
            var out = new ByteArrayOutputStream(body.length * 3);
            var some = new byte[4_096];
            while (!i.finished()) {
                var n = i.inflate(some);
                if (n == 0 || out.size() > MAX_FRAME_BYTES) throw new BadMessageException("a deflated frame that does not end");
                out.write(some, 0, n);
            }
            return out.toByteArray();
        } catch (DataFormatException e) {
            throw new BadMessageException("deflated: " + e.getMessage());
        }
    }

    List<byte[]> messages() {
        var all = new ArrayList<byte[]>();
        for (var b = ByteBuffer.wrap(payload); b.hasRemaining(); ) {
            var m = new byte[length(b)];
            b.get(m);
            all.add(m);
        }
        return all;
    }

    private static int length(ByteBuffer b) {
        var n = 0L;
        for (var shift = 0; ; shift += 7) {
            if (!b.hasRemaining() || shift > 28) throw new BadMessageException("a message without its length");
            var x = b.get();
            n |= (x & 127L) << shift;
            if (x >= 0) break;
        }
        if (n > b.remaining()) throw new BadMessageException("a message that is cut off");
        return (int) n;
    }
}
