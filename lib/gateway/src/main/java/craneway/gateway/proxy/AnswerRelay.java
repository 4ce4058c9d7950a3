package craneway.gateway.proxy;

import craneway.model.manifest.Route;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.ByteBuffer;

/** Passes the answers of one request's runs on to its client: bytes as they come, of a stream whole events that follow one another. */
final class AnswerRelay {
    /** What became of bytes that a runner sent. */
    enum Taken {
        PASSED_ON,
        /** Passed on; the client reads more slowly than the runner writes. */
        CLIENT_IS_SLOW,
        /** Not passed on: they do not go on where the stream stands. */
        DOES_NOT_FOLLOW
    }

    private static final int SUCCESSES = 2;

    private final ClientAnswer answer;
    private final Route route;
    private final HttpString versions;
    private StreamRelay events;
    private boolean joining;

    AnswerRelay(ClientAnswer answer, Route route, HttpString versions) {
        this.answer = answer;
        this.route = route;
        this.versions = versions;
    }

    /** Whether the head of an answer has gone to the client. */
    boolean begun() {
        return answer.begun();
    }

    /** Whether another run may go on with what the client has. */
    boolean resumable() {
        return route.resumable() && events != null && events.resumable();
    }

    /** The next run is to go on with what the client has. */
    void resume() {
        joining = true;
        events.resume();
    }

    /** The stream that the next run is to go on with, null where it is to begin one. */
    StreamRelay goesOnWith() {
        return joining ? events : null;
    }

    /** Whether a run was asked for with a weight version, so that 421 may mean that the runner has another. */
    boolean expectsVersion() {
        return joining && events.version() != null;
    }

    /**
     * A runner's answer begins; false where it is none that may go on with what the client has.
     *
     * @param after the id after which the client itself asked its stream to go on, null for none
     */
    boolean begin(int status, HeaderMap head, String after) {
        var stream = StreamRelay.carries(head);
        if (answer.begun()) return status / 100 == SUCCESSES && stream && events.begins(head);
        if (stream && !head.contains(Headers.CONTENT_LENGTH)) {
            events = new StreamRelay(route.resumable() ? after : null, versions);
            events.begins(head);
        }
        answer.head(status, head);
        if (stream) answer.write(ByteBuffer.allocate(0));
        return true;
    }

    Taken take(ByteBuffer bytes) {
        var whole = events == null ? bytes : events.take(bytes);
        if (events != null && !events.follows()) return Taken.DOES_NOT_FOLLOW;
        return whole == null || answer.write(whole) ? Taken.PASSED_ON : Taken.CLIENT_IS_SLOW;
    }

    void whenDrained(Runnable then) {
        answer.whenDrained(then);
    }

    /** Whether an answer without a length may be over here. */
    boolean mayEnd() {
        return events == null || events.mayEnd();
    }

    /** Ends the answer as complete. */
    void end() {
        if (events != null) answer.write(events.rest());
        answer.end();
    }

    /** Breaks the answer off so that it looks broken off. */
    void cut() {
        answer.cut();
    }

    /** An answer of this router's own. */
    void own(int status, String retryAfter, String problem) {
        answer.own(status, retryAfter, "{\"problem\":\"" + problem + "\"}");
    }
}
