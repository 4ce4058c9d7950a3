package craneway.control.operator;

import craneway.control.plan.UnitMover;
import craneway.control.plan.HomePlanner;
import craneway.control.store.PartStatus;
import craneway.model.manifest.Manifest;
import craneway.model.manifest.ManifestReader;
import craneway.model.problem.ProblemKind;
import craneway.model.problem.Problem;
import craneway.model.unit.PlacementTable;
import craneway.model.unit.Units;
import craneway.state.message.MarkKey;
import craneway.state.message.Plan;
import craneway.state.record.Rows;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

public final class IntentPlanner {
    private IntentPlanner() {}

    public static Either<Problem, Plan> createPlan(Intent i, Rows.Manifest topic, List<PartStatus> parts) {
        if (topic.text.isEmpty()) return no(ProblemKind.NO_MANIFEST, ProblemKind.NO_MANIFEST.text());
        var m = ManifestReader.read(topic.text).getOrElseThrow(p -> new IllegalStateException(p.detail()));
        return marks(i, m, topic).flatMap(marks -> planned(i, m, topic, marks, parts));
    }

    private static Either<Problem, TreeMap<String, String>> marks(Intent i, Manifest m, Rows.Manifest topic) {
        if (i.intent() == null) return bad("name an intent");
        return switch (i.intent()) {
            case Intent.EMPTY_ZONE, Intent.TAKE_BACK_ZONE -> zone(i, m, topic);
            case Intent.EMPTY_CELL, Intent.TAKE_BACK_CELL -> cell(i, m, topic);
            case Intent.KEEP_TENANT, Intent.RELEASE_TENANT -> tenant(i, m, topic);
            default -> bad("unknown intent " + i.intent());
        };
    }

    private static Either<Problem, TreeMap<String, String>> zone(Intent i, Manifest m, Rows.Manifest topic) {
        if (i.zone() == null || !m.zones().containsKey(i.zone())) return bad("no zone " + i.zone());
        return mark(MarkKey.zone(i.zone()), i.intent().equals(Intent.EMPTY_ZONE) ? Plan.EMPTIED : "", topic);
    }

    private static Either<Problem, TreeMap<String, String>> cell(Intent i, Manifest m, Rows.Manifest topic) {
        if (i.service() == null || m.service(i.service()) == null) return bad("no service " + i.service());
        if (i.cell() == null || m.service(i.service()).cell(i.cell()) == null)
            return bad("service " + i.service() + " has no cell " + i.cell());
        return mark(
                MarkKey.cell(i.service(), i.cell()), i.intent().equals(Intent.EMPTY_CELL) ? Plan.EMPTIED : "", topic);
    }

    private static Either<Problem, TreeMap<String, String>> tenant(Intent i, Manifest m, Rows.Manifest topic) {
        if (i.tenant() == null || m.tenant(i.tenant()) == null) return bad("no tenant " + i.tenant());
        if (i.intent().equals(Intent.RELEASE_TENANT)) return mark(MarkKey.tenant(i.tenant()), "", topic);
        if (i.regions() == null || i.regions().isEmpty()) return bad("name the regions to keep the tenant in");
        var home = m.homeRegions(i.tenant());
        for (var r : i.regions())
            if (!home.contains(r))
                return bad("region " + r + " is none of the home regions " + home + " of tenant " + i.tenant());
        return mark(MarkKey.tenant(i.tenant()), String.join(",", i.regions()), topic);
    }

    private static Either<Problem, TreeMap<String, String>> mark(MarkKey mark, String value, Rows.Manifest topic) {
        var key = mark.text();
        if (value.equals(topic.marks.getOrDefault(key, "")))
            return bad(key + " is " + (value.isEmpty() ? "not marked" : value) + " already");
        var t = new TreeMap<String, String>();
        t.put(key, value);
        return Either.right(t);
    }

    private static Either<Problem, Plan> planned(
            Intent i, Manifest m, Rows.Manifest topic, TreeMap<String, String> marks, List<PartStatus> parts) {
        var p = new Plan();
        p.intent = i.text();
        p.manifestVersion = topic.version;
        p.marksVersion = topic.marksVersion;
        p.marks = marks;
        var after = new TreeMap<>(topic.marks);
        marks.forEach((k, v) -> {
            if (v.isEmpty()) after.remove(k);
            else after.put(k, v);
        });
        for (var part : parts)
            for (var s : part.services) {
                var ms = m.service(s.name);
                if (ms == null) continue;
                var wrong = service(p, s, ms, m, after, part.loadByRunner);
                if (wrong != null) return bad(wrong);
            }
        if (p.steps.isEmpty()) p.steps.add("1. no unit moves; the mark alone is set");
        return Either.right(p);
    }

