package craneway.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import craneway.model.problem.Problem;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;

/** Sends JSON responses, in particular the error responses that describe a {@link Problem}. */
public final class JsonResponses {
    /** Creates the nodes of JSON responses; safe for several threads. */
    public static final ObjectMapper JSON = new ObjectMapper();

    private JsonResponses() {}

    /** Returns the body of the error response for a problem. */
    public static ObjectNode problemJson(Problem problem) {
        var body = JSON.createObjectNode();
        var error = body.putObject("error");
        error.put("code", problem.kind().code())
                .put("type", problem.kind().name().toLowerCase())
                .put("message", problem.detail())
                .put("bearing", problem.kind().workOutcome().name().toLowerCase());
        if (problem.kind().isTransient()) error.put("retry_after_seconds", problem.retryAfterSeconds());
        return body;
    }

    /** Sends a problem with the HTTP status of its kind. Does nothing if the response has started already. */
    public static void sendProblem(HttpServerExchange exchange, Problem problem) {
        sendProblem(exchange, problem, problem.kind().status());
    }

    /** Sends a problem with this HTTP status. Does nothing if the response has started already. */
    public static void sendProblem(HttpServerExchange exchange, Problem problem, int status) {
        if (exchange.isResponseStarted()) return;
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(HeaderNames.PROBLEM, problem.kind().code());
        exchange.getResponseHeaders().put(HeaderNames.RETRY_MICROS, problem.retryAfterMicros());
        if (problem.kind().isTransient())
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, problem.retryAfterSeconds());
        sendJson(exchange, problemJson(problem).toString());
    }

    /** Sends a JSON text, followed by a newline, as the whole response body. */
    public static void sendJson(HttpServerExchange exchange, String json) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(json + "\n", StandardCharsets.UTF_8);
    }
}
