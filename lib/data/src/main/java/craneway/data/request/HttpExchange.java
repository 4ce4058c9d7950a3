package craneway.data.request;

import craneway.model.problem.Problem;
import java.util.Map;

/**
 * The HTTP side of one request: the exchange with the client, and calls to runners and other routers. Keeps the
 * request logic free of the HTTP library.
 */
public interface HttpExchange {
    /** Header with the tenant's name. */
    String TENANT_HEADER = "craneway-tenant";

    /** Header with the kind of work. */
    String WORK_HEADER = "craneway-work";

    /** Header with the key that identifies the work across repeated requests. */
    String KEY_HEADER = "craneway-key";

    /** Header with the regions that the request may run in, separated by commas. */
    String REGIONS_HEADER = "craneway-regions";

    /** Header with the milliseconds left until the deadline. */
    String DEADLINE_MS_HEADER = "craneway-deadline-ms";

    /** Header that marks a request as forwarded by a router. */
    String HOP_HEADER = "craneway-hop";

    /** Header that identifies the request to a runner, by the router's name and the request's id. */
    String TRANSACTION_HEADER = "craneway-transaction";

    /** Response header with the code of the problem. */
    String PROBLEM_HEADER = "craneway-problem";

    /** Response header with the retry hint of the problem: microseconds or, for NOT_HOME, the table version. */
    String RETRY_MICROS_HEADER = "craneway-retry-micros";

    /** Response header with the number of requests that the runner has. */
    String LOAD_HEADER = "craneway-load";

    /** Header with the manifest version by which the request was routed. */
    String MANIFEST_VERSION_HEADER = "craneway-manifest";

    /** Header with the version of the placement table by which the request was routed. */
    String TABLE_VERSION_HEADER = "craneway-table";

    /** Path of requests to a runner. */
    String RUNNER_PATH = "/v1/chat/completions";

    /** Path of requests that one router forwards to another. */
    String ROUTER_PATH = "/transaction";

    /** A call to a runner or another router. */
    interface OutgoingCall {
        /** Reports that a chunk was processed, so that more may be read: backpressure towards the sender. */
        void acknowledgeChunk();

        /** Cancels the call. */
        void cancel();
    }

    /** Receives the response of a call, on any thread. */
    interface ResponseListener {
        /** No connection could be opened: the request was not sent. */
        void onRefused();

        /** The status and the headers arrived; header names are in lower case. */
        void onStatus(int code, Map<String, String> headers);

        /** A part of the body arrived. */
        void onChunk(byte[] bytes);

        /** The response ended regularly. */
        void onEnd();

        /** The connection broke after the request was sent, or while it was. */
        void onBroken();
    }

    /** Runs a task later on the thread of this exchange; may be called from any thread. */
    void runLater(Runnable task);

    /** Opens a POST call to a runner or another router. */
    OutgoingCall openCall(
            String address, String path, Map<String, String> headers, byte[] body, ResponseListener listener);

    /** Starts the streamed response to the client. */
    void startResponse();

    /** Writes a part of the response to the client; returns false if the client is gone. */
    boolean writeChunk(byte[] bytes);

    /** Ends a complete response. */
    void endResponse();

    /** Responds with a problem, if no response was started. */
    void sendProblem(Problem problem);

    /**
     * Closes the client's connection, so that the response does not look complete.
     *
     * @param started whether the response was started; if so, an error event with the problem is written first
     */
    void abortResponse(Problem problem, boolean started);
}
