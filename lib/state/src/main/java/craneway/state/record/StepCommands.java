package craneway.state.record;

import craneway.model.problem.Kind;
import craneway.model.unit.Table;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandResult;
import java.util.Arrays;

final class StepCommands {
    private static final int MAX_REMEMBERED_STEPS = 40;

    private StepCommands() {}

    static CommandResult askStep(Rows.Whole rows, Commands.StepAsk c) {
        var s = rows.services.get(c.service);
        if (s == null || s.tableVersion != c.tableVersion) return Records.failure(Kind.STALE_TABLE, "table moved on");
        if (s.steps.stream().anyMatch(x -> x.state == Rows.Step.ASKED))
            return Records.failure(Kind.STALE_TABLE, "another step is being confirmed");
        var x = new Rows.Step();
        x.id = ++s.stepCount;
        x.units = c.units;
        x.from = Arrays.stream(c.units).map(u -> s.homes[u]).toArray();
        x.to = c.to;
        x.cause = c.cause;
        x.index = rows.index;
        x.askedAge = rows.age;
        s.steps.add(x);
        while (s.steps.size() > MAX_REMEMBERED_STEPS && s.steps.get(0).over()) s.steps.remove(0);
        var v = Records.ok();
        v.version = x.id;
        return v;
    }

    static CommandResult markStep(Rows.Whole rows, Commands.StepMark c) {
        var s = rows.services.get(c.service);
        var x = s == null ? null : s.step(c.id);
        if (x == null || !x.may(c.state))
            return Records.failure(Kind.STALE_TABLE, "the step is " + (x == null ? "unknown" : x.stateName()));
        x.state = c.state;
        if (!c.cause.isEmpty()) x.cause += "; " + c.cause;
        if (c.state == Rows.Step.RAISED) raiseStep(rows, s, x);
        if (c.state == Rows.Step.TAKEN_BACK) takeBackStep(rows, s, x, c);
        return Records.ok();
    }

    private static void raiseStep(Rows.Whole rows, Rows.Service s, Rows.Step x) {
        for (var i = 0; i < x.units.length; i++) if (s.homes[x.units[i]] == x.from[i]) s.homes[x.units[i]] = x.to;
        advanceTableVersion(rows, s);
        x.tableVersion = s.tableVersion;
    }

    private static void takeBackStep(Rows.Whole rows, Rows.Service s, Rows.Step x, Commands.StepMark c) {
        for (var i = 0; i < x.units.length; i++) {
            var u = x.units[i];
            if (s.homes[u] == x.to && Arrays.stream(c.units).anyMatch(v -> v == u)) s.homes[u] = x.from[i];
        }
        s.heldUntil.put(s.cells.get(x.to), rows.age + c.heldMicros);
        clearDisplacements(s, x.units);
        advanceTableVersion(rows, s);
    }

    private static void advanceTableVersion(Rows.Whole rows, Rows.Service s) {
        s.tableVersion++;
        s.newsVersion = rows.index;
    }

    private static void clearDisplacements(Rows.Service s, int[] units) {
        for (var u : units) setDisplacement(s, u, Table.NOWHERE);
    }

    static CommandResult displaceUnits(Rows.Whole rows, Commands.Displace c) {
        var s = rows.services.get(c.service);
        if (s == null || s.tableVersion != c.tableVersion) return Records.failure(Kind.STALE_TABLE, "table moved on");
        for (var i = 0; i < c.units.length; i++) setDisplacement(s, c.units[i], c.cells[i]);
        s.newsVersion = rows.index;
        return Records.ok();
    }

    private static void setDisplacement(Rows.Service s, int unit, int cell) {
        var n = s.displacedUnits.length;
        var at = 0;
        while (at < n && s.displacedUnits[at] != unit) at++;
        if (cell == Table.NOWHERE) {
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
