package craneway.gateway.proxy;

import craneway.model.manifest.Route;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.ByteBuffer;

/**
 * Relays the responses of one request's runs to its client: of an event stream, complete events that follow one
 * another; of anything else, bytes as they arrive. All methods run on the one I/O thread.
 */
final class ResponseRelay {
    /** What happened to bytes that a runner sent. */
    enum RelayResult {
        RELAYED,
        /** Relayed, but the client reads more slowly than the runner writes. */
        CLIENT_IS_SLOW,
        /** Not relayed, since they do not continue at the stream's position. */
        OUT_OF_SEQUENCE
    }

    private static final int SUCCESS_STATUS_CLASS = 2;

    private final ClientResponse clientResponse;
    private final Route route;
    private final HttpString versionHeader;
    private StreamRelay stream;
    private boolean resuming;

    ResponseRelay(ClientResponse clientResponse, Route route, HttpString versionHeader) {
        this.clientResponse = clientResponse;
        this.route = route;
        this.versionHeader = versionHeader;
    }

    /** Whether the head of a response was sent to the client. */
    boolean isStarted() {
        return clientResponse.isStarted();
    }

    /** Whether another run may continue what the client has received. */
    boolean isResumable() {
        return route.resumable() && stream != null && stream.isResumable();
    }

    /** Prepares for another run, which must continue what the client has received. */
    void resume() {
        resuming = true;
        stream.resume();
    }

    /** The stream that the next run must continue, null if it must start a new one. */
    StreamRelay streamToContinue() {
        return resuming ? stream : null;
    }

    /** Whether a certain weight version was requested, so that status 421 may mean that the runner has another one. */
    boolean expectsWeightVersion() {
        return resuming && stream.weightVersion() != null;
    }

    /**
     * Starts the response of a run; returns false if it must not continue what the client has received.
     *
     * @param afterEventId the id after which the client itself asked its stream to continue, null if it did not
     */
    boolean startRun(int status, HeaderMap headers, String afterEventId) {
        var isStream = StreamRelay.isEventStream(headers);
        if (clientResponse.isStarted())
            return status / 100 == SUCCESS_STATUS_CLASS && isStream && stream.startRun(headers);
        if (isStream && !headers.contains(Headers.CONTENT_LENGTH)) {
            stream = new StreamRelay(route.resumable() ? afterEventId : null, versionHeader);
            stream.startRun(headers);
        }
        clientResponse.start(status, headers);
        if (isStream) clientResponse.write(ByteBuffer.allocate(0));
        return true;
    }

    /** Relays bytes of the body to the client. */
    RelayResult relay(ByteBuffer bytes) {
        var relayable = stream == null ? bytes : stream.addBytes(bytes);
        if (stream != null && !stream.isInSequence()) return RelayResult.OUT_OF_SEQUENCE;
        return relayable == null || clientResponse.write(relayable) ? RelayResult.RELAYED : RelayResult.CLIENT_IS_SLOW;
    }

    /** Sets the action to run when all bytes queued for the client are written. */
    void whenDrained(Runnable action) {
        clientResponse.whenDrained(action);
    }

    /** Whether a response without a stated length may end here. */
    boolean mayEnd() {
        return stream == null || stream.mayEnd();
    }

    /** Ends the response as complete. */
    void end() {
        if (stream != null) clientResponse.write(stream.takeRemainder());
        clientResponse.end();
    }

    /** Aborts the response so that the client sees that it is incomplete. */
    void abort() {
        clientResponse.abort();
    }

    /** Sends a response of this router's own, with the problem as JSON. */
    void sendProblem(int status, String retryAfter, String problem) {
        clientResponse.sendOwn(status, retryAfter, "{\"problem\":\"" + problem + "\"}");
    }
}
