package craneway.gateway.proxy;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Cuts the bytes of an event stream into whole events (WHATWG HTML, 9.2.6) and holds back the part of one. */
final class EventSplitter {
    private static final byte[] NONE = {};

    private byte[] partial = NONE;

    /** Takes bytes; returns the whole events that they complete, null for none. */
    ByteBuffer take(ByteBuffer bytes) {
        var held = partial.length;
        var all = held == 0 ? new byte[bytes.remaining()] : Arrays.copyOf(partial, held + bytes.remaining());
        bytes.get(all, held, all.length - held);
        var end = end(all);
        partial = end == all.length ? NONE : Arrays.copyOfRange(all, end, all.length);
        return end == 0 ? null : ByteBuffer.wrap(all, 0, end);
    }

    /** Behind the last empty line, 0 where there is none. */
    private static int end(byte[] all) {
        for (var i = all.length - 1; i > 0; i--) {
            if (all[i] != '\n') continue;
            if (all[i - 1] == '\n' || i > 2 && all[i - 1] == '\r' && all[i - 2] == '\n') return i + 1;
        }
        return 0;
    }

    /** Whether the bytes taken so far end within an event. */
    boolean midEvent() {
        return partial.length > 0;
    }

    /** Takes what follows the last whole event. */
    byte[] rest() {
        var rest = partial;
        partial = NONE;
        return rest;
    }
}
