package craneway.api.directory;

import craneway.api.platform.PlatformFormats;
import craneway.http.Exchanges;
import craneway.http.JsonResponses;
import craneway.model.problem.ProblemKind;
import craneway.model.problem.Problem;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;

/** Tells requesters where to go. */
public final class RouterAddressHandler implements HttpHandler {
    private static final long KEEP = 2_000_000;

    private final PlatformFormats dialect;
    private final RouterAddresses whereabouts;
    private final long keep;

    public RouterAddressHandler(PlatformFormats dialect, RouterAddresses whereabouts, long mostTtl) {
        this.dialect = dialect;
        this.whereabouts = whereabouts;
        keep = Math.min(KEEP, mostTtl);
    }

    @Override
    public void handleRequest(HttpServerExchange x) {
        var p = dialect.paths();
        if (!x.getRequestPath().equals(p.routerAddresses())) Exchanges.sendNotFound(x);
        else if (!x.getRequestMethod().equals(Methods.GET)) Exchanges.sendMethodNotAllowed(x);
        else reply(x, query(x, p.zoneParameter()), query(x, p.regionParameter()));
    }

    private void reply(HttpServerExchange x, String zone, String region) {
        var all = whereabouts.nearestTo(zone, region);
        if (all.isEmpty()) JsonResponses.sendProblem(x, Problem.of(ProblemKind.NO_PATH, "no router is serving"));
        else JsonResponses.sendJson(x, dialect.addressesResponse(all, keep));
    }

    private static String query(HttpServerExchange x, String name) {
        var q = x.getQueryParameters().get(name);
        return q == null ? "" : q.getFirst();
    }
}
