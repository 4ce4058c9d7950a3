package craneway.control.operator;

import craneway.control.plan.UnitMover;
import craneway.control.store.PartStatus;
import craneway.model.manifest.ManifestReader;
import craneway.state.record.Rows;
import java.util.ArrayList;
import java.util.List;

/**
 * Whether a cell could be emptied now, judged by the recent load of its service.
 *
 * @param load the current load of the cell
 * @param slots the slots of the cell
 * @param remainingSlots the slots of the other open cells of the service
 * @param minutesThatFit for how many of the last minutes without a gap the load of the service would have fitted into
 *     80 % of those slots; 0 if the cell cannot be emptied
 * @param concerns why it cannot be emptied, or else the warnings of the plan that would empty it
 */
public record DrainEstimate(
        String service,
        String cell,
        int load,
        int slots,
        int remainingSlots,
        int minutesThatFit,
        List<String> concerns) {
    /** The share of the remaining slots that the load may take. */
    private static final double USABLE_SLOT_SHARE = 0.8;

    /** Estimates for all cells with running runners; empty if there is no valid manifest. */
    static List<DrainEstimate> of(Rows.Manifest manifestRow, List<PartStatus> parts) {
        var parsed = ManifestReader.read(manifestRow.text);
        var estimates = new ArrayList<DrainEstimate>();
        if (parsed.isLeft()) return estimates;
        for (var status : parts)
            for (var service : status.services)
                for (var cell = 0; cell < service.cells.size(); cell++)
                    if (service.hasWeight(cell) && service.countRunnersUp(cell) > 0)
                        estimates.add(of(service, cell, manifestRow, parts, status));
        return estimates;
    }

    /** The estimate for one cell. */
    private static DrainEstimate of(
            Rows.Service service, int cell, Rows.Manifest manifestRow, List<PartStatus> parts, PartStatus status) {
        var cellName = service.cells.get(cell);
        var plan = IntentPlanner.createPlan(
                new Intent(Intent.EMPTY_CELL, null, service.name, cellName, null, null), manifestRow, parts);
        int load = 0, slots = 0, remainingSlots = 0;
        for (var runner : service.runners.values()) {
            if (!runner.isUp()) continue;
            if (runner.cell.equals(cellName)) {
                load += status.loadByRunner.getOrDefault(service.name + "/" + runner.name, 0);
                slots += runner.slots;
            } else if (isOpen(service, runner, manifestRow)) remainingSlots += runner.slots;
        }
        return new DrainEstimate(
                service.name,
                cellName,
                load,
                slots,
                remainingSlots,
                plan.isLeft() ? 0 : minutesFitted(service.name, remainingSlots, status),
                plan.isLeft() ? List.of(plan.getLeft().detail()) : plan.get().warnings);
    }

    /** Whether the cell of a runner is not closed by a mark. */
    private static boolean isOpen(Rows.Service service, Rows.Runner runner, Rows.Manifest manifestRow) {
        return !UnitMover.closedCells(service, manifestRow.marks).get(service.cells.indexOf(runner.cell));
    }

    /** How many minutes back, starting now, the load stayed within the usable share of the slots. */
    private static int minutesFitted(String service, int remainingSlots, PartStatus status) {
        for (var peaks : status.peaks) {
            if (!peaks.service.equals(service)) continue;
            var fitted = 0;
            while (fitted < peaks.peakByMinute.length
                    && peaks.peakByMinute[fitted] <= remainingSlots * USABLE_SLOT_SHARE) fitted++;
            return fitted;
        }
        return 0;
    }
}
