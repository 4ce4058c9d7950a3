package craneway.data.request;

import craneway.model.problem.Problem;
import craneway.state.message.Node;
import craneway.state.record.Rows;

public sealed interface Decision {
    record Serve(Rows.Runner runner, int unit, long tableVersion, boolean runOnce) implements Decision {}

    record Forward(Node router, int unit, boolean runOnce) implements Decision {}

    record Buffer(Problem problemIfExpired) implements Decision {}

    record Decline(Problem problem) implements Decision {}
}
