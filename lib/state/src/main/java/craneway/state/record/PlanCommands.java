package craneway.state.record;

import craneway.model.problem.ProblemKind;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandResult;
import craneway.state.message.Plan;

/** Handles the commands about plans. */
final class PlanCommands {
    private PlanCommands() {}

    /** Stores a proposed plan and returns its id as the version. The newest 100 plans are kept. */
    static CommandResult putPlan(Rows.PartState rows, Commands.PlanPut command) {
        var plan = command.plan;
        if (plan.manifestVersion != rows.manifest.version || plan.marksVersion != rows.manifest.marksVersion)
            return Records.failure(ProblemKind.STALE_PLAN, "the manifest or the marks moved while the plan was made");
        plan.id = ++rows.lastPlanId;
        rows.plans.put(plan.id, plan);
        while (rows.plans.size() > 100) rows.plans.pollFirstEntry();
        return Records.okWithVersion(plan.id);
    }

    /** Confirms a plan: its marks take effect, provided the manifest and the marks are still those it was made for. */
    static CommandResult confirmPlan(Rows.PartState rows, Commands.PlanConfirm command) {
        var plan = rows.plans.get(command.plan);
        if (plan == null) return Records.failure(ProblemKind.UNKNOWN_PLAN, "no plan " + command.plan);
        if (plan.state == Plan.CONFIRMED) return Records.okWithVersion(plan.confirmedTopicVersion);
        if (plan.state == Plan.STOPPED)
            return Records.failure(ProblemKind.STALE_PLAN, "plan " + command.plan + " was stopped");
        var manifest = rows.manifest;
        if (plan.manifestVersion != manifest.version || plan.marksVersion != manifest.marksVersion)
            return Records.failure(
                    ProblemKind.STALE_PLAN,
                    "plan " + command.plan + " was made for manifest " + plan.manifestVersion + " and marks "
                            + plan.marksVersion + "; in force are " + manifest.version + " and "
                            + manifest.marksVersion);
        plan.marks.forEach((key, mark) -> {
            if (mark.isEmpty()) manifest.marks.remove(key);
            else manifest.marks.put(key, mark);
        });
        manifest.marksVersion++;
        manifest.topicVersion = rows.lastIndex;
        plan.state = Plan.CONFIRMED;
        plan.confirmedTopicVersion = rows.lastIndex;
        return Records.okWithVersion(plan.confirmedTopicVersion);
    }

    /** Stops a plan that has not been confirmed. */
    static CommandResult stopPlan(Rows.PartState rows, Commands.PlanStop command) {
        var plan = rows.plans.get(command.plan);
        if (plan == null) return Records.failure(ProblemKind.UNKNOWN_PLAN, "no plan " + command.plan);
        if (plan.state == Plan.CONFIRMED)
            return Records.failure(
                    ProblemKind.STALE_PLAN, "plan " + command.plan + " is in force; take it back with an intent");
        plan.state = Plan.STOPPED;
        plan.stopCause = command.cause;
        return Records.ok();
    }
}
