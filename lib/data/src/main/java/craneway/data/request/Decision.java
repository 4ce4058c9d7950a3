package craneway.data.request;

import craneway.model.problem.Problem;
import craneway.state.message.Node;
import craneway.state.record.Rows;

/** What a router does with a request next. */
public sealed interface Decision {
    /** Send the request to this runner; the placement table of this version has the unit's home in its cell. */
    record Serve(Rows.Runner runner, int unit, long tableVersion, boolean runOnce) implements Decision {}

    /** Forward the request to this router, which is in the region of the unit's home. */
    record Forward(Node router, int unit, boolean runOnce) implements Decision {}

    /** Keep the request in the buffer; if it can no longer wait, end it with the given problem. */
    record Buffer(Problem problemIfExpired) implements Decision {}

    /** End the request with this problem. */
    record Decline(Problem problem) implements Decision {}
}
