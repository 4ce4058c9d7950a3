package craneway.state.record;

import craneway.model.problem.ProblemKind;
import craneway.model.unit.PlacementTable;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandResult;
import java.util.Arrays;

final class Steps {
    private static final int REMEMBERED = 40;

    private Steps() {}

    static CommandResult ask(Rows.Whole rows, Commands.StepAsk c) {
        var s = rows.services.get(c.service);
        if (s == null || s.tableVersion != c.tableVersion) return Records.failure(ProblemKind.STALE_TABLE, "table moved on");
        if (s.steps.stream().anyMatch(x -> x.state == Rows.Step.ASKED))
            return Records.failure(ProblemKind.STALE_TABLE, "another step is being confirmed");
        var x = new Rows.Step();
        x.id = ++s.stepCount;
        x.units = c.units;
        x.from = Arrays.stream(c.units).map(u -> s.homes[u]).toArray();
        x.to = c.to;
        x.cause = c.cause;
        x.index = rows.index;
        x.askedAge = rows.age;
        s.steps.add(x);
        while (s.steps.size() > REMEMBERED && s.steps.get(0).over()) s.steps.remove(0);
        var v = Records.ok();
        v.version = x.id;
        return v;
    }

    static CommandResult mark(Rows.Whole rows, Commands.StepMark c) {
        var s = rows.services.get(c.service);
        var x = s == null ? null : s.step(c.id);
        if (x == null || !x.may(c.state))
            return Records.failure(ProblemKind.STALE_TABLE, "the step is " + (x == null ? "unknown" : x.stateName()));
        x.state = c.state;
        if (!c.cause.isEmpty()) x.cause += "; " + c.cause;
        if (c.state == Rows.Step.RAISED) raise(rows, s, x);
        if (c.state == Rows.Step.TAKEN_BACK) takeBack(rows, s, x, c);
        return Records.ok();
    }

    private static void raise(Rows.Whole rows, Rows.Service s, Rows.Step x) {
        for (var i = 0; i < x.units.length; i++) if (s.homes[x.units[i]] == x.from[i]) s.homes[x.units[i]] = x.to;
        moved(rows, s);
        x.tableVersion = s.tableVersion;
    }

    private static void takeBack(Rows.Whole rows, Rows.Service s, Rows.Step x, Commands.StepMark c) {
        for (var i = 0; i < x.units.length; i++) {
            var u = x.units[i];
            if (s.homes[u] == x.to && Arrays.stream(c.units).anyMatch(v -> v == u)) s.homes[u] = x.from[i];
        }
        s.heldUntil.put(s.cells.get(x.to), rows.age + c.heldMicros);
        clear(s, x.units);
        moved(rows, s);
    }

    private static void moved(Rows.Whole rows, Rows.Service s) {
        s.tableVersion++;
        s.newsVersion = rows.index;
    }

    private static void clear(Rows.Service s, int[] units) {
        for (var u : units) put(s, u, PlacementTable.NOWHERE);
    }

    static CommandResult displace(Rows.Whole rows, Commands.Displace c) {
        var s = rows.services.get(c.service);
        if (s == null || s.tableVersion != c.tableVersion) return Records.failure(ProblemKind.STALE_TABLE, "table moved on");
        for (var i = 0; i < c.units.length; i++) put(s, c.units[i], c.cells[i]);
        s.newsVersion = rows.index;
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
