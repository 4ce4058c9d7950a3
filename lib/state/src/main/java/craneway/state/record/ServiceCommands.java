package craneway.state.record;

import craneway.model.problem.ProblemKind;
import craneway.model.unit.PlacementTable;
import craneway.model.unit.Units;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandResult;
import java.util.Arrays;

/** Handles the commands about a service and its table of home cells. */
final class ServiceCommands {
    private ServiceCommands() {}

    /**
     * Brings a service in line with a newer manifest. Cells that the manifest no longer lists stay with weight 0,
     * because tables refer to cells by position.
     */
    static CommandResult syncService(Rows.PartState rows, Commands.ServiceSync command) {
        var service = rows.services.computeIfAbsent(command.service, name -> new Rows.Service());
        if (command.manifestVersion <= service.manifestVersion) return Records.ok();
        service.name = command.service;
        service.manifestVersion = command.manifestVersion;
        service.weighedBySlots = command.weighedBySlots;
        for (var region : command.regions)
            if (!service.regions.contains(region) && service.regions.size() < Units.MAX_REGIONS)
                service.regions.add(region);
        service.regionSetsInUse = command.boundRegionSets.stream()
                .mapToInt(names -> regionSetOf(service, names))
                .distinct()
                .toArray();
        for (var i = 0; i < service.cells.size(); i++)
            if (!command.cells.contains(service.cells.get(i))) service.weights.set(i, 0);
        for (var i = 0; i < command.cells.size(); i++) putCell(service, command, i);
        var previousHomes = service.homeCells;
        service.homeCells = Arrays.copyOf(previousHomes, Units.unitCount(service.regions.size()));
        Arrays.fill(service.homeCells, previousHomes.length, service.homeCells.length, PlacementTable.NOWHERE);
        service.tableVersion++;
        service.topicVersion = rows.lastIndex;
        return Records.ok();
    }

    /** Returns the region set, as bits, of a space-separated list of region names. */
    private static int regionSetOf(Rows.Service service, String names) {
        var regionSet = 0;
        for (var name : names.split(" "))
            if (service.regions.contains(name)) regionSet |= 1 << service.regions.indexOf(name);
        return regionSet;
    }

    private static void putCell(Rows.Service service, Commands.ServiceSync command, int index) {
        var existing = service.cells.indexOf(command.cells.get(index));
        if (existing < 0) {
            service.cells.add(command.cells.get(index));
            service.zones.add(command.zones.get(index));
            service.cellRegions.add(command.cellRegions.get(index));
            service.weights.add(command.weights.get(index));
        } else {
            service.zones.set(existing, command.zones.get(index));
            service.cellRegions.set(existing, command.cellRegions.get(index));
            service.weights.set(existing, command.weights.get(index));
        }
    }

    /** Assigns home cells to some units at once, without a confirmed step. */
    static CommandResult applyTableStep(Rows.PartState rows, Commands.TableStep command) {
        var service = rows.services.get(command.service);
        if (service == null || service.tableVersion != command.tableVersion)
            return Records.failure(ProblemKind.STALE_TABLE, "table moved on");
        for (var i = 0; i < command.units.length; i++) service.homeCells[command.units[i]] = command.cells[i];
        service.tableVersion++;
        service.topicVersion = rows.lastIndex;
        return Records.ok();
    }

    /** Returns null if a router of the region may write for the unit at this table version, else the refusal. */
    static CommandResult writeRefusal(Rows.PartState rows, String service, int unit, long tableVersion, String region) {
        var row = rows.services.get(service);
        if (row == null) return Records.failure(ProblemKind.UNKNOWN_SERVICE, "no service " + service);
        if (tableVersion != row.tableVersion) {
            var refusal = Records.failure(
                    ProblemKind.STALE_TABLE, "table version " + tableVersion + ", in force is " + row.tableVersion);
            refusal.version = row.tableVersion;
            return refusal;
        }
        var home = unit < 0 || unit >= row.homeCells.length ? PlacementTable.NOWHERE : row.homeCells[unit];
        if (home == PlacementTable.NOWHERE || !row.cellRegions.get(home).equals(region))
            return Records.failure(ProblemKind.NOT_UNIT_HOME, "unit " + unit + " is not at home in " + region);
        return null;
    }
}
