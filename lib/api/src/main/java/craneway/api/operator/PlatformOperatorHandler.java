package craneway.api.operator;

import craneway.api.platform.PlatformFormats;
import craneway.control.operator.PlatformCommands;
import craneway.http.CallerPresence;
import craneway.http.Exchanges;
import craneway.http.JsonResponses;
import craneway.model.problem.Problem;
import craneway.model.problem.ProblemKind;
import craneway.state.message.Commands;
import craneway.state.record.Rows;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.LongConsumer;

/**
 * Serves the part of a store's HTTP interface in which a platform sends configurations, marks zones as emptied and
 * reports the heartbeats of its runners, in the platform's own formats.
 */
public final class PlatformOperatorHandler implements HttpHandler {
    private final PlatformFormats formats;
    private final PlatformCommands commands;
    private final Set<String> zones;
    private final Executor configurationExecutor;
    private final CallerPresence callerPresence;

    /**
     * Creates the handler.
     *
     * @param zones the names of the zones that may be marked as emptied
     * @param configurationExecutor reads configurations, which may take long
     */
    public PlatformOperatorHandler(
            PlatformFormats formats,
            PlatformCommands commands,
            Set<String> zones,
            Executor configurationExecutor,
            CallerPresence callerPresence) {
        this.formats = formats;
        this.commands = commands;
        this.zones = zones;
        this.configurationExecutor = configurationExecutor;
        this.callerPresence = callerPresence;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        var paths = formats.paths();
        var path = exchange.getRequestPath();
        if (path.equals(paths.configuration())) handleConfiguration(exchange);
        else if (nameAfter(path, paths.runnerPrefix()) != null)
            handleRunner(exchange, nameAfter(path, paths.runnerPrefix()));
        else if (nameAfter(path, paths.zonePrefix()) != null) handleZone(exchange, nameAfter(path, paths.zonePrefix()));
        else Exchanges.sendNotFound(exchange);
    }

    /** Returns the name that follows the prefix in a path, or null if the path is not such a path. */
    private static String nameAfter(String path, String prefix) {
        if (!path.startsWith(prefix) || path.length() == prefix.length()) return null;
        var name = path.substring(prefix.length());
        return name.indexOf('/') < 0 ? name : null;
    }

    private void handleConfiguration(HttpServerExchange exchange) {
        switch (exchange.getRequestMethod().toString()) {
            case "GET" ->
                Exchanges.dispatch(
                        exchange,
                        () -> commands.readManifest(
                                result -> sendConfiguration(exchange, result.map(manifest -> manifest.sourceText))));
            case "PUT" -> Exchanges.readBody(exchange, configurationExecutor, body -> putConfiguration(exchange, body));
            default -> Exchanges.sendMethodNotAllowed(exchange);
        }
    }

    private static void sendConfiguration(HttpServerExchange exchange, Either<Problem, String> source) {
        if (source.isLeft()) sendProblem(exchange, source.getLeft());
        else if (source.get().isEmpty()) Exchanges.sendNotFound(exchange);
        else {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
            exchange.getResponseSender().send(source.get(), StandardCharsets.UTF_8);
        }
    }

    private void putConfiguration(HttpServerExchange exchange, byte[] body) {
        var base = baseVersion(exchange.getRequestHeaders().getFirst(Headers.IF_MATCH));
        var configuration = formats.readConfiguration(body);
        if (base < 0)
            sendProblem(
                    exchange,
                    Problem.of(
                            ProblemKind.BAD_OPERATOR_INPUT,
                            "name the version that this configuration is based on in the header If-Match"));
        else if (configuration.isLeft()) sendProblem(exchange, configuration.getLeft());
        else
            commands.putManifest(
                    base,
                    configuration.get().version(),
                    configuration.get().manifest(),
                    configuration.get().source(),
                    callerPresence.now(),
                    result -> complete(exchange, result, ""));
    }

