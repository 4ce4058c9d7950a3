package craneway.http;

import craneway.model.problem.Kind;
import craneway.model.problem.Problem;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/** Helpers for handlers of server exchanges. */
public final class Exchanges {
    private Exchanges() {}

    /**
     * Reads the whole request body and passes it to {@code handler} on {@code executor}. The exchange is dispatched
     * then, so any thread may send the response later.
     */
    public static void withBody(HttpServerExchange exchange, Executor executor, Consumer<byte[]> handler) {
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (e, body) -> e.dispatch(executor, () -> handler.accept(body)),
                        (e, failure) -> Problems.send(e, Problem.of(Kind.TOO_LARGE)));
    }

    /**
     * Dispatches the exchange, so that any thread may send the response later, and then runs {@code task} on the I/O
     * thread.
     */
    public static void later(HttpServerExchange exchange, Runnable task) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, task);
    }

    /** Responds that there is nothing at this path. */
    public static void noSuchPage(HttpServerExchange exchange) {
        Problems.send(exchange, Problem.of(Kind.NO_SUCH_PAGE));
    }

    /** Responds that the path does not support this method. */
    public static void wrongMethod(HttpServerExchange exchange) {
        Problems.send(exchange, Problem.of(Kind.WRONG_METHOD));
    }
}
