package craneway.api.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import craneway.control.operator.Intent;
import craneway.control.operator.OperatorCommands;
import craneway.control.operator.DrainEstimate;
import craneway.control.store.RebuildProposal;
import craneway.control.store.Store;
import craneway.http.HeaderNames;
import craneway.http.JsonResponses;
import craneway.model.problem.ProblemKind;
import craneway.model.problem.Problem;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import java.util.regex.Pattern;

public final class OperatorHandler implements HttpHandler {
    private static final JsonMapper JSON = JsonMapper.builder().build();
    private static final Pattern PLAN = Pattern.compile("/v1/plans/(\\d{1,18})(/confirm|/stop|/watch)?"),
            MANIFEST = Pattern.compile("/v1/manifest/(\\d{1,18})/watch");

    private final String node;
    private final OperatorCommands operator;
    private final Supplier<String> metrics;
    private final LongFunction<String> usage;
    private final Store store;

    public OperatorHandler(
            String node, OperatorCommands operator, Supplier<String> metrics, LongFunction<String> usage, Store store) {
        this.node = node;
        this.operator = operator;
        this.metrics = metrics;
        this.usage = usage;
        this.store = store;
    }

    @Override
    public void handleRequest(HttpServerExchange x) {
        var path = x.getRequestPath();
        var m = PLAN.matcher(path);
        switch (x.getRequestMethod() + " " + path) {
            case "GET /v1/status" -> status(x);
            case "GET /v1/quiet" -> quiet(x);
            case "GET /v1/manifest" -> manifest(x);
            case "PUT /v1/manifest" -> withBody(x, b -> send(x, b));
            case "POST /v1/intents" -> withBody(x, b -> intent(x, b));
            case "GET /v1/core/rebuild" -> core(x, "");
            case "POST /v1/core/rebuild" -> withBody(x, b -> core(x, new String(b, StandardCharsets.UTF_8).strip()));
            case "POST /v1/core/accept-claims" -> acceptClaims(x);
            case "GET /metrics" -> metrics(x);
            case "GET /v1/usage" -> usage(x);
            default -> {
                var w = MANIFEST.matcher(path);
                if (w.matches()) watchManifest(x, Long.parseLong(w.group(1)));
                else if (m.matches()) plan(x, Long.parseLong(m.group(1)), m.group(2) == null ? "" : m.group(2));
                else JsonResponses.sendProblem(x, Problem.of(ProblemKind.NO_SUCH_PAGE));
            }
        }
    }

    private static void withBody(HttpServerExchange x, Consumer<byte[]> then) {
        x.getRequestReceiver()
                .receiveFullBytes(
                        (e, b) -> {
                            e.dispatch();
                            then.accept(b);
                        },
                        (e, p) -> JsonResponses.sendProblem(e, Problem.of(ProblemKind.TOO_LARGE)));
    }

    private void metrics(HttpServerExchange x) {
        x.getResponseSender().send(metrics.get(), StandardCharsets.UTF_8);
    }

    private void core(HttpServerExchange x, String token) {
        if (store == null) {
            JsonResponses.sendProblem(x, Problem.of(ProblemKind.NO_SUCH_PAGE, "a router holds no core; ask a store"));
            return;
        }
        reply(x, token.isEmpty() ? store.rebuild() : store.rebuild(token), r -> rebuild(r, !token.isEmpty()));
    }

    private static ObjectNode rebuild(RebuildProposal r, boolean done) {
        var n = JsonResponses.JSON
                .createObjectNode()
                .put("state", done ? "rebuilt" : "proposed")
                .put("generation", r.generation())
                .put("token", r.confirmationToken());
        r.kept().forEach(n.putArray("kept")::add);
        r.mayBeLost().forEach(n.putArray("mayBeLost")::add);
        return n;
    }

    private void acceptClaims(HttpServerExchange x) {
        x.dispatch();
        operator.acceptClaims(r -> reply(
                x,
                r,
                n -> JsonResponses.JSON.createObjectNode().put("state", "accepted").put("parts", n)));
    }

    private void usage(HttpServerExchange x) {
        var q = x.getQueryParameters().get("after");
        var after = q == null ? "0" : q.getFirst();
        if (usage == null)
            JsonResponses.sendProblem(x, Problem.of(ProblemKind.NO_SUCH_PAGE, "a store runs no transactions; ask a router"));
        else if (!after.matches("\\d{1,18}"))
            JsonResponses.sendProblem(x, Problem.of(ProblemKind.BAD_OPERATOR_INPUT, "after must be a number"));
        else JsonResponses.sendJson(x, usage.apply(Long.parseLong(after)));
    }

