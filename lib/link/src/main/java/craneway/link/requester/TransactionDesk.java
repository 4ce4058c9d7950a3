package craneway.link.requester;

import craneway.data.router.Router;
import craneway.link.http.Caller;
import craneway.link.http.Problems;
import craneway.link.process.EventLog;
import craneway.model.problem.Kind;
import craneway.model.problem.Problem;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.Methods;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

public final class TransactionDesk implements HttpHandler {
    private static final AtomicLong IDS = new AtomicLong();
    private static final long DEADLINE = 60_000_000;

    private final Router router;
    private final Caller caller;
    private final LongSupplier now;
    private final EventLog log;
    private final String path;
    private final boolean forwarded;

    public TransactionDesk(Router router, Caller caller, LongSupplier now, EventLog log, String path, boolean forwarded) {
        this.router = router;
        this.caller = caller;
        this.now = now;
        this.log = log;
        this.path = path;
        this.forwarded = forwarded;
    }

    @Override
    public void handleRequest(HttpServerExchange x) {
        if (!x.getRequestPath().equals(path)) Problems.send(x, Problem.of(Kind.NO_SUCH_PAGE));
        else if (!x.getRequestMethod().equals(Methods.POST)) Problems.send(x, Problem.of(Kind.WRONG_METHOD));
        else x.dispatch(() -> work(x));
    }

    private void work(HttpServerExchange x) {
        try {
            x.startBlocking();
            var body = body(x);
            if (body == null) {
                x.setPersistent(false);
                Problems.send(x, Problem.of(Kind.TOO_LARGE));
                return;
            }
            var t = TransactionReader.read(IDS.incrementAndGet(), x.getRequestHeaders(), body, forwarded, this::deadlineOf, now.getAsLong());
            if (t.isLeft()) {
                router.executor().counts().verdict(t.getLeft().kind());
                Problems.send(x, t.getLeft());
                return;
            }
            new HttpLine(x, t.get(), router.executor(), router.loads(), caller, now, router.directory().self().name).run();
        } catch (IOException e) {
            x.endExchange();
        } catch (RuntimeException e) {
            log.internal(e);
            x.endExchange();
        }
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
        return s == null ? DEADLINE : s.deadline();
    }
}
