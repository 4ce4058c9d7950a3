package craneway.state.record;

import craneway.model.problem.ProblemKind;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandResult;

/** Handles the commands about runners. */
final class RunnerCommands {
    private RunnerCommands() {}

    static CommandResult runnerPut(Rows.PartState rows, Commands.RunnerPut c) {
        var s = rows.services.get(c.service);
        if (s == null) return Records.failure(ProblemKind.UNKNOWN_SERVICE, "no service " + c.service);
        var cell = s.cells.indexOf(c.cell);
        if (cell < 0 || !s.hasWeight(cell))
            return Records.failure(ProblemKind.BAD_FIELD, "service " + c.service + " has no cell " + c.cell);
        var old = s.runners.get(c.runner);
        if (old != null
                && (old.incarnation > c.incarnation
                        || old.incarnation == c.incarnation
                                && old.state == Rows.Runner.LEAVING
                                && c.state == Rows.Runner.UP))
            return Records.failure(
                    ProblemKind.STALE_RUNNER,
                    "runner " + c.runner + " is known as " + old.stateName() + " at incarnation " + old.incarnation);
        var r = new Rows.Runner();
        r.name = c.runner;
        r.address = c.address;
        r.cell = c.cell;
        r.slots = c.slots;
        r.incarnation = c.incarnation;
        r.cold = c.cold;
        r.coldMicros = c.coldMicros;
        r.goneAfterMicros = c.goneAfterMicros;
        r.state = c.state;
        r.endedAtAge = rows.ageMicros;
        s.runners.put(c.runner, r);
        s.topicVersion = rows.lastIndex;
        return Records.ok();
    }

    static CommandResult runnerMark(Rows.PartState rows, Commands.RunnerMark c) {
        var s = rows.services.get(c.service);
        if (s == null) return Records.failure(ProblemKind.UNKNOWN_SERVICE, "no service " + c.service);
        var r = s.runners.get(c.runner);
        if (r == null || r.incarnation != c.incarnation)
            return Records.failure(
                    ProblemKind.STALE_RUNNER, "no runner " + c.runner + " at incarnation " + c.incarnation);
        end(rows, s, r, c.state);
        return Records.ok();
    }

    static CommandResult runnerLeft(Rows.PartState rows, Commands.RunnerLeft c) {
        for (var s : rows.services.values()) {
            var r = s.runners.get(c.runner);
            if (r != null) end(rows, s, r, Rows.Runner.LEAVING);
        }
        return Records.ok();
    }

    private static void end(Rows.PartState rows, Rows.Service s, Rows.Runner r, int state) {
        if (r.state == Rows.Runner.LEAVING || r.state == state) return;
        r.state = state;
        r.endedAtAge = rows.ageMicros;
        s.topicVersion = rows.lastIndex;
    }

    static void forget(Rows.PartState rows, Rows.Service s, long after) {
        if (s.runners.values().removeIf(r -> !r.isUp() && rows.ageMicros - r.endedAtAge > after)) s.topicVersion = rows.lastIndex;
    }
}
