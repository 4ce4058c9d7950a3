package craneway.pass;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Runs an action once this text has been read. */
final class PlantAt extends FilterInputStream {
    private final String text;
    private final Runnable action;
    private final StringBuilder read = new StringBuilder();
    private boolean done;

    PlantAt(InputStream in, String text, Runnable action) {
        super(in);
        this.text = text;
        this.action = action;
    }

    @Override
    public int read() throws IOException {
        var one = new byte[1];
        return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
    }

    @Override
    public int read(byte[] b, int off, int len) throws IOException {
        var n = super.read(b, off, len);
        if (n > 0) seen(new String(b, off, n, StandardCharsets.ISO_8859_1));
        return n;
    }

    private void seen(String more) {
        read.append(more);
        if (done || read.indexOf(text) < 0) return;
        done = true;
        action.run();
    }
}
