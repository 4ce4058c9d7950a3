package craneway.gateway.request;

import craneway.data.request.Request;
import craneway.data.request.RequestRelay;
import craneway.data.router.Router;
import craneway.http.AsyncHttpClient;
import craneway.http.JsonResponses;
import craneway.log.EventLog;
import craneway.model.problem.ProblemKind;
import craneway.model.problem.Problem;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.AttachmentKey;
import io.undertow.util.Methods;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.xnio.IoUtils;

public final class CompletionHandler implements HttpHandler {
    private static final AtomicLong IDS = new AtomicLong();
    private static final AttachmentKey<AtomicLong> CURRENT = AttachmentKey.create(AtomicLong.class);
    private static final long DEADLINE = 60_000_000;

    private final Router router;
    private final AsyncHttpClient caller;
    private final LongSupplier now;
    private final EventLog log;
    private final String path;
    private final boolean forwarded;

    public CompletionHandler(
            Router router, AsyncHttpClient caller, LongSupplier now, EventLog log, String path, boolean forwarded) {
        this.router = router;
        this.caller = caller;
        this.now = now;
        this.log = log;
        this.path = path;
        this.forwarded = forwarded;
    }

    @Override
    public void handleRequest(HttpServerExchange x) {
        if (!x.getRequestPath().equals(path)) JsonResponses.sendProblem(x, Problem.of(ProblemKind.NO_SUCH_PAGE));
        else if (!x.getRequestMethod().equals(Methods.POST)) JsonResponses.sendProblem(x, Problem.of(ProblemKind.WRONG_METHOD));
        else x.dispatch(() -> work(x));
    }

    private void work(HttpServerExchange x) {
        try {
            x.startBlocking();
            var body = body(x);
            if (body == null) {
                x.setPersistent(false);
                JsonResponses.sendProblem(x, Problem.of(ProblemKind.TOO_LARGE));
                return;
            }
            var t = RequestParser.parse(
                    IDS.incrementAndGet(), x.getRequestHeaders(), body, forwarded, this::deadlineOf, now.getAsLong());
            if (t.isLeft()) {
                router.requestExecutor().counters().countProblem(t.getLeft().kind());
                JsonResponses.sendProblem(x, t.getLeft());
                return;
            }
            run(x, t.get());
        } catch (IOException e) {
            x.endExchange();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            IoUtils.safeClose(x.getConnection());
        } catch (RuntimeException e) {
            log.logInternalError(e);
            IoUtils.safeClose(x.getConnection());
        }
    }

    private void run(HttpServerExchange x, Request t) throws InterruptedException {
        var name = router.directory().self().name;
        var line = new UndertowExchange(x, caller, name);
        var p = new RequestRelay(t, router.requestExecutor(), router.runnerLoads(), now, name, line);
        current(x).set(t.id());
        p.start();
        try {
            line.run(p::isFinished, () -> router.requestExecutor().onClientDisconnected(t.id()));
        } finally {
            current(x).set(0);
            if (!p.isFinished()) router.requestExecutor().onClientDisconnected(t.id());
        }
    }

    private AtomicLong current(HttpServerExchange x) {
        var c = x.getConnection();
        var a = c.getAttachment(CURRENT);
        if (a != null) return a;
        var made = new AtomicLong();
        c.putAttachment(CURRENT, made);
        c.addCloseListener(y -> router.requestExecutor().onClientDisconnected(made.get()));
        return made;
    }

    private byte[] body(HttpServerExchange x) throws IOException {
        try {
            return x.getInputStream().readAllBytes();
        } catch (RequestTooBigException e) {
            return null;
        }
    }

    private long deadlineOf(String service) {
        var m = router.membership().view().manifest();
        var s = m == null ? null : m.service(service);
        return s == null ? DEADLINE : s.defaultDeadline();
    }
}
