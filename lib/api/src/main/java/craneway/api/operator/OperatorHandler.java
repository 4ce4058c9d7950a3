package craneway.api.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import craneway.control.operator.DrainEstimate;
import craneway.control.operator.Intent;
import craneway.control.operator.OperatorCommands;
import craneway.control.store.RebuildProposal;
import craneway.control.store.Store;
import craneway.http.HeaderNames;
import craneway.http.JsonResponses;
import craneway.model.problem.Problem;
import craneway.model.problem.ProblemKind;
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

/** Serves the operators' HTTP interface of one process. Some pages exist only on routers and some only on stores. */
public final class OperatorHandler implements HttpHandler {
    private static final JsonMapper JSON = JsonMapper.builder().build();
    private static final Pattern PLAN_PATH = Pattern.compile("/v1/plans/(\\d{1,18})(/confirm|/stop|/watch)?");
    private static final Pattern MANIFEST_WATCH_PATH = Pattern.compile("/v1/manifest/(\\d{1,18})/watch");

    private final String node;
    private final OperatorCommands operator;
    private final Supplier<String> metrics;
    private final LongFunction<String> usage;
    private final Store store;

    /**
     * Creates the handler.
     *
     * @param node the name of the process
     * @param metrics returns the page of metrics
     * @param usage returns the page of usage records after a number, as JSON; null on a store
     * @param store the store of this process; null on a router
     */
    public OperatorHandler(
            String node, OperatorCommands operator, Supplier<String> metrics, LongFunction<String> usage, Store store) {
        this.node = node;
        this.operator = operator;
        this.metrics = metrics;
        this.usage = usage;
        this.store = store;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        var path = exchange.getRequestPath();
        var planPath = PLAN_PATH.matcher(path);
        switch (exchange.getRequestMethod() + " " + path) {
            case "GET /v1/status" -> sendStatus(exchange);
            case "GET /v1/quiet" -> sendDrainEstimates(exchange);
            case "GET /v1/manifest" -> sendManifest(exchange);
            case "PUT /v1/manifest" -> withBody(exchange, body -> putManifest(exchange, body));
            case "POST /v1/intents" -> withBody(exchange, body -> planIntent(exchange, body));
            case "GET /v1/core/rebuild" -> rebuildCore(exchange, "");
            case "POST /v1/core/rebuild" ->
                withBody(exchange, body -> rebuildCore(exchange, new String(body, StandardCharsets.UTF_8).strip()));
            case "POST /v1/core/accept-claims" -> acceptClaims(exchange);
            case "GET /metrics" -> sendMetrics(exchange);
            case "GET /v1/usage" -> sendUsage(exchange);
            default -> {
                var watchPath = MANIFEST_WATCH_PATH.matcher(path);
                if (watchPath.matches()) watchManifest(exchange, Long.parseLong(watchPath.group(1)));
                else if (planPath.matches())
                    handlePlan(
                            exchange,
                            Long.parseLong(planPath.group(1)),
                            planPath.group(2) == null ? "" : planPath.group(2));
                else JsonResponses.sendProblem(exchange, Problem.of(ProblemKind.NO_SUCH_PAGE));
            }
        }
    }

