package craneway.gateway.runner;

import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.io.JsonEOFException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import craneway.data.router.Router;
import craneway.data.runner.Announcement;
import craneway.http.Addresses;
import craneway.http.JsonResponses;
import craneway.model.problem.Problem;
import craneway.model.problem.ProblemKind;
import craneway.state.message.Messages.CommandResult;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import java.io.IOException;
import java.util.function.Consumer;

/** Handles the announcements and leave notices of runners, which are POST requests with a JSON body. */
public final class RunnerHandler implements HttpHandler {
    private static final JsonMapper JSON = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    /**
     * The JSON body by which a runner states that it leaves.
     *
     * @param service the runner's service
     * @param name the runner's name
     * @param incarnation the incarnation of the runner that leaves
     */
    public record Leave(String service, String name, long incarnation) {}

    private final Router router;

    /** Creates a handler that passes announcements and leave notices to the router. */
    public RunnerHandler(Router router) {
        this.router = router;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        var isAnnouncement = exchange.getRequestPath().equals("/v1/announce");
        if (!isAnnouncement && !exchange.getRequestPath().equals("/v1/leave")) {
            JsonResponses.sendProblem(exchange, Problem.of(ProblemKind.NO_SUCH_PAGE));
            return;
        }
        if (!exchange.getRequestMethod().equals(Methods.POST)) {
            JsonResponses.sendProblem(exchange, Problem.of(ProblemKind.WRONG_METHOD));
            return;
        }
        exchange.getRequestReceiver()
                .receiveFullBytes((e, body) -> e.dispatch(() -> handleBody(e, body, isAnnouncement)));
    }

    private void handleBody(HttpServerExchange exchange, byte[] body, boolean isAnnouncement) {
        try {
            if (isAnnouncement) announce(exchange, JSON.readValue(body, Announcement.class));
            else leave(exchange, JSON.readValue(body, Leave.class));
        } catch (JsonParseException e) {
            JsonResponses.sendProblem(exchange, Problem.of(ProblemKind.BAD_JSON, e.getOriginalMessage()));
        } catch (JsonMappingException e) {
            JsonResponses.sendProblem(
                    exchange,
                    Problem.of(
                            isSyntaxError(e) ? ProblemKind.BAD_JSON : ProblemKind.BAD_FIELD, e.getOriginalMessage()));
        } catch (IOException e) {
            JsonResponses.sendProblem(exchange, Problem.of(ProblemKind.BAD_JSON, e.getMessage()));
        }
    }

    /** Whether truncated or malformed JSON caused the exception, rather than a field of the wrong type. */
    private static boolean isSyntaxError(JsonMappingException exception) {
        return exception.getCause() instanceof JsonEOFException || exception.getCause() instanceof JsonParseException;
    }

    private void announce(HttpServerExchange exchange, Announcement announcement) {
        if (isBlank(announcement.service())
                || isBlank(announcement.name())
                || isBlank(announcement.cell())
                || announcement.address() == null
                || Addresses.isInvalid(announcement.address())
                || announcement.slots() < 1
                || announcement.slots() > 100_000
                || announcement.load() < 0) {
            JsonResponses.sendProblem(
                    exchange,
                    Problem.of(
                            ProblemKind.BAD_FIELD,
                            "an announcement needs service, name, cell, address as IP:PORT, slots from 1 and load from 0"));
            return;
        }
        router.announceRunner(announcement, responder(exchange));
    }

    private void leave(HttpServerExchange exchange, Leave leave) {
        if (isBlank(leave.service) || isBlank(leave.name))
            JsonResponses.sendProblem(
                    exchange, Problem.of(ProblemKind.BAD_FIELD, "a leave needs service, name and incarnation"));
        else router.markRunnerLeaving(leave.service, leave.name, leave.incarnation, responder(exchange));
    }

    private static boolean isBlank(String text) {
        return text == null || text.isBlank();
    }

    /** Dispatches the exchange and returns the callback that sends the result of the command as its response. */
    private static Consumer<CommandResult> responder(HttpServerExchange exchange) {
        exchange.dispatch();
        return result -> {
            if (result.kind == 0) JsonResponses.sendJson(exchange, "{\"acknowledged\":true}");
            else
                JsonResponses.sendProblem(
                        exchange, new Problem(ProblemKind.of(result.kind), result.detail, result.retryAfterMicros));
        };
    }
}
