package craneway.state.record;

import craneway.model.problem.ProblemKind;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandResult;

/** Handles the commands about runners. */
final class RunnerCommands {
    private RunnerCommands() {}

    /** Adds or updates a runner, unless a later incarnation is known or this one is already leaving. */
    static CommandResult putRunner(Rows.PartState rows, Commands.RunnerPut command) {
        var service = rows.services.get(command.service);
        if (service == null) return Records.failure(ProblemKind.UNKNOWN_SERVICE, "no service " + command.service);
        var cell = service.cells.indexOf(command.cell);
        if (cell < 0 || !service.hasWeight(cell))
            return Records.failure(
                    ProblemKind.BAD_FIELD, "service " + command.service + " has no cell " + command.cell);
        var existing = service.runners.get(command.runner);
        if (existing != null
                && (existing.incarnation > command.incarnation
                        || existing.incarnation == command.incarnation
                                && existing.state == Rows.Runner.LEAVING
                                && command.state == Rows.Runner.UP))
            return Records.failure(
                    ProblemKind.STALE_RUNNER,
                    "runner " + command.runner + " is known as " + existing.stateName() + " at incarnation "
                            + existing.incarnation);
        var runner = new Rows.Runner();
        runner.name = command.runner;
        runner.address = command.address;
        runner.cell = command.cell;
        runner.slots = command.slots;
        runner.incarnation = command.incarnation;
        runner.cold = command.cold;
        runner.coldMicros = command.coldMicros;
        runner.goneAfterMicros = command.goneAfterMicros;
        runner.state = command.state;
        runner.endedAtAge = rows.ageMicros;
        service.runners.put(command.runner, runner);
        service.topicVersion = rows.lastIndex;
        return Records.ok();
    }

    /** Marks one incarnation of a runner as leaving or dark. */
    static CommandResult markRunner(Rows.PartState rows, Commands.RunnerMark command) {
        var service = rows.services.get(command.service);
        if (service == null) return Records.failure(ProblemKind.UNKNOWN_SERVICE, "no service " + command.service);
        var runner = service.runners.get(command.runner);
        if (runner == null || runner.incarnation != command.incarnation)
            return Records.failure(
                    ProblemKind.STALE_RUNNER, "no runner " + command.runner + " at incarnation " + command.incarnation);
        endRunner(rows, service, runner, command.state);
        return Records.ok();
    }

    /** Marks a runner as leaving in every service that lists it. */
    static CommandResult markRunnerLeft(Rows.PartState rows, Commands.RunnerLeft command) {
        for (var service : rows.services.values()) {
            var runner = service.runners.get(command.runner);
            if (runner != null) endRunner(rows, service, runner, Rows.Runner.LEAVING);
        }
        return Records.ok();
    }

    private static void endRunner(Rows.PartState rows, Rows.Service service, Rows.Runner runner, int state) {
        if (runner.state == Rows.Runner.LEAVING || runner.state == state) return;
        runner.state = state;
        runner.endedAtAge = rows.ageMicros;
        service.topicVersion = rows.lastIndex;
    }

    /** Removes the runners that left or went dark longer ago than the retention, in microseconds. */
    static void removeExpiredRunners(Rows.PartState rows, Rows.Service service, long retention) {
        if (service.runners
                .values()
                .removeIf(runner -> !runner.isUp() && rows.ageMicros - runner.endedAtAge > retention))
            service.topicVersion = rows.lastIndex;
    }
}