    private static void withBody(HttpServerExchange exchange, Consumer<byte[]> handler) {
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (e, body) -> {
                            e.dispatch();
                            handler.accept(body);
                        },
                        (e, failure) -> JsonResponses.sendProblem(e, Problem.of(ProblemKind.TOO_LARGE)));
    }

    private void sendMetrics(HttpServerExchange exchange) {
        exchange.getResponseSender().send(metrics.get(), StandardCharsets.UTF_8);
    }

    /** Proposes a rebuild of the core, or carries it out if the token of a proposal is given. */
    private void rebuildCore(HttpServerExchange exchange, String token) {
        if (store == null) {
            JsonResponses.sendProblem(
                    exchange,
                    Problem.of(
                            ProblemKind.NO_SUCH_PAGE,
                            "a router holds no part of the core; send this request to a store"));
            return;
        }
        reply(
                exchange,
                token.isEmpty() ? store.rebuild() : store.rebuild(token),
                rebuild -> toJson(rebuild, !token.isEmpty()));
    }

    private static ObjectNode toJson(RebuildProposal rebuild, boolean done) {
        var json = JsonResponses.JSON
                .createObjectNode()
                .put("state", done ? "rebuilt" : "proposed")
                .put("generation", rebuild.generation())
                .put("token", rebuild.confirmationToken());
        rebuild.kept().forEach(json.putArray("kept")::add);
        rebuild.mayBeLost().forEach(json.putArray("mayBeLost")::add);
        return json;
    }

    private void acceptClaims(HttpServerExchange exchange) {
        exchange.dispatch();
        operator.acceptClaims(result -> reply(exchange, result, parts -> JsonResponses.JSON
                .createObjectNode()
                .put("state", "accepted")
                .put("parts", parts)));
    }

    private void sendUsage(HttpServerExchange exchange) {
        var values = exchange.getQueryParameters().get("after");
        var after = values == null ? "0" : values.getFirst();
        if (usage == null)
            JsonResponses.sendProblem(
                    exchange,
                    Problem.of(ProblemKind.NO_SUCH_PAGE, "a store runs no requests; send this request to a router"));
        else if (!after.matches("\\d{1,18}"))
            JsonResponses.sendProblem(
                    exchange, Problem.of(ProblemKind.BAD_OPERATOR_INPUT, "the query parameter after must be a number"));
        else JsonResponses.sendJson(exchange, usage.apply(Long.parseLong(after)));
    }

    private void sendStatus(HttpServerExchange exchange) {
        exchange.dispatch();
        operator.readStatus(parts ->
                JsonResponses.sendJson(exchange, StatusJson.of(node, parts).toPrettyString()));
    }

    private void sendDrainEstimates(HttpServerExchange exchange) {
        exchange.dispatch();
        operator.estimateDrains(result -> reply(exchange, result, OperatorHandler::drainEstimates));
    }

    private static ObjectNode drainEstimates(List<DrainEstimate> drainEstimates) {
        var json = JsonResponses.JSON.createObjectNode();
        var cells = json.putArray("cells");
        for (var estimate : drainEstimates) {
            var cell = cells.addObject()
                    .put("service", estimate.service())
                    .put("cell", estimate.cell())
                    .put("load", estimate.load())
                    .put("slots", estimate.slots())
                    .put("slotsLeft", estimate.remainingSlots())
                    .put("minutesItWouldHaveFitted", estimate.minutesThatFit());
            estimate.concerns().forEach(cell.putArray("because")::add);
        }
        return json;
    }

    private void sendManifest(HttpServerExchange exchange) {
        exchange.dispatch();
        operator.readManifest(result -> {
            if (result.isLeft()) JsonResponses.sendProblem(exchange, result.getLeft());
            else if (result.get().text.isEmpty())
                JsonResponses.sendProblem(exchange, Problem.of(ProblemKind.NO_MANIFEST));
            else {
                exchange.getResponseHeaders().put(HeaderNames.MANIFEST_VERSION, result.get().version);
                JsonResponses.sendJson(exchange, result.get().text);
            }
        });
    }

    private void putManifest(HttpServerExchange exchange, byte[] body) {
        var base = exchange.getRequestHeaders().getFirst(HeaderNames.BASE_VERSION);
        if (base == null || !base.matches("\\d{1,18}")) {
            JsonResponses.sendProblem(
                    exchange,
                    Problem.of(
                            ProblemKind.BAD_OPERATOR_INPUT,
                            "name the version that this manifest is based on in the header "
                                    + HeaderNames.BASE_VERSION));
            return;
        }
        operator.putManifest(
                Long.parseLong(base),
                new String(body, StandardCharsets.UTF_8),
                result -> reply(exchange, result, OperatorHandler::manifestRollout));
    }

    private void watchManifest(HttpServerExchange exchange, long version) {
        exchange.dispatch();
        operator.watchManifest(version, result -> reply(exchange, result, OperatorHandler::manifestRollout));
    }

    private static ObjectNode manifestRollout(OperatorCommands.RolloutResult rollout) {
        var json = JsonResponses.JSON.createObjectNode();
        json.put("version", rollout.version())
                .put("state", rollout.routersStillActing().isEmpty() ? "confirmed" : "pending")
                .put("everywhere", rollout.unconfirmedMembers().isEmpty());
        rollout.unconfirmedMembers().forEach(json.putArray("notReached")::add);
        rollout.routersStillActing().forEach(json.putArray("notAcknowledged")::add);
        return json;
    }

    private static ObjectNode planRollout(OperatorCommands.RolloutResult rollout) {
        var json = JsonResponses.JSON.createObjectNode();
        json.put("plan", rollout.version())
                .put("state", rollout.routersStillActing().isEmpty() ? "confirmed" : "pending");
        rollout.routersStillActing().forEach(json.putArray("notAcknowledged")::add);
        return json;
    }

    private void planIntent(HttpServerExchange exchange, byte[] body) {
        try {
            operator.createPlan(
                    JSON.readValue(body, Intent.class), result -> reply(exchange, result, StatusJson::plan));
        } catch (JsonProcessingException e) {
            JsonResponses.sendProblem(exchange, Problem.of(ProblemKind.BAD_OPERATOR_INPUT, e.getOriginalMessage()));
        } catch (IOException e) {
            JsonResponses.sendProblem(exchange, Problem.of(ProblemKind.BAD_OPERATOR_INPUT, e.getMessage()));
        }
    }

    private void handlePlan(HttpServerExchange exchange, long id, String action) {
        exchange.dispatch();
        switch (exchange.getRequestMethod() + action) {
            case "GET" -> operator.readPlan(id, result -> reply(exchange, result, StatusJson::plan));
            case "POST/confirm" ->
                operator.confirmPlan(id, result -> reply(exchange, result, OperatorHandler::planRollout));
            case "GET/watch" -> operator.watchPlan(id, result -> reply(exchange, result, OperatorHandler::planRollout));
            case "POST/stop" ->
                operator.stopPlan(
                        id,
                        result -> reply(exchange, result, plan -> JsonResponses.JSON
                                .createObjectNode()
                                .put("plan", plan)
                                .put("state", "stopped")));
            default -> JsonResponses.sendProblem(exchange, Problem.of(ProblemKind.WRONG_METHOD));
        }
    }

    private static <T> void reply(
            HttpServerExchange exchange, Either<Problem, T> result, Function<T, ObjectNode> toJson) {
        if (result.isLeft()) JsonResponses.sendProblem(exchange, result.getLeft());
        else JsonResponses.sendJson(exchange, toJson.apply(result.get()).toString());
    }
}