    private static String service(
            Plan p,
            Rows.Service s,
            Manifest.Service ms,
            Manifest m,
            Map<String, String> marks,
            Map<String, Integer> loads) {
        var closed = UnitMover.closedCells(s, marks);
        var well = new BitSet();
        for (var c = 0; c < s.cells.size(); c++) if (s.hasWeight(c) && s.countRunnersUp(c) > 0) well.set(c);
        var open = (BitSet) well.clone();
        open.andNot(closed);
        var unmet = unmet(s, m, marks, open);
        if (unmet != null) return unmet;
        var wanted = HomePlanner.wantedHomes(s, closed, well);
        steps(p, s, ms, wanted);
        return carry(p, s, open, wanted, loads);
    }

    private static String unmet(Rows.Service s, Manifest m, Map<String, String> marks, BitSet open) {
        for (var set : sets(s, m, marks)) {
            var held = open.stream().anyMatch(c -> Units.containsRegion(set, s.regions.indexOf(s.cellRegions.get(c))));
            if (!held)
                return "service " + s.name + ": no open cell with a runner is left for tenants at home in "
                        + names(s, set);
        }
        return null;
    }

    private static Set<Integer> sets(Rows.Service s, Manifest m, Map<String, String> marks) {
        var all = new HashSet<Integer>();
        all.add(mask(s, m.regions()));
        for (var t : m.tenants().keySet()) {
            var kept = marks.get(MarkKey.tenant(t).text());
            all.add(mask(s, kept == null ? m.homeRegions(t) : List.of(kept.split(","))));
        }
        return all;
    }

    private static int mask(Rows.Service s, List<String> regions) {
        var x = 0;
        for (var r : regions) if (s.regions.contains(r)) x |= 1 << s.regions.indexOf(r);
        return x;
    }

    private static List<String> names(Rows.Service s, int set) {
        var all = new ArrayList<String>();
        for (var r = 0; r < s.regions.size(); r++) if (Units.containsRegion(set, r)) all.add(s.regions.get(r));
        return all;
    }

    private static void steps(Plan p, Rows.Service s, Manifest.Service ms, int[] wanted) {
        var moves = new TreeMap<String, Integer>();
        for (var u = Units.SLICE_COUNT; u < wanted.length; u++)
            if (wanted[u] != s.homeCells[u])
                moves.merge(name(s, s.homeCells[u]) + " to " + name(s, wanted[u]), 1, Integer::sum);
        moves.forEach((k, n) -> p.steps.add((p.steps.size() + 1) + ". service " + s.name + ": " + n + " units from " + k
                + " in steps of " + ms.unitsPerStep() + " (" + (n + ms.unitsPerStep() - 1) / ms.unitsPerStep()
                + " steps, table from version " + s.tableVersion + ")"));
    }

    private static String name(Rows.Service s, int cell) {
        return cell == PlacementTable.NOWHERE ? "nowhere" : s.cells.get(cell);
    }

    private static String carry(Plan p, Rows.Service s, BitSet open, int[] wanted, Map<String, Integer> loads) {
        var load = s.runners.values().stream()
                .filter(Rows.Runner::isUp)
                .mapToInt(r -> loads.getOrDefault(s.name + "/" + r.name, 0))
                .sum();
        var slots = slots(s, open);
        if (load > slots)
            return "service " + s.name + ": " + load + " streams run now and the open cells have " + slots + " slots";
        if (load * 5 > slots * 4)
            p.warnings.add("service " + s.name + ": " + load + " of " + slots + " slots would be in use");
        for (var c = 0; c < s.cells.size(); c++) {
            var one = new BitSet();
            one.set(c);
            var units = 0;
            for (var u = Units.SLICE_COUNT; u < wanted.length; u++) if (wanted[u] == c) units++;
            p.loads.add(s.name + "/" + s.cells.get(c) + ": " + units + " units, " + (open.get(c) ? slots(s, one) : 0)
                    + " slots");
        }
        for (var r : s.regions) {
            var left = open.stream().anyMatch(c -> s.cellRegions.get(c).equals(r));
            if (!left)
                p.warnings.add("service " + s.name + ": transactions pinned to " + r + " alone will be declined");
        }
        return null;
    }

    private static int slots(Rows.Service s, BitSet cells) {
        return s.runners.values().stream()
                .filter(r -> r.isUp() && cells.get(s.cells.indexOf(r.cell)))
                .mapToInt(r -> r.slots)
                .sum();
    }

    private static <T> Either<Problem, T> bad(String detail) {
        return no(ProblemKind.BAD_INTENT, detail);
    }

    private static <T> Either<Problem, T> no(ProblemKind k, String detail) {
        return Either.left(Problem.of(k, detail));
    }
}
