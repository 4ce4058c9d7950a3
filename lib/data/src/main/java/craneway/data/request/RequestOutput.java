package craneway.data.request;

import craneway.model.problem.Problem;
import craneway.state.message.Node;
import craneway.state.record.Rows;

/**
 * Carries out what a {@link RequestExecutor} decides for one request. The executor calls the methods while it holds
 * the lock of the request, so they must not block; they do their work later, on the thread of the request's
 * exchange.
 */
public interface RequestOutput {
    /** Sends the request to a runner; results are reported to the executor under this attempt number. */
    void dispatchToRunner(int attempt, Rows.Runner runner);

    /** Forwards the request to another router; results are reported to the executor under this attempt number. */
    void forwardToRouter(int attempt, Node router);

    /** Ends the request with a problem, before any of the response was passed to the client. */
    void endWithProblem(Problem problem);

    /** Ends the request so that the client sees that the response is incomplete. */
    void cutStream(Problem problem);
}
