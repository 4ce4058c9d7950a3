package craneway.gateway.request;

import craneway.data.request.Request;
import craneway.data.request.RequestRelay;
import craneway.data.router.Router;
import craneway.http.AsyncHttpClient;
import craneway.http.JsonResponses;
import craneway.log.EventLog;
import craneway.model.problem.Problem;
import craneway.model.problem.ProblemKind;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.AttachmentKey;
import io.undertow.util.Methods;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.xnio.IoUtils;

/**
 * Handles completion requests of clients, or those that another router forwarded, and streams their responses. A worker
 * thread is blocked for each request in flight. Safe for several threads.
 */
public final class CompletionHandler implements HttpHandler {
    private static final AtomicLong LAST_REQUEST_ID = new AtomicLong();
    private static final AttachmentKey<AtomicLong> CURRENT_REQUEST_ID = AttachmentKey.create(AtomicLong.class);

    /** The deadline of a request for a service that the manifest does not name. */
    private static final long DEFAULT_DEADLINE_MICROS = 60_000_000;

    private final Router router;
    private final AsyncHttpClient caller;
    private final LongSupplier clock;
    private final EventLog log;
    private final String path;
    private final boolean forwarded;

    /**
     * Creates a handler.
     *
     * @param caller sends requests to runners and other routers
     * @param clock the steady clock, in microseconds
     * @param path the only path that is served; any other is answered as not found
     * @param forwarded whether requests on this path come from other routers
     */
    public CompletionHandler(
            Router router, AsyncHttpClient caller, LongSupplier clock, EventLog log, String path, boolean forwarded) {
        this.router = router;
        this.caller = caller;
        this.clock = clock;
        this.log = log;
        this.path = path;
        this.forwarded = forwarded;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        if (!exchange.getRequestPath().equals(path))
            JsonResponses.sendProblem(exchange, Problem.of(ProblemKind.NO_SUCH_PAGE));
        else if (!exchange.getRequestMethod().equals(Methods.POST))
            JsonResponses.sendProblem(exchange, Problem.of(ProblemKind.WRONG_METHOD));
        else exchange.dispatch(() -> handleBlocking(exchange));
    }

    private void handleBlocking(HttpServerExchange exchange) {
        try {
            exchange.startBlocking();
            var body = readBody(exchange);
            if (body == null) {
                exchange.setPersistent(false);
                JsonResponses.sendProblem(exchange, Problem.of(ProblemKind.TOO_LARGE));
                return;
            }
            var request = RequestParser.parse(
                    LAST_REQUEST_ID.incrementAndGet(),
                    exchange.getRequestHeaders(),
                    body,
                    forwarded,
                    this::defaultDeadline,
                    clock.getAsLong());
            if (request.isLeft()) {
                router.requestExecutor().counters().countProblem(request.getLeft().kind());
                JsonResponses.sendProblem(exchange, request.getLeft());
                return;
            }
            relay(exchange, request.get());
        } catch (IOException e) {
            exchange.endExchange();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            IoUtils.safeClose(exchange.getConnection());
        } catch (RuntimeException e) {
            log.logInternalError(e);
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    /** Runs the request and relays its response; blocks until it is finished or the client has disconnected. */
    private void relay(HttpServerExchange exchange, Request request) throws InterruptedException {
        var routerName = router.directory().self().name;
        var httpExchange = new UndertowExchange(exchange, caller, routerName);
        var relay = new RequestRelay(request, router.requestExecutor(), router.runnerLoads(), clock, routerName, httpExchange);
        currentRequestId(exchange).set(request.id());
        relay.start();
        try {
            httpExchange.runSteps(relay::isFinished, () -> router.requestExecutor().onClientDisconnected(request.id()));
        } finally {
            currentRequestId(exchange).set(0);
            if (!relay.isFinished()) router.requestExecutor().onClientDisconnected(request.id());
        }
    }

    /**
     * The id of the request in flight on the exchange's connection, 0 if there is none. When the connection is closed,
     * the executor is notified that this request's client has disconnected.
     */
    private AtomicLong currentRequestId(HttpServerExchange exchange) {
        var connection = exchange.getConnection();
        var attached = connection.getAttachment(CURRENT_REQUEST_ID);
        if (attached != null) return attached;
        var created = new AtomicLong();
        connection.putAttachment(CURRENT_REQUEST_ID, created);
        connection.addCloseListener(c -> router.requestExecutor().onClientDisconnected(created.get()));
        return created;
    }

    private byte[] readBody(HttpServerExchange exchange) throws IOException {
        try {
            return exchange.getInputStream().readAllBytes();
        } catch (RequestTooBigException e) {
            return null;
        }
    }

    /** The time that a request for this service has if it states no deadline, in microseconds. */
    private long defaultDeadline(String serviceName) {
        var manifest = router.membership().view().manifest();
        var service = manifest == null ? null : manifest.service(serviceName);
        return service == null ? DEFAULT_DEADLINE_MICROS : service.defaultDeadline();
    }
}
