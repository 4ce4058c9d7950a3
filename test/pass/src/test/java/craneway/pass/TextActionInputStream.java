package craneway.pass;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Runs an action once, as soon as a given text has been read from the stream. */
final class TextActionInputStream extends FilterInputStream {
    private final String text;
    private final Runnable action;
    private final StringBuilder received = new StringBuilder();
    private boolean actionRun;

    TextActionInputStream(InputStream in, String text, Runnable action) {
        super(in);
        this.text = text;
        this.action = action;
    }

    @Override
    public int read() throws IOException {
        var single = new byte[1];
        return read(single, 0, 1) < 0 ? -1 : single[0] & 0xff;
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws IOException {
        var count = super.read(buffer, offset, length);
        if (count > 0) appendReceived(new String(buffer, offset, count, StandardCharsets.ISO_8859_1));
        return count;
    }

    private void appendReceived(String newText) {
        received.append(newText);
        if (actionRun || received.indexOf(text) < 0) return;
        actionRun = true;
        action.run();
    }
}
