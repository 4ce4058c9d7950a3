package craneway.link.pass;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Cuts an event stream into whole events and remembers the last id passed on (WHATWG HTML, 9.2.6). */
final class Events {
    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private String lastId;
    private long count;

    String lastId() { return lastId; }

    long count() { return count; }

    /** Takes bytes; returns the whole events that they complete, null for none. */
    ByteBuffer take(ByteBuffer b) {
        var x = new byte[b.remaining()];
        b.get(x);
        partial.writeBytes(x);
        var all = partial.toByteArray();
        var end = 0;
        for (var i = 1; i < all.length; i++) {
            if (all[i] != '\n' || all[i - 1] != '\n' && !(i > 2 && all[i - 1] == '\r' && all[i - 2] == '\n')) continue;
            id(all, end, i);
            end = i + 1;
            count++;
        }
        if (end == 0) return null;
        partial.reset();
        partial.write(all, end, all.length - end);
        return ByteBuffer.wrap(all, 0, end);
    }

    /** What follows the last whole event. */
    byte[] rest() {
        var r = partial.toByteArray();
        partial.reset();
        return r;
    }

    private void id(byte[] all, int from, int to) {
        for (var line : new String(all, from, to - from, StandardCharsets.UTF_8).split("\r?\n"))
            if (line.startsWith("id:")) lastId = line.substring(3).trim();
    }
}
