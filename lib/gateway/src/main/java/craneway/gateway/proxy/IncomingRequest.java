package craneway.gateway.proxy;

import craneway.data.placement.RunnerPlacer;
import craneway.data.placement.Prompt;
import craneway.model.manifest.Route;
import craneway.model.unit.Hash;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;

/** A client's request as it was read, and the head it has on its way to a runner. Times are microseconds. */
final class IncomingRequest {
    final Route route;
    final String service;
    final Prompt prompt;
    final String tryId;
    final byte[] body;
    final long begun;
    final long deadline;
    private final HttpServerExchange exchange;
    private final ProtocolNames names;

    IncomingRequest(HttpServerExchange exchange, ProtocolNames names, Route route, byte[] body, long begun) {
        this.exchange = exchange;
        this.names = names;
        this.route = route;
        this.body = body;
        this.begun = begun;
        var headers = exchange.getRequestHeaders();
        tryId = headers.getFirst(names.tryId());
        prompt = Prompt.parse(headers.getFirst(names.promptParts()), headers.getFirst(names.tokenCounts()));
        service = route.selectService(Hash.of(tryId == null ? "" : tryId));
        deadline = begun + Math.min(route.deadline(), millis(headers.getFirst(names.deadlineMs()), route.deadline()));
    }

    private static long millis(String s, long otherwise) {
        return s == null || !s.matches("\\d{1,9}") ? otherwise : Long.parseLong(s) * 1000;
    }

    /** The id after which the client asks its stream to go on, null where it asks for the whole. */
    String lastEventId() {
        return exchange.getRequestHeaders().getFirst(names.lastEventId());
    }

    /** The head for this runner; {@code stream} is null unless another run of it is to go on. */
    RequestHead head(RunnerPlacer.Placement choice, long now, StreamRelay stream) {
        var query = exchange.getQueryString();
        var path = query.isEmpty() ? exchange.getRequestURI() : exchange.getRequestURI() + "?" + query;
        var method = exchange.getRequestMethod();
        var h = new HeaderMap();
        ForwardedHeaders.copy(exchange.getRequestHeaders(), h);
        h.put(names.addressee(), choice.runner().id());
        h.put(names.deadlineMs(), Long.toString(Math.max(1, (deadline - now) / 1000)));
        h.put(names.urgency(), Integer.toString(route.urgency()));
        if (body.length > 0 || method.equals(Methods.POST) || method.equals(Methods.PUT))
            h.put(Headers.CONTENT_LENGTH, body.length);
        else h.remove(Headers.CONTENT_LENGTH);
        if (stream == null) return new RequestHead(method, path, h);
        h.put(names.lastEventId(), stream.lastId());
        if (stream.version() != null) h.put(names.expectedWeightVersion(), stream.version());
        return new RequestHead(method, path, h);
    }
}
