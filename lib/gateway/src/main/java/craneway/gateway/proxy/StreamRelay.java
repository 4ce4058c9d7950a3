package craneway.gateway.proxy;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;

/** The events of one client's stream, from one run or from several that go on after one another. Decides without I/O. */
final class StreamRelay {
    private final EventSplitter splitter = new EventSplitter();
    private final StreamPosition position;
    private boolean follows = true;
    private boolean joined;

    /**
     * Makes the relay of a stream that begins.
     *
     * @param after the id after which the client asked the stream to go on, null where it asked for the whole
     */
    StreamRelay(String after) {
        position = new StreamPosition(after);
        joined = after != null;
    }

    /** Whether an answer with this head is an event stream. */
    static boolean carries(HeaderMap headers) {
        var type = headers.getFirst(Headers.CONTENT_TYPE);
        return type != null && type.startsWith("text/event-stream");
    }

    /** Takes bytes of a run; returns the whole events to pass on, null for none. */
    ByteBuffer take(ByteBuffer bytes) {
        var whole = splitter.take(bytes);
        if (whole != null) follows &= position.follows(whole);
        return whole;
    }

    /** Whether all events taken so far follow one another; where not, what was taken last must not be passed on. */
    boolean follows() {
        return follows;
    }

    /** The id of the last event passed on. */
    String lastId() {
        return position.lastId();
    }

    /** Whether another run may go on after the last event passed on. */
    boolean resumable() {
        return position.resumable();
    }

    /** The bytes that come next are of another run; the part of an event that the last one left is dropped. */
    void resume() {
        splitter.rest();
        position.resume();
        joined = true;
    }

    /** Whether a run without a length may be over here: not within an event, nor before any. */
    boolean mayEnd() {
        return !splitter.midEvent() && (joined || position.any());
    }

    /** Takes what follows the last whole event. */
    ByteBuffer rest() {
        return ByteBuffer.wrap(splitter.rest());
    }
}
