package craneway.gateway.proxy;

import craneway.data.placement.Prompt;
import craneway.data.placement.RunnerPlacer;
import craneway.model.manifest.Route;
import craneway.model.unit.Hash;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;

/**
 * A complete client request, with what its headers state; builds the head that is sent to a runner. Times are
 * microseconds.
 */
final class IncomingRequest {
    final Route route;
    final String service;
    final Prompt prompt;
    final String tryId;
    final byte[] body;
    final long receivedAt;
    final long deadlineAt;
    private final HttpServerExchange exchange;
    private final ProtocolNames names;

    IncomingRequest(HttpServerExchange exchange, ProtocolNames names, Route route, byte[] body, long receivedAt) {
        this.exchange = exchange;
        this.names = names;
        this.route = route;
        this.body = body;
        this.receivedAt = receivedAt;
        var headers = exchange.getRequestHeaders();
        tryId = headers.getFirst(names.tryId());
        prompt = Prompt.parse(headers.getFirst(names.promptParts()), headers.getFirst(names.tokenCounts()));
        service = route.selectService(Hash.of(tryId == null ? "" : tryId));
        deadlineAt = receivedAt
                + Math.min(route.deadline(), millisToMicros(headers.getFirst(names.deadlineMs()), route.deadline()));
    }

    private static long millisToMicros(String millis, long defaultMicros) {
        return millis == null || !millis.matches("\\d{1,9}") ? defaultMicros : Long.parseLong(millis) * 1000;
    }

    /** The id after which the client asks its stream to continue, null if it asks for all of it. */
    String lastEventId() {
        return exchange.getRequestHeaders().getFirst(names.lastEventId());
    }

    /**
     * Builds the head of the request to a runner.
     *
     * @param streamToContinue the stream that the runner must continue, null if it must start a new response
     */
    RequestHead headFor(RunnerPlacer.Placement placement, long now, StreamRelay streamToContinue) {
        var query = exchange.getQueryString();
        var target = query.isEmpty() ? exchange.getRequestURI() : exchange.getRequestURI() + "?" + query;
        var method = exchange.getRequestMethod();
        var headers = new HeaderMap();
        ForwardedHeaders.copy(exchange.getRequestHeaders(), headers);
        headers.put(names.addressee(), placement.runner().id());
        headers.put(names.deadlineMs(), Long.toString(Math.max(1, (deadlineAt - now) / 1000)));
        headers.put(names.urgency(), Integer.toString(route.urgency()));
        if (body.length > 0 || method.equals(Methods.POST) || method.equals(Methods.PUT))
            headers.put(Headers.CONTENT_LENGTH, body.length);
        else headers.remove(Headers.CONTENT_LENGTH);
        if (streamToContinue == null) return new RequestHead(method, target, headers);
        headers.put(names.lastEventId(), streamToContinue.lastEventId());
        if (streamToContinue.weightVersion() != null)
            headers.put(names.expectedWeightVersion(), streamToContinue.weightVersion());
        return new RequestHead(method, target, headers);
    }
}
