package craneway.gateway.proxy;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.ByteBuffer;
import java.util.Locale;

/**
 * Relays the event stream of one client, which may come from several runs that continue one another, and checks that
 * their events follow one another. No I/O. Not thread-safe.
 */
final class StreamRelay {
    private final EventSplitter splitter = new EventSplitter();
    private final StreamPosition position;
    private final HttpString versionHeader;
    private boolean inSequence = true;
    private boolean continuation;

    /**
     * Creates the relay of a new stream.
     *
     * @param afterEventId the id after which the client asked the stream to continue, null if it asked for all of it
     * @param versionHeader the header in which a response states its weight version
     */
    StreamRelay(String afterEventId, HttpString versionHeader) {
        this.versionHeader = versionHeader;
        position = new StreamPosition(afterEventId, versionHeader.toString().toLowerCase(Locale.ROOT) + ":");
        continuation = afterEventId != null;
    }

    /** Whether a response with these headers is an event stream. */
    static boolean isEventStream(HeaderMap headers) {
        var contentType = headers.getFirst(Headers.CONTENT_TYPE);
        return contentType != null && contentType.startsWith("text/event-stream");
    }

    /** Starts a run; returns false if it has another weight version and so must not continue the stream. */
    boolean startRun(HeaderMap headers) {
        var version = headers.getFirst(versionHeader);
        return position.startRun(version == null ? null : wholeNumberOrNull(version.trim()));
    }

    private static String wholeNumberOrNull(String text) {
        return text.matches("\\d{1,18}") ? text : null;
    }

    /** The weight version that a run must have to continue the stream; null if none was stated. */
    String weightVersion() {
        return position.weightVersion();
    }

    /** Adds bytes of a run; returns the complete events to relay, or null if there are none yet. */
    ByteBuffer addBytes(ByteBuffer bytes) {
        var events = splitter.addBytes(bytes);
        if (events != null) inSequence &= position.advance(events);
        return events;
    }

    /** Whether all events so far follow one another; if not, the events last returned must not be relayed. */
    boolean isInSequence() {
        return inSequence;
    }

    /** The id of the last event relayed. */
    String lastEventId() {
        return position.lastEventId();
    }

    /** Whether another run may continue after the last event relayed. */
    boolean isResumable() {
        return position.isResumable();
    }

    /** Prepares for the bytes of another run; an incomplete event of the previous run is dropped. */
    void resume() {
        splitter.takeRemainder();
        position.resume();
        continuation = true;
    }

    /** Whether a run without a stated length may end here: not within an event, and not before the first one. */
    boolean mayEnd() {
        return !splitter.isMidEvent() && (continuation || position.hasEvents());
    }

    /** Removes and returns the bytes after the last complete event. */
    ByteBuffer takeRemainder() {
        return ByteBuffer.wrap(splitter.takeRemainder());
    }
}
