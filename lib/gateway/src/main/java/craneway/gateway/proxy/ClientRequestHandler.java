package craneway.gateway.proxy;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;

/** Takes a requester's request whole and hands it to its passage. */
final class ClientRequestHandler implements HttpHandler {
    private static final long PATIENCE = RequestExchange.STARTING;
    private static final long AGAIN = 20_000;

    private final RequestContext all;
    private boolean leaving;
    private long told;
    private String keptFor;

    ClientRequestHandler(RequestContext all) {
        this.all = all;
    }

    void leave() {
        leaving = true;
    }

    @Override
    public void handleRequest(HttpServerExchange x) {
        all.clients().begun(x);
        if (leaving) x.setPersistent(false);
        x.getRequestReceiver()
                .receiveFullBytes(
                        (e, b) -> e.dispatch(
                                SameThreadExecutor.INSTANCE, () -> begin(e, b, all.now(), new ClientPresence(e))),
                        (e, problem) -> e.setStatusCode(400).endExchange());
    }

    /** Clients take up a connection that rested for up to four fifths of the limit. */
    private void tellHowLongItIsKept(HttpServerExchange x, long idle) {
        if (idle <= 0 || !x.isPersistent()) return;
        if (idle != told) {
            told = idle;
            keptFor = "timeout=" + told * 4 / 5 / 1_000_000;
        }
        x.getResponseHeaders().put(Headers.KEEP_ALIVE, keptFor);
    }

    /** A router that has just started has its manifest in a moment. */
    private void unready(HttpServerExchange x, byte[] body, ClientAnswer answer, long since, ClientPresence client) {
        if (client.gone()) return;
        if (all.now() - since < PATIENCE) all.after(AGAIN, () -> begin(x, body, since, client));
        else answer.own(503, "1.5", "{\"problem\":\"no manifest is in force here yet\"}");
    }

    private void begin(HttpServerExchange x, byte[] body, long since, ClientPresence client) {
        all.refresh();
        var m = all.pool().view() == null ? null : all.pool().view().manifest();
        var answer = new ClientAnswer(x, () -> {});
        if (m == null) {
            unready(x, body, answer, since, client);
            return;
        }
        tellHowLongItIsKept(x, m.limits().idleTimeout());
        if (body.length > m.limits().maxBodyBytes()) {
            answer.own(
                    413,
                    null,
                    "{\"problem\":\"the body is longer than " + m.limits().maxBodyBytes() + " bytes\"}");
            return;
        }
        var route = m.routes().match(x.getRequestHeaders().getFirst(Headers.HOST), x.getRequestURI());
        if (route == null) answer.own(404, null, "{\"problem\":\"no route\"}");
        else if (x.getRequestHeaders().getFirst(all.names().tryId()) == null)
            answer.own(400, null, "{\"problem\":\"" + all.names().tryId() + " is missing\"}");
        else new RequestExchange(all, x, client, route, body, since).begin();
    }
}
