package craneway.state.record;

import craneway.model.problem.ProblemKind;
import craneway.model.unit.PlacementTable;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandResult;
import java.util.Arrays;

/** Handles the steps that move units from cell to cell, and the displacement of units under load. */
final class StepCommands {
    /** Finished steps are dropped, oldest first, beyond this number. */
    private static final int MAX_REMEMBERED_STEPS = 40;

    private StepCommands() {}

    /** Records a step that awaits confirmation. Only one step of a service may await it at a time. */
    static CommandResult askStep(Rows.PartState rows, Commands.StepRequest command) {
        var service = rows.services.get(command.service);
        if (service == null || service.tableVersion != command.tableVersion)
            return Records.failure(ProblemKind.STALE_TABLE, "table moved on");
        if (service.steps.stream().anyMatch(step -> step.state == Rows.Step.ASKED))
            return Records.failure(ProblemKind.STALE_TABLE, "another step is being confirmed");
        var step = new Rows.Step();
        step.id = ++service.lastStepId;
        step.units = command.units;
        step.fromCells = Arrays.stream(command.units)
                .map(unit -> service.homeCells[unit])
                .toArray();
        step.toCell = command.toCell;
        step.cause = command.cause;
        step.askedAtIndex = rows.lastIndex;
        step.askedAtAge = rows.ageMicros;
        service.steps.add(step);
        while (service.steps.size() > MAX_REMEMBERED_STEPS
                && service.steps.get(0).isOver()) service.steps.remove(0);
        var result = Records.ok();
        result.version = step.id;
        return result;
    }

    /** Moves a step to its next state; raising it or taking it back changes the home cells. */
    static CommandResult markStep(Rows.PartState rows, Commands.StepMark command) {
        var service = rows.services.get(command.service);
        var step = service == null ? null : service.findStep(command.id);
        if (step == null || !step.canBecome(command.state))
            return Records.failure(
                    ProblemKind.STALE_TABLE, "the step is " + (step == null ? "unknown" : step.stateName()));
        step.state = command.state;
        if (!command.cause.isEmpty()) step.cause += "; " + command.cause;
        if (command.state == Rows.Step.RAISED) raiseStep(rows, service, step);
        if (command.state == Rows.Step.TAKEN_BACK) takeBackStep(rows, service, step, command);
        return Records.ok();
    }

    /** Moves the units that are still at home where the step found them. */
    private static void raiseStep(Rows.PartState rows, Rows.Service service, Rows.Step step) {
        for (var i = 0; i < step.units.length; i++)
            if (service.homeCells[step.units[i]] == step.fromCells[i]) service.homeCells[step.units[i]] = step.toCell;
        advanceTableVersion(rows, service);
        step.tableVersion = service.tableVersion;
    }

    /** Moves units back to where they were and holds the target cell back from further moves for a while. */
    private static void takeBackStep(
            Rows.PartState rows, Rows.Service service, Rows.Step step, Commands.StepMark command) {
        for (var i = 0; i < step.units.length; i++) {
            var unit = step.units[i];
            if (service.homeCells[unit] == step.toCell
                    && Arrays.stream(command.units).anyMatch(other -> other == unit))
                service.homeCells[unit] = step.fromCells[i];
        }
        service.heldBackUntilAge.put(service.cells.get(step.toCell), rows.ageMicros + command.holdBackMicros);
        clearDisplacements(service, step.units);
        advanceTableVersion(rows, service);
    }

    private static void advanceTableVersion(Rows.PartState rows, Rows.Service service) {
        service.tableVersion++;
        service.topicVersion = rows.lastIndex;
    }

    private static void clearDisplacements(Rows.Service service, int[] units) {
        for (var unit : units) setDisplacement(service, unit, PlacementTable.NOWHERE);
    }

    /** Records the cells that units should move to because their own cell is overloaded, or clears them. */
    static CommandResult displaceUnits(Rows.PartState rows, Commands.UnitDisplacement command) {
        var service = rows.services.get(command.service);
        if (service == null || service.tableVersion != command.tableVersion)
            return Records.failure(ProblemKind.STALE_TABLE, "table moved on");
        for (var i = 0; i < command.units.length; i++) setDisplacement(service, command.units[i], command.cells[i]);
        service.topicVersion = rows.lastIndex;
        return Records.ok();
    }

    /** Sets the cell that a unit is displaced to, or clears it if the cell is {@link PlacementTable#NOWHERE}. */
    private static void setDisplacement(Rows.Service service, int unit, int cell) {
        var count = service.displacedUnits.length;
        var position = 0;
        while (position < count && service.displacedUnits[position] != unit) position++;
        if (cell == PlacementTable.NOWHERE) {
            if (position == count) return;
            service.displacedUnits[position] = service.displacedUnits[count - 1];
            service.displacedCells[position] = service.displacedCells[count - 1];
            service.displacedUnits = Arrays.copyOf(service.displacedUnits, count - 1);
            service.displacedCells = Arrays.copyOf(service.displacedCells, count - 1);
            return;
        }
        if (position == count) {
            service.displacedUnits = Arrays.copyOf(service.displacedUnits, count + 1);
            service.displacedCells = Arrays.copyOf(service.displacedCells, count + 1);
            service.displacedUnits[position] = unit;
        }
        service.displacedCells[position] = cell;
    }
}
