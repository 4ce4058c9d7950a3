package craneway.http;

import craneway.model.problem.Problem;
import craneway.model.problem.ProblemKind;
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
    public static void readBody(HttpServerExchange exchange, Executor executor, Consumer<byte[]> handler) {
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (e, body) -> e.dispatch(executor, () -> handler.accept(body)),
                        (e, failure) -> JsonResponses.sendProblem(e, Problem.of(ProblemKind.TOO_LARGE)));
    }

    /**
     * Dispatches the exchange, so that any thread may send the response later, and then runs {@code task} on the I/O
     * thread.
     */
    public static void dispatch(HttpServerExchange exchange, Runnable task) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, task);
    }

    /** Responds that there is nothing at this path. */
    public static void sendNotFound(HttpServerExchange exchange) {
        JsonResponses.sendProblem(exchange, Problem.of(ProblemKind.NO_SUCH_PAGE));
    }

    /** Responds that the path does not support this method. */
    public static void sendMethodNotAllowed(HttpServerExchange exchange) {
        JsonResponses.sendProblem(exchange, Problem.of(ProblemKind.WRONG_METHOD));
    }
}
