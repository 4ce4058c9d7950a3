package craneway.data.request;

import craneway.model.problem.Problem;
import java.util.Map;

/**
 * The HTTP side of one request: the exchange with the client, and calls to runners and other routers. Keeps the
 * request logic free of the HTTP library.
 */
public interface HttpExchange {
    /** Header with the tenant's name. */
    String TENANT = "craneway-tenant";

    /** Header with the kind of work. */
    String WORK = "craneway-work";

    /** Header with the key that identifies the work across repeated requests. */
    String KEY = "craneway-key";

    /** Header with the regions that the request may run in, separated by commas. */
    String REGIONS = "craneway-regions";

    /** Header with the milliseconds left until the deadline. */
    String DEADLINE = "craneway-deadline-ms";

    /** Header that marks a request as forwarded by a router. */
    String HOP = "craneway-hop";

    /** Header that identifies the request to a runner, by the router's name and the request's id. */
    String TRANSACTION = "craneway-transaction";

    /** Response header with the code of the problem. */
    String PROBLEM = "craneway-problem";

    /** Response header with the retry hint of the problem: microseconds or, for NOT_HOME, the table version. */
    String RETRY_MICROS = "craneway-retry-micros";

    /** Response header with the number of requests that the runner has. */
    String LOAD = "craneway-load";

    /** Header with the manifest version by which the request was routed. */
    String MANIFEST = "craneway-manifest";

    /** Header with the version of the placement table by which the request was routed. */
    String TABLE = "craneway-table";

    /** Path of requests to a runner. */
    String TO_RUNNER = "/v1/chat/completions";

    /** Path of requests that one router forwards to another. */
    String TO_ROUTER = "/transaction";

    /** A call to a runner or another router. */
    interface Call {
        /** Reports that a chunk was processed, so that more may be read: backpressure towards the sender. */
        void took();

        /** Cancels the call. */
        void cancel();
    }

    /** Receives the response of a call, on any thread. */
    interface Sink {
        /** No connection could be opened: the request was not sent. */
        void refused();

        /** The status and the headers arrived; header names are in lower case. */
        void status(int code, Map<String, String> headers);

        /** A part of the body arrived. */
        void chunk(byte[] bytes);

        /** The response ended regularly. */
        void end();

        /** The connection broke after the request was sent, or while it was. */
        void broken();
    }

    /** Runs a task later on the thread of this exchange; may be called from any thread. */
    void later(Runnable task);

    /** Opens a POST call to a runner or another router. */
    Call open(String address, String path, Map<String, String> headers, byte[] body, Sink sink);

    /** Starts the streamed response to the client. */
    void start();

    /** Writes a part of the response to the client; returns false if the client is gone. */
    boolean write(byte[] bytes);

    /** Ends a complete response. */
    void whole();

    /** Responds with a problem, if no response was started. */
    void verdict(Problem problem);

    /**
     * Closes the client's connection, so that the response does not look complete.
     *
     * @param started whether the response was started; if so, an error event with the problem is written first
     */
    void cut(Problem problem, boolean started);
}
