package craneway.state.record;

import craneway.model.problem.ProblemKind;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandResult;
import craneway.state.message.Plan;

/** Handles the commands about plans. */
final class PlanCommands {
    private PlanCommands() {}

    static CommandResult planPut(Rows.PartState rows, Commands.PlanPut c) {
        var p = c.plan;
        if (p.manifestVersion != rows.manifest.version || p.marksVersion != rows.manifest.marksVersion)
            return Records.failure(ProblemKind.STALE_PLAN, "the manifest or the marks moved while the plan was made");
        p.id = ++rows.lastPlanId;
        rows.plans.put(p.id, p);
        while (rows.plans.size() > 100) rows.plans.pollFirstEntry();
        return Records.versioned(p.id);
    }

    static CommandResult planConfirm(Rows.PartState rows, Commands.PlanConfirm c) {
        var p = rows.plans.get(c.plan);
        if (p == null) return Records.failure(ProblemKind.UNKNOWN_PLAN, "no plan " + c.plan);
        if (p.state == Plan.CONFIRMED) return Records.versioned(p.confirmedTopicVersion);
        if (p.state == Plan.STOPPED) return Records.failure(ProblemKind.STALE_PLAN, "plan " + c.plan + " was stopped");
        var m = rows.manifest;
        if (p.manifestVersion != m.version || p.marksVersion != m.marksVersion)
            return Records.failure(
                    ProblemKind.STALE_PLAN,
                    "plan " + c.plan + " was made for manifest " + p.manifestVersion + " and marks " + p.marksVersion
                            + "; in force are " + m.version + " and " + m.marksVersion);
        p.marks.forEach((k, v) -> {
            if (v.isEmpty()) m.marks.remove(k);
            else m.marks.put(k, v);
        });
        m.marksVersion++;
        m.topicVersion = rows.lastIndex;
        p.state = Plan.CONFIRMED;
        p.confirmedTopicVersion = rows.lastIndex;
        return Records.versioned(p.confirmedTopicVersion);
    }

    static CommandResult planStop(Rows.PartState rows, Commands.PlanStop c) {
        var p = rows.plans.get(c.plan);
        if (p == null) return Records.failure(ProblemKind.UNKNOWN_PLAN, "no plan " + c.plan);
        if (p.state == Plan.CONFIRMED)
            return Records.failure(
                    ProblemKind.STALE_PLAN, "plan " + c.plan + " is in force; take it back with an intent");
        p.state = Plan.STOPPED;
        p.stopCause = c.cause;
        return Records.ok();
    }
}
