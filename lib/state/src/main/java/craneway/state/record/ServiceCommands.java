package craneway.state.record;

import craneway.model.problem.ProblemKind;
import craneway.model.unit.PlacementTable;
import craneway.model.unit.Units;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandResult;
import java.util.Arrays;

/** Handles the commands about a service and its table of homes. */
final class ServiceCommands {
    private ServiceCommands() {}

    static CommandResult serviceSync(Rows.PartState rows, Commands.ServiceSync c) {
        var s = rows.services.computeIfAbsent(c.service, n -> new Rows.Service());
        if (c.manifestVersion <= s.manifestVersion) return Records.ok();
        s.name = c.service;
        s.manifestVersion = c.manifestVersion;
        s.weighedBySlots = c.weighedBySlots;
        for (var r : c.regions) if (!s.regions.contains(r) && s.regions.size() < Units.MAX_REGIONS) s.regions.add(r);
        s.regionSetsInUse = c.boundRegionSets.stream().mapToInt(b -> set(s, b)).distinct().toArray();
        for (var i = 0; i < s.cells.size(); i++) if (!c.cells.contains(s.cells.get(i))) s.weights.set(i, 0);
        for (var i = 0; i < c.cells.size(); i++) putCell(s, c, i);
        var old = s.homeCells;
        s.homeCells = Arrays.copyOf(old, Units.unitCount(s.regions.size()));
        Arrays.fill(s.homeCells, old.length, s.homeCells.length, PlacementTable.NOWHERE);
        s.tableVersion++;
        s.topicVersion = rows.lastIndex;
        return Records.ok();
    }

    private static int set(Rows.Service s, String names) {
        var set = 0;
        for (var n : names.split(" ")) if (s.regions.contains(n)) set |= 1 << s.regions.indexOf(n);
        return set;
    }

    private static void putCell(Rows.Service s, Commands.ServiceSync c, int i) {
        var at = s.cells.indexOf(c.cells.get(i));
        if (at < 0) {
            s.cells.add(c.cells.get(i));
            s.zones.add(c.zones.get(i));
            s.cellRegions.add(c.cellRegions.get(i));
            s.weights.add(c.weights.get(i));
        } else {
            s.zones.set(at, c.zones.get(i));
            s.cellRegions.set(at, c.cellRegions.get(i));
            s.weights.set(at, c.weights.get(i));
        }
    }

    static CommandResult tableStep(Rows.PartState rows, Commands.TableStep c) {
        var s = rows.services.get(c.service);
        if (s == null || s.tableVersion != c.tableVersion)
            return Records.failure(ProblemKind.STALE_TABLE, "table moved on");
        for (var i = 0; i < c.units.length; i++) s.homeCells[c.units[i]] = c.cells[i];
        s.tableVersion++;
        s.topicVersion = rows.lastIndex;
        return Records.ok();
    }

    static CommandResult mayWrite(Rows.PartState rows, String service, int unit, long tableVersion, String region) {
        var s = rows.services.get(service);
        if (s == null) return Records.failure(ProblemKind.UNKNOWN_SERVICE, "no service " + service);
        if (tableVersion != s.tableVersion) {
            var v = Records.failure(
                    ProblemKind.STALE_TABLE, "table version " + tableVersion + ", in force is " + s.tableVersion);
            v.version = s.tableVersion;
            return v;
        }
        var home = unit < 0 || unit >= s.homeCells.length ? PlacementTable.NOWHERE : s.homeCells[unit];
        if (home == PlacementTable.NOWHERE || !s.cellRegions.get(home).equals(region))
            return Records.failure(ProblemKind.NOT_UNIT_HOME, "unit " + unit + " is not at home in " + region);
        return null;
    }
}
