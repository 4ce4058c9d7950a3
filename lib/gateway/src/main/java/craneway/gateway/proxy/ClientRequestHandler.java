package craneway.gateway.proxy;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;

/**
 * Receives a client request completely, checks it against the limits and routes in force, and starts its
 * {@link RequestExchange}. All methods run on the one I/O thread. Times are microseconds.
 */
final class ClientRequestHandler implements HttpHandler {
    private static final long MAX_MANIFEST_WAIT_MICROS = RequestExchange.STARTUP_WAIT_MICROS;
    private static final long MANIFEST_CHECK_INTERVAL_MICROS = 20_000;

    private final ProxyContext context;
    private boolean draining;
    private long advertisedIdleLimit;
    private String keepAliveHeader;

    ClientRequestHandler(ProxyContext context) {
        this.context = context;
    }

    /** From now on, closes each client connection after its next response. */
    void startDraining() {
        draining = true;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        context.clientConnections().markBusy(exchange);
        if (draining) exchange.setPersistent(false);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (e, body) -> e.dispatch(
                                SameThreadExecutor.INSTANCE,
                                () -> startExchange(e, body, context.now(), new ClientDisconnectDetector(e))),
                        (e, problem) -> e.setStatusCode(400).endExchange());
    }

    /**
     * Advertises four fifths of the idle limit, so that clients do not reuse a connection that is about to be closed.
     */
    private void advertiseKeepAlive(HttpServerExchange exchange, long idleLimit) {
        if (idleLimit <= 0 || !exchange.isPersistent()) return;
        if (idleLimit != advertisedIdleLimit) {
            advertisedIdleLimit = idleLimit;
            keepAliveHeader = "timeout=" + advertisedIdleLimit * 4 / 5 / 1_000_000;
        }
        exchange.getResponseHeaders().put(Headers.KEEP_ALIVE, keepAliveHeader);
    }

    /** Waits for the manifest, which a router that has just started receives within moments. */
    private void waitForManifest(
            HttpServerExchange exchange,
            byte[] body,
            ClientResponse response,
            long receivedAt,
            ClientDisconnectDetector disconnectDetector) {
        if (disconnectDetector.checkDisconnected()) return;
        if (context.now() - receivedAt < MAX_MANIFEST_WAIT_MICROS)
            context.schedule(
                    MANIFEST_CHECK_INTERVAL_MICROS,
                    () -> startExchange(exchange, body, receivedAt, disconnectDetector));
        else response.sendOwn(503, "1.5", "{\"problem\":\"no manifest is in force here yet\"}");
    }

    private void startExchange(
            HttpServerExchange exchange, byte[] body, long receivedAt, ClientDisconnectDetector disconnectDetector) {
        context.refreshRunners();
        var manifest =
                context.pool().view() == null ? null : context.pool().view().manifest();
        var response = new ClientResponse(exchange, () -> {});
        if (manifest == null) {
            waitForManifest(exchange, body, response, receivedAt, disconnectDetector);
            return;
        }
        advertiseKeepAlive(exchange, manifest.limits().idleTimeout());
        if (body.length > manifest.limits().maxBodyBytes()) {
            response.sendOwn(
                    413,
                    null,
                    "{\"problem\":\"the body is longer than "
                            + manifest.limits().maxBodyBytes() + " bytes\"}");
            return;
        }
        var route =
                manifest.routes().match(exchange.getRequestHeaders().getFirst(Headers.HOST), exchange.getRequestURI());
        if (route == null) response.sendOwn(404, null, "{\"problem\":\"no route\"}");
        else if (exchange.getRequestHeaders().getFirst(context.names().tryId()) == null)
            response.sendOwn(400, null, "{\"problem\":\"" + context.names().tryId() + " is missing\"}");
        else new RequestExchange(context, exchange, disconnectDetector, route, body, receivedAt).start();
    }
}
