package craneway.pass;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

/** Counts a latch down once a given text has been read from the stream. */
final class TextLatchInputStream extends FilterInputStream {
    private final String text;
    private final CountDownLatch found;
    private final StringBuilder received = new StringBuilder();

    TextLatchInputStream(InputStream in, String text, CountDownLatch found) {
        super(in);
        this.text = text;
        this.found = found;
    }

    @Override
    public int read() throws IOException {
        var next = super.read();
        if (next >= 0) appendReceived(new byte[] {(byte) next}, 1);
        return next;
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws IOException {
        var count = super.read(buffer, offset, length);
        if (count > 0) appendReceived(java.util.Arrays.copyOfRange(buffer, offset, offset + count), count);
        return count;
    }

    private void appendReceived(byte[] buffer, int count) {
        received.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
        if (received.indexOf(text) >= 0) found.countDown();
    }
}
