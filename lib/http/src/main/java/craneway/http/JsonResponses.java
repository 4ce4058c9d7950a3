package craneway.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import craneway.model.problem.Problem;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;

public final class JsonResponses {
    public static final ObjectMapper JSON = new ObjectMapper();

    private JsonResponses() {}

    public static ObjectNode problemJson(Problem p) {
        var n = JSON.createObjectNode();
        var e = n.putObject("error");
        e.put("code", p.kind().code())
                .put("type", p.kind().name().toLowerCase())
                .put("message", p.detail())
                .put("bearing", p.kind().workOutcome().name().toLowerCase());
        if (p.kind().isTransient()) e.put("retry_after_seconds", p.retryAfterSeconds());
        return n;
    }

    public static void sendProblem(HttpServerExchange x, Problem p) {
        sendProblem(x, p, p.kind().status());
    }

    public static void sendProblem(HttpServerExchange x, Problem p, int status) {
        if (x.isResponseStarted()) return;
        x.setStatusCode(status);
        x.getResponseHeaders().put(HeaderNames.PROBLEM, p.kind().code());
        x.getResponseHeaders().put(HeaderNames.RETRY_MICROS, p.retryAfterMicros());
        if (p.kind().isTransient()) x.getResponseHeaders().put(Headers.RETRY_AFTER, p.retryAfterSeconds());
        sendJson(x, problemJson(p).toString());
    }

    public static void sendJson(HttpServerExchange x, String json) {
        x.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        x.getResponseSender().send(json + "\n", StandardCharsets.UTF_8);
    }
}
