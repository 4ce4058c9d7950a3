package craneway.data.request;

import craneway.model.problem.Problem;
import craneway.state.message.Node;
import craneway.state.record.Rows;

public interface RequestOutput {
    void dispatchToRunner(int attempt, Rows.Runner runner);

    void forwardToRouter(int attempt, Node router);

    void endWithProblem(Problem p);

    void cutStream(Problem p);
}
