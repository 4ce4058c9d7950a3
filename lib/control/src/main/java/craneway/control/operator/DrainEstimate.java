package craneway.control.operator;

import craneway.control.plan.UnitMover;
import craneway.control.store.PartStatus;
import craneway.model.manifest.ManifestReader;
import craneway.state.record.Rows;
import java.util.ArrayList;
import java.util.List;

public record DrainEstimate(String service, String cell, int load, int slots, int remainingSlots, int minutesThatFit, List<String> concerns) {
    private static final double SHARE = 0.8;

    static List<DrainEstimate> of(Rows.Manifest topic, List<PartStatus> parts) {
        var m = ManifestReader.read(topic.text);
        var all = new ArrayList<DrainEstimate>();
        if (m.isLeft()) return all;
        for (var p : parts)
            for (var s : p.services)
                for (var c = 0; c < s.cells.size(); c++)
                    if (s.hasWeight(c) && s.countRunnersUp(c) > 0) all.add(of(s, c, topic, parts, p));
        return all;
    }

    private static DrainEstimate of(Rows.Service s, int cell, Rows.Manifest topic, List<PartStatus> parts, PartStatus p) {
        var name = s.cells.get(cell);
        var plan = IntentPlanner.createPlan(new Intent(Intent.EMPTY_CELL, null, s.name, name, null, null), topic, parts);
        int load = 0, slots = 0, left = 0;
        for (var r : s.runners.values()) {
            if (!r.isUp()) continue;
            if (r.cell.equals(name)) {
                load += p.loadByRunner.getOrDefault(s.name + "/" + r.name, 0);
                slots += r.slots;
            } else if (open(s, r, topic)) left += r.slots;
        }
        return new DrainEstimate(
                s.name,
                name,
                load,
                slots,
                left,
                plan.isLeft() ? 0 : minutesThatFit(s.name, left, p),
                plan.isLeft() ? List.of(plan.getLeft().detail()) : plan.get().warnings);
    }

    private static boolean open(Rows.Service s, Rows.Runner r, Rows.Manifest topic) {
        return !UnitMover.closedCells(s, topic.marks).get(s.cells.indexOf(r.cell));
    }

    private static int minutesThatFit(String service, int left, PartStatus p) {
        for (var k : p.peaks) {
            if (!k.service.equals(service)) continue;
            var n = 0;
            while (n < k.peakByMinute.length && k.peakByMinute[n] <= left * SHARE) n++;
            return n;
        }
        return 0;
    }
}
