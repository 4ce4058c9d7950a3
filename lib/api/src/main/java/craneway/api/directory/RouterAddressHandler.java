package craneway.api.directory;

import craneway.api.platform.PlatformFormats;
import craneway.http.Exchanges;
import craneway.http.JsonResponses;
import craneway.model.problem.Problem;
import craneway.model.problem.ProblemKind;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;

/** Answers clients that look up the addresses of the routers nearest to them. */
public final class RouterAddressHandler implements HttpHandler {
    /** How long clients may cache the addresses, unless the platform sets a lower limit. */
    private static final long DEFAULT_TTL_MICROS = 2_000_000;

    private final PlatformFormats formats;
    private final RouterAddresses routers;
    private final long ttl;

    /**
     * Creates the handler.
     *
     * @param maxTtl the longest time that the platform allows clients to cache the addresses, in microseconds
     */
    public RouterAddressHandler(PlatformFormats formats, RouterAddresses routers, long maxTtl) {
        this.formats = formats;
        this.routers = routers;
        ttl = Math.min(DEFAULT_TTL_MICROS, maxTtl);
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        var paths = formats.paths();
        if (!exchange.getRequestPath().equals(paths.routerAddresses())) Exchanges.sendNotFound(exchange);
        else if (!exchange.getRequestMethod().equals(Methods.GET)) Exchanges.sendMethodNotAllowed(exchange);
        else
            reply(
                    exchange,
                    queryParameter(exchange, paths.zoneParameter()),
                    queryParameter(exchange, paths.regionParameter()));
    }

    private void reply(HttpServerExchange exchange, String zone, String region) {
        var addresses = routers.nearestTo(zone, region);
        if (addresses.isEmpty())
            JsonResponses.sendProblem(exchange, Problem.of(ProblemKind.NO_PATH, "no router is serving"));
        else JsonResponses.sendJson(exchange, formats.addressesResponse(addresses, ttl));
    }

    private static String queryParameter(HttpServerExchange exchange, String name) {
        var values = exchange.getQueryParameters().get(name);
        return values == null ? "" : values.getFirst();
    }
}
