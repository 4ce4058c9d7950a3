package craneway.gateway.proxy;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.ByteBuffer;
import java.util.Locale;

/** The events of one client's stream, from one run or from several that go on after one another. Decides without I/O. */
final class StreamRelay {
    private final EventSplitter splitter = new EventSplitter();
    private final StreamPosition position;
    private final HttpString versions;
    private boolean follows = true;
    private boolean joined;

    /**
     * Makes the relay of a stream that begins.
     *
     * @param after the id after which the client asked the stream to go on, null where it asked for the whole
     * @param versions the header by which an answer tells the version of its weights
     */
    StreamRelay(String after, HttpString versions) {
        this.versions = versions;
        position = new StreamPosition(after, versions.toString().toLowerCase(Locale.ROOT) + ":");
        joined = after != null;
    }

    /** Whether an answer with this head is an event stream. */
    static boolean carries(HeaderMap headers) {
        var type = headers.getFirst(Headers.CONTENT_TYPE);
        return type != null && type.startsWith("text/event-stream");
    }

    /** A run begins with this head; false where it may not go on with the stream, being of other weights. */
    boolean begins(HeaderMap head) {
        var told = head.getFirst(versions);
        return position.begins(told == null ? null : wholeNumber(told.trim()));
    }

    private static String wholeNumber(String text) {
        return text.matches("\\d{1,18}") ? text : null;
    }

    /** The weight version that a run has to have which goes on; null where none was told. */
    String version() {
        return position.version();
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
