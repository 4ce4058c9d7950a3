package craneway.link.partner;

import craneway.state.message.BadMessage;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** Makes large batches small on the wire. */
final class Packing {
    static final String NAME = "deflate";
    static final int FROM = 4 << 10, MOST = 80 << 20;

    private Packing() { }

    static byte[] pack(byte[] b) {
        var d = new Deflater(Deflater.BEST_SPEED);
        var out = new ByteArrayOutputStream(b.length / 4);
        try (var z = new DeflaterOutputStream(out, d)) {
            z.write(b);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } finally {
            d.end();
        }
        return out.toByteArray();
    }

    static byte[] unpack(byte[] b) {
        try (var z = new InflaterInputStream(new ByteArrayInputStream(b))) {
            var all = z.readNBytes(MOST + 1);
            if (all.length > MOST) throw new BadMessage("a batch of more than " + MOST + " bytes");
            return all;
        } catch (IOException e) {
            throw new BadMessage("packed batch: " + e.getMessage());
        }
    }
}
