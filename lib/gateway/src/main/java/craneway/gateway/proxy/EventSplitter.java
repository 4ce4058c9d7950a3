package craneway.gateway.proxy;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Splits the bytes of an event stream into complete events (WHATWG HTML, 9.2.6) and buffers an incomplete one. */
final class EventSplitter {
    private static final byte[] EMPTY = {};

    private byte[] partial = EMPTY;

    /** Adds bytes; returns all events that are complete now, or null if there are none. */
    ByteBuffer addBytes(ByteBuffer bytes) {
        var bufferedBytes = partial.length;
        var combined = bufferedBytes == 0
                ? new byte[bytes.remaining()]
                : Arrays.copyOf(partial, bufferedBytes + bytes.remaining());
        bytes.get(combined, bufferedBytes, combined.length - bufferedBytes);
        var eventsEnd = findEventsEnd(combined);
        partial = eventsEnd == combined.length ? EMPTY : Arrays.copyOfRange(combined, eventsEnd, combined.length);
        return eventsEnd == 0 ? null : ByteBuffer.wrap(combined, 0, eventsEnd);
    }

    /** The index after the last empty line, 0 if there is none. */
    private static int findEventsEnd(byte[] bytes) {
        for (var i = bytes.length - 1; i > 0; i--) {
            if (bytes[i] != '\n') continue;
            if (bytes[i - 1] == '\n' || i > 2 && bytes[i - 1] == '\r' && bytes[i - 2] == '\n') return i + 1;
        }
        return 0;
    }

    /** Whether the bytes so far end within an event. */
    boolean isMidEvent() {
        return partial.length > 0;
    }

    /** Removes and returns the bytes after the last complete event. */
    byte[] takeRemainder() {
        var remainder = partial;
        partial = EMPTY;
        return remainder;
    }
}