    /** Returns the version in an If-Match header, which may be quoted, or -1 if there is none. */
    private static long baseVersion(String ifMatch) {
        var version = ifMatch == null ? "" : ifMatch.strip().replace("\"", "");
        return version.matches("\\d{1,18}") ? Long.parseLong(version) : -1;
    }

    private void handleZone(HttpServerExchange exchange, String zone) {
        var method = exchange.getRequestMethod().toString();
        if (!zones.contains(zone)) Exchanges.sendNotFound(exchange);
        else if (!method.equals("POST") && !method.equals("DELETE")) Exchanges.sendMethodNotAllowed(exchange);
        else
            ifCallerWaits(
                    exchange,
                    receivedAt -> commands.markZone(
                            zone, method.equals("POST"), receivedAt, result -> complete(exchange, result, "")));
    }

    private void handleRunner(HttpServerExchange exchange, String name) {
        switch (exchange.getRequestMethod().toString()) {
            case "PUT" ->
                Exchanges.readBody(
                        exchange, SameThreadExecutor.INSTANCE, body -> handleHeartbeat(exchange, name, body));
            case "DELETE" ->
                ifCallerWaits(
                        exchange,
                        receivedAt ->
                                commands.markRunnerLeaving(name, receivedAt, result -> complete(exchange, result, "")));
            default -> Exchanges.sendMethodNotAllowed(exchange);
        }
    }

    private void handleHeartbeat(HttpServerExchange exchange, String name, byte[] body) {
        var heartbeat = formats.readHeartbeat(name, body);
        if (heartbeat.isLeft()) sendProblem(exchange, heartbeat.getLeft());
        else
            commands.reportRunnerHeartbeat(
                    toCommand(heartbeat.get()),
                    callerPresence.now(),
                    result -> complete(exchange, result, formats.heartbeatResponse()));
    }

    /**
     * Passes a request on only if its caller may still be waiting for the response. This guards requests that name
     * neither their predecessor nor the process instance they refer to: a caller that has given up may have sent the
     * same request to another node since, and then the reverse one.
     */
    private void ifCallerWaits(HttpServerExchange exchange, LongConsumer action) {
        var startedAt = callerPresence.now();
        Exchanges.dispatch(exchange, () -> {
            var now = callerPresence.now();
            if (callerPresence.mayBeWaiting(exchange, startedAt, now)) action.accept(startedAt);
            else sendProblem(exchange, Problem.of(ProblemKind.STALE_CALL));
        });
    }

    private static Commands.RunnerPut toCommand(PlatformFormats.RunnerHeartbeat heartbeat) {
        var command = new Commands.RunnerPut();
        var runner = heartbeat.announcement();
        command.service = runner.service();
        command.runner = runner.name();
        command.address = runner.address();
        command.cell = runner.cell();
        command.slots = runner.slots();
        command.incarnation = runner.incarnation();
        command.cold = runner.cold();
        command.load = runner.load();
        command.state = heartbeat.leaving() ? Rows.Runner.LEAVING : Rows.Runner.UP;
        command.coldMicros = heartbeat.remainingColdTime();
        command.goneAfterMicros = heartbeat.remainingLifetime();
        command.sequence = heartbeat.sequence();
        return command;
    }

    private static void complete(HttpServerExchange exchange, Either<Problem, Void> result, String json) {
        if (result.isLeft()) sendProblem(exchange, result.getLeft());
        else if (json.isEmpty()) exchange.endExchange();
        else JsonResponses.sendJson(exchange, json);
    }

    /** Sends a problem with the HTTP status of the platform's interface, which distinguishes fewer cases. */
    private static void sendProblem(HttpServerExchange exchange, Problem problem) {
        var status =
                switch (problem.kind()) {
                    case RACE_LOST -> 412;
                    case BAD_MANIFEST, BAD_OPERATOR_INPUT, BAD_JSON, BAD_FIELD -> 400;
                    case BAD_MESSAGE, FOREIGN_CORE, NOT_OWNER, STALE_MEMBER -> 503;
                    default -> problem.kind().status() < 500 ? problem.kind().status() : 503;
                };
        JsonResponses.sendProblem(exchange, problem, status);
    }
}