    private void status(HttpServerExchange x) {
        x.dispatch();
        operator.readStatus(parts -> JsonResponses.sendJson(x, StatusJson.of(node, parts).toPrettyString()));
    }

    private void quiet(HttpServerExchange x) {
        x.dispatch();
        operator.estimateDrains(r -> reply(x, r, OperatorHandler::cells));
    }

    private static ObjectNode cells(List<DrainEstimate> all) {
        var n = JsonResponses.JSON.createObjectNode();
        var list = n.putArray("cells");
        for (var q : all) {
            var c = list.addObject()
                    .put("service", q.service())
                    .put("cell", q.cell())
                    .put("load", q.load())
                    .put("slots", q.slots())
                    .put("slotsLeft", q.remainingSlots())
                    .put("minutesItWouldHaveFitted", q.minutesThatFit());
            q.concerns().forEach(c.putArray("because")::add);
        }
        return n;
    }

    private void manifest(HttpServerExchange x) {
        x.dispatch();
        operator.readManifest(r -> {
            if (r.isLeft()) JsonResponses.sendProblem(x, r.getLeft());
            else if (r.get().text.isEmpty()) JsonResponses.sendProblem(x, Problem.of(ProblemKind.NO_MANIFEST));
            else {
                x.getResponseHeaders().put(HeaderNames.MANIFEST_VERSION, r.get().version);
                JsonResponses.sendJson(x, r.get().text);
            }
        });
    }

    private void send(HttpServerExchange x, byte[] b) {
        var base = x.getRequestHeaders().getFirst(HeaderNames.BASE_VERSION);
        if (base == null || !base.matches("\\d{1,18}")) {
            JsonResponses.sendProblem(
                    x,
                    Problem.of(
                            ProblemKind.BAD_OPERATOR_INPUT,
                            "name the version this manifest was written against in the header " + HeaderNames.BASE_VERSION));
            return;
        }
        operator.putManifest(
                Long.parseLong(base),
                new String(b, StandardCharsets.UTF_8),
                r -> reply(x, r, OperatorHandler::carried));
    }

    private void watchManifest(HttpServerExchange x, long version) {
        x.dispatch();
        operator.watchManifest(version, r -> reply(x, r, OperatorHandler::carried));
    }

    private static ObjectNode carried(OperatorCommands.RolloutResult c) {
        var n = JsonResponses.JSON.createObjectNode();
        n.put("version", c.version())
                .put("state", c.routersStillActing().isEmpty() ? "confirmed" : "pending")
                .put("everywhere", c.unconfirmedMembers().isEmpty());
        c.unconfirmedMembers().forEach(n.putArray("notReached")::add);
        c.routersStillActing().forEach(n.putArray("notAcknowledged")::add);
        return n;
    }

    private static ObjectNode confirmed(OperatorCommands.RolloutResult c) {
        var n = JsonResponses.JSON.createObjectNode();
        n.put("plan", c.version()).put("state", c.routersStillActing().isEmpty() ? "confirmed" : "pending");
        c.routersStillActing().forEach(n.putArray("notAcknowledged")::add);
        return n;
    }

    private void intent(HttpServerExchange x, byte[] b) {
        try {
            operator.createPlan(JSON.readValue(b, Intent.class), r -> reply(x, r, StatusJson::plan));
        } catch (JsonProcessingException e) {
            JsonResponses.sendProblem(x, Problem.of(ProblemKind.BAD_OPERATOR_INPUT, e.getOriginalMessage()));
        } catch (IOException e) {
            JsonResponses.sendProblem(x, Problem.of(ProblemKind.BAD_OPERATOR_INPUT, e.getMessage()));
        }
    }

    private void plan(HttpServerExchange x, long id, String act) {
        x.dispatch();
        switch (x.getRequestMethod() + act) {
            case "GET" -> operator.readPlan(id, r -> reply(x, r, StatusJson::plan));
            case "POST/confirm" -> operator.confirmPlan(id, r -> reply(x, r, OperatorHandler::confirmed));
            case "GET/watch" -> operator.watchPlan(id, r -> reply(x, r, OperatorHandler::confirmed));
            case "POST/stop" ->
                operator.stopPlan(
                        id,
                        r -> reply(x, r, v -> JsonResponses.JSON
                                .createObjectNode()
                                .put("plan", v)
                                .put("state", "stopped")));
            default -> JsonResponses.sendProblem(x, Problem.of(ProblemKind.WRONG_METHOD));
        }
    }

    private static <T> void reply(HttpServerExchange x, Either<Problem, T> r, Function<T, ObjectNode> json) {
        if (r.isLeft()) JsonResponses.sendProblem(x, r.getLeft());
        else JsonResponses.sendJson(x, json.apply(r.get()).toString());
    }
}
