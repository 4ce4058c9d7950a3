package craneway.state.record;

import craneway.model.problem.ProblemKind;
import craneway.model.unit.PlacementTable;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandResult;
import java.util.Arrays;

final class Steps {
    private static final int REMEMBERED = 40;

    private Steps() {}

    static CommandResult ask(Rows.PartState rows, Commands.StepAsk c) {
        var s = rows.services.get(c.service);
        if (s == null || s.tableVersion != c.tableVersion)
            return Records.failure(ProblemKind.STALE_TABLE, "table moved on");
        if (s.steps.stream().anyMatch(x -> x.state == Rows.Step.ASKED))
            return Records.failure(ProblemKind.STALE_TABLE, "another step is being confirmed");
        var x = new Rows.Step();
        x.id = ++s.lastStepId;
        x.units = c.units;
        x.fromCells = Arrays.stream(c.units).map(u -> s.homeCells[u]).toArray();
        x.toCell = c.toCell;
        x.cause = c.cause;
        x.askedAtIndex = rows.lastIndex;
        x.askedAtAge = rows.ageMicros;
        s.steps.add(x);
        while (s.steps.size() > REMEMBERED && s.steps.get(0).isOver()) s.steps.remove(0);
        var v = Records.ok();
        v.version = x.id;
        return v;
    }

    static CommandResult mark(Rows.PartState rows, Commands.StepMark c) {
        var s = rows.services.get(c.service);
        var x = s == null ? null : s.findStep(c.id);
        if (x == null || !x.canBecome(c.state))
            return Records.failure(ProblemKind.STALE_TABLE, "the step is " + (x == null ? "unknown" : x.stateName()));
        x.state = c.state;
        if (!c.cause.isEmpty()) x.cause += "; " + c.cause;
        if (c.state == Rows.Step.RAISED) raise(rows, s, x);
        if (c.state == Rows.Step.TAKEN_BACK) takeBack(rows, s, x, c);
        return Records.ok();
    }

    private static void raise(Rows.PartState rows, Rows.Service s, Rows.Step x) {
        for (var i = 0; i < x.units.length; i++) if (s.homeCells[x.units[i]] == x.fromCells[i]) s.homeCells[x.units[i]] = x.toCell;
        moved(rows, s);
        x.tableVersion = s.tableVersion;
    }

    private static void takeBack(Rows.PartState rows, Rows.Service s, Rows.Step x, Commands.StepMark c) {
        for (var i = 0; i < x.units.length; i++) {
            var u = x.units[i];
            if (s.homeCells[u] == x.toCell && Arrays.stream(c.units).anyMatch(v -> v == u)) s.homeCells[u] = x.fromCells[i];
        }
        s.heldBackUntilAge.put(s.cells.get(x.toCell), rows.ageMicros + c.holdBackMicros);
        clear(s, x.units);
        moved(rows, s);
    }

    private static void moved(Rows.PartState rows, Rows.Service s) {
        s.tableVersion++;
        s.topicVersion = rows.lastIndex;
    }

    private static void clear(Rows.Service s, int[] units) {
        for (var u : units) put(s, u, PlacementTable.NOWHERE);
    }

    static CommandResult displace(Rows.PartState rows, Commands.UnitDisplacement c) {
        var s = rows.services.get(c.service);
        if (s == null || s.tableVersion != c.tableVersion)
            return Records.failure(ProblemKind.STALE_TABLE, "table moved on");
        for (var i = 0; i < c.units.length; i++) put(s, c.units[i], c.cells[i]);
        s.topicVersion = rows.lastIndex;
        return Records.ok();
    }

    private static void put(Rows.Service s, int unit, int cell) {
        var n = s.displacedUnits.length;
        var at = 0;
        while (at < n && s.displacedUnits[at] != unit) at++;
        if (cell == PlacementTable.NOWHERE) {
            if (at == n) return;
            s.displacedUnits[at] = s.displacedUnits[n - 1];
            s.displacedCells[at] = s.displacedCells[n - 1];
            s.displacedUnits = Arrays.copyOf(s.displacedUnits, n - 1);
            s.displacedCells = Arrays.copyOf(s.displacedCells, n - 1);
            return;
        }
        if (at == n) {
            s.displacedUnits = Arrays.copyOf(s.displacedUnits, n + 1);
            s.displacedCells = Arrays.copyOf(s.displacedCells, n + 1);
            s.displacedUnits[at] = unit;
        }
        s.displacedCells[at] = cell;
    }
}
