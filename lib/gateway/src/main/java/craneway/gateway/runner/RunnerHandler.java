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
import craneway.model.problem.ProblemKind;
import craneway.model.problem.Problem;
import craneway.state.message.Messages.CommandResult;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import java.io.IOException;
import java.util.function.Consumer;

public final class RunnerHandler implements HttpHandler {
    private static final JsonMapper JSON = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    public record Leave(String service, String name, long incarnation) {}

    private final Router router;

    public RunnerHandler(Router router) {
        this.router = router;
    }

    @Override
    public void handleRequest(HttpServerExchange x) {
        var announce = x.getRequestPath().equals("/v1/announce");
        if (!announce && !x.getRequestPath().equals("/v1/leave")) {
            JsonResponses.sendProblem(x, Problem.of(ProblemKind.NO_SUCH_PAGE));
            return;
        }
        if (!x.getRequestMethod().equals(Methods.POST)) {
            JsonResponses.sendProblem(x, Problem.of(ProblemKind.WRONG_METHOD));
            return;
        }
        x.getRequestReceiver().receiveFullBytes((e, b) -> e.dispatch(() -> take(e, b, announce)));
    }

    private void take(HttpServerExchange x, byte[] b, boolean announce) {
        try {
            if (announce) announce(x, JSON.readValue(b, Announcement.class));
            else leave(x, JSON.readValue(b, Leave.class));
        } catch (JsonParseException e) {
            JsonResponses.sendProblem(x, Problem.of(ProblemKind.BAD_JSON, e.getOriginalMessage()));
        } catch (JsonMappingException e) {
            JsonResponses.sendProblem(x, Problem.of(cut(e) ? ProblemKind.BAD_JSON : ProblemKind.BAD_FIELD, e.getOriginalMessage()));
        } catch (IOException e) {
            JsonResponses.sendProblem(x, Problem.of(ProblemKind.BAD_JSON, e.getMessage()));
        }
    }

    private static boolean cut(JsonMappingException e) {
        return e.getCause() instanceof JsonEOFException || e.getCause() instanceof JsonParseException;
    }

    private void announce(HttpServerExchange x, Announcement a) {
        if (blank(a.service())
                || blank(a.name())
                || blank(a.cell())
                || a.address() == null
                || Addresses.isInvalid(a.address())
                || a.slots() < 1
                || a.slots() > 100_000
                || a.load() < 0) {
            JsonResponses.sendProblem(
                    x,
                    Problem.of(
                            ProblemKind.BAD_FIELD,
                            "an announcement needs service, name, cell, address as IP:PORT, slots from 1 and load from 0"));
            return;
        }
        router.announceRunner(a, reply(x));
    }

    private void leave(HttpServerExchange x, Leave l) {
        if (blank(l.service) || blank(l.name))
            JsonResponses.sendProblem(x, Problem.of(ProblemKind.BAD_FIELD, "a leave needs service, name and incarnation"));
        else router.markRunnerLeaving(l.service, l.name, l.incarnation, reply(x));
    }

    private static boolean blank(String s) {
        return s == null || s.isBlank();
    }

    private static Consumer<CommandResult> reply(HttpServerExchange x) {
        x.dispatch();
        return v -> {
            if (v.kind == 0) JsonResponses.sendJson(x, "{\"acknowledged\":true}");
            else JsonResponses.sendProblem(x, new Problem(ProblemKind.of(v.kind), v.detail, v.retryAfter));
        };
    }
}
