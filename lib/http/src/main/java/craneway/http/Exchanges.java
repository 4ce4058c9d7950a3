package craneway.http;

import craneway.model.problem.ProblemKind;
import craneway.model.problem.Problem;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

public final class Exchanges {
    private Exchanges() {}

    /** Takes the body and goes on in {@code where}, once the exchange can wait for a reply from any thread. */
    public static void readBody(HttpServerExchange x, Executor where, Consumer<byte[]> then) {
        x.getRequestReceiver()
                .receiveFullBytes(
                        (e, b) -> e.dispatch(where, () -> then.accept(b)),
                        (e, p) -> JsonResponses.sendProblem(e, Problem.of(ProblemKind.TOO_LARGE)));
    }

    /** Goes on when the exchange can wait for a reply from any thread. */
    public static void dispatch(HttpServerExchange x, Runnable then) {
        x.dispatch(SameThreadExecutor.INSTANCE, then);
    }

    /** Answers that there is nothing at this path. */
    public static void sendNotFound(HttpServerExchange x) {
        JsonResponses.sendProblem(x, Problem.of(ProblemKind.NO_SUCH_PAGE));
    }

    /** Answers that the path does not take this method. */
    public static void sendMethodNotAllowed(HttpServerExchange x) {
        JsonResponses.sendProblem(x, Problem.of(ProblemKind.WRONG_METHOD));
    }
}
