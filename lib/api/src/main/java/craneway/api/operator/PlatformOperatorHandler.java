package craneway.api.operator;

import craneway.api.platform.PlatformFormats;
import craneway.control.operator.PlatformCommands;
import craneway.http.CallerPresence;
import craneway.http.Exchanges;
import craneway.http.JsonResponses;
import craneway.model.problem.ProblemKind;
import craneway.model.problem.Problem;
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

/** Takes a platform's configurations, emptied zones and runner beats, in the platform's dialect. */
public final class PlatformOperatorHandler implements HttpHandler {
    private final PlatformFormats dialect;
    private final PlatformCommands passing;
    private final Set<String> zones;
    private final Executor work;
    private final CallerPresence callers;

    /** Serves these zones; configurations are read by the executor. */
    public PlatformOperatorHandler(
            PlatformFormats dialect, PlatformCommands passing, Set<String> zones, Executor work, CallerPresence callers) {
        this.dialect = dialect;
        this.passing = passing;
        this.zones = zones;
        this.work = work;
        this.callers = callers;
    }

    @Override
    public void handleRequest(HttpServerExchange x) {
        var p = dialect.paths();
        var path = x.getRequestPath();
        if (path.equals(p.configuration())) configuration(x);
        else if (name(path, p.runnerPrefix()) != null) runner(x, name(path, p.runnerPrefix()));
        else if (name(path, p.zonePrefix()) != null) zone(x, name(path, p.zonePrefix()));
        else Exchanges.sendNotFound(x);
    }

    private static String name(String path, String start) {
        if (!path.startsWith(start) || path.length() == start.length()) return null;
        var n = path.substring(start.length());
        return n.indexOf('/') < 0 ? n : null;
    }

    private void configuration(HttpServerExchange x) {
        switch (x.getRequestMethod().toString()) {
            case "GET" -> Exchanges.dispatch(x, () -> passing.readManifest(r -> readBack(x, r.map(m -> m.sourceText))));
            case "PUT" -> Exchanges.readBody(x, work, b -> put(x, b));
            default -> Exchanges.sendMethodNotAllowed(x);
        }
    }

    private static void readBack(HttpServerExchange x, Either<Problem, String> r) {
        if (r.isLeft()) say(x, r.getLeft());
        else if (r.get().isEmpty()) Exchanges.sendNotFound(x);
        else {
            x.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
            x.getResponseSender().send(r.get(), StandardCharsets.UTF_8);
        }
    }

    private void put(HttpServerExchange x, byte[] b) {
        var base = base(x.getRequestHeaders().getFirst(Headers.IF_MATCH));
        var c = dialect.readConfiguration(b);
        if (base < 0)
            say(x, Problem.of(ProblemKind.BAD_OPERATOR_INPUT, "name the version this builds on in the header If-Match"));
        else if (c.isLeft()) say(x, c.getLeft());
        else
            passing.putManifest(
                    base, c.get().version(), c.get().manifest(), c.get().source(), callers.now(), r -> done(x, r, ""));
    }

    private static long base(String s) {
        var n = s == null ? "" : s.strip().replace("\"", "");
        return n.matches("\\d{1,18}") ? Long.parseLong(n) : -1;
    }

    private void zone(HttpServerExchange x, String zone) {
        var m = x.getRequestMethod().toString();
        if (!zones.contains(zone)) Exchanges.sendNotFound(x);
        else if (!m.equals("POST") && !m.equals("DELETE")) Exchanges.sendMethodNotAllowed(x);
        else whileCallerWaits(x, t -> passing.markZone(zone, m.equals("POST"), t, r -> done(x, r, "")));
    }

    private void runner(HttpServerExchange x, String id) {
        switch (x.getRequestMethod().toString()) {
            case "PUT" -> Exchanges.readBody(x, SameThreadExecutor.INSTANCE, b -> beat(x, id, b));
            case "DELETE" -> whileCallerWaits(x, t -> passing.markRunnerLeaving(id, t, r -> done(x, r, "")));
            default -> Exchanges.sendMethodNotAllowed(x);
        }
    }

    private void beat(HttpServerExchange x, String id, byte[] b) {
        var read = dialect.readHeartbeat(id, b);
        if (read.isLeft()) say(x, read.getLeft());
        else passing.reportRunnerHeartbeat(runner(read.get()), callers.now(), r -> done(x, r, dialect.heartbeatResponse()));
    }

    /**
     * Orders that say neither which other order they follow nor whose life they mean are passed on only for a caller that still
     * waits: it may have sent the same order to another node since, and then the reverse one.
     */
    private void whileCallerWaits(HttpServerExchange x, LongConsumer then) {
        var began = callers.now();
        Exchanges.dispatch(x, () -> {
            var now = callers.now();
            if (callers.mayBeWaiting(x, began, now)) then.accept(began);
            else say(x, Problem.of(ProblemKind.STALE_CALL));
        });
    }

    private static Commands.RunnerPut runner(PlatformFormats.RunnerHeartbeat b) {
        var c = new Commands.RunnerPut();
        var r = b.announcement();
        c.service = r.service();
        c.runner = r.name();
        c.address = r.address();
        c.cell = r.cell();
        c.slots = r.slots();
        c.incarnation = r.incarnation();
        c.cold = r.cold();
        c.load = r.load();
        c.state = b.leaving() ? Rows.Runner.LEAVING : Rows.Runner.UP;
        c.coldMicros = b.remainingColdTime();
        c.goneAfterMicros = b.remainingLifetime();
        c.sequence = b.sequence();
        return c;
    }

    private static void done(HttpServerExchange x, Either<Problem, Void> r, String json) {
        if (r.isLeft()) say(x, r.getLeft());
        else if (json.isEmpty()) x.endExchange();
        else JsonResponses.sendJson(x, json);
    }

    private static void say(HttpServerExchange x, Problem p) {
        var status =
                switch (p.kind()) {
                    case RACE_LOST -> 412;
                    case BAD_MANIFEST, BAD_OPERATOR_INPUT, BAD_JSON, BAD_FIELD -> 400;
                    case BAD_MESSAGE, FOREIGN_CORE, NOT_OWNER, STALE_MEMBER -> 503;
                    default -> p.kind().status() < 500 ? p.kind().status() : 503;
                };
        JsonResponses.sendProblem(x, p, status);
    }
}
