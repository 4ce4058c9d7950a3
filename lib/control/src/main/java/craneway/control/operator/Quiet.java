package craneway.control.operator;

import craneway.control.plan.Mover;
import craneway.control.store.PartStatus;
import craneway.model.manifest.ManifestReader;
import craneway.state.record.Rows;
import java.util.ArrayList;
import java.util.List;

public record Quiet(String service, String cell, int load, int slots, int slotsLeft, int minutes, List<String> cause) {
    private static final double USABLE_SLOT_SHARE = 0.8;

    static List<Quiet> of(Rows.Manifest topic, List<PartStatus> parts) {
        var m = ManifestReader.read(topic.text);
        var all = new ArrayList<Quiet>();
        if (m.isLeft()) return all;
        for (var p : parts)
            for (var s : p.services)
                for (var c = 0; c < s.cells.size(); c++)
                    if (s.live(c) && s.runnersUp(c) > 0) all.add(of(s, c, topic, parts, p));
        return all;
    }

    private static Quiet of(Rows.Service s, int cell, Rows.Manifest topic, List<PartStatus> parts, PartStatus p) {
        var name = s.cells.get(cell);
        var plan = Intents.plan(new Intent(Intent.EMPTY_CELL, null, s.name, name, null, null), topic, parts);
        int load = 0, slots = 0, left = 0;
        for (var r : s.runners.values()) {
            if (!r.up()) continue;
            if (r.cell.equals(name)) {
                load += p.loads.getOrDefault(s.name + "/" + r.name, 0);
                slots += r.slots;
            } else if (isOpen(s, r, topic)) left += r.slots;
        }
        return new Quiet(
                s.name,
                name,
                load,
                slots,
                left,
                plan.isLeft() ? 0 : minutesFitted(s.name, left, p),
                plan.isLeft() ? List.of(plan.getLeft().detail()) : plan.get().warnings);
    }

    private static boolean isOpen(Rows.Service s, Rows.Runner r, Rows.Manifest topic) {
        return !Mover.closed(s, topic.marks).get(s.cells.indexOf(r.cell));
    }

    private static int minutesFitted(String service, int left, PartStatus p) {
        for (var k : p.peaks) {
            if (!k.service.equals(service)) continue;
            var n = 0;
            while (n < k.minutes.length && k.minutes[n] <= left * USABLE_SLOT_SHARE) n++;
            return n;
        }
        return 0;
    }
}
