package craneway.data.placement;

import craneway.control.node.Membership;
import craneway.model.manifest.Manifest;
import craneway.model.unit.Parts;
import craneway.state.message.Plan;
import craneway.state.record.Rows;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The runners as the newest view names them; lives that the view drops are forgotten. Not thread-safe: one thread asks. */
public final class RunnerPool {
    private static final int FEW = 40;
    private static final Comparator<RunnerView> BY_HASH = (a, b) -> Long.compare(a.hash, b.hash);
    private final Map<String, RunnerView> runners = new HashMap<>();
    private Map<String, List<RunnerView>> services = Map.of();
    private Set<String> isZoneEmptied = Set.of();
    private final Map<String, Reading> readings = new HashMap<>();
    private Membership.CoreView view;
    private List<String> servingRouters = List.of();

    public boolean applyView(Membership.CoreView v) {
        if (v == view) return false;
        var old = view;
        view = v;
        if (v.manifest() == null || old != null && tellsTheSame(old, v)) return true;
        var all = new HashMap<String, List<RunnerView>>();
        var ids = new HashSet<String>();
        for (var s : v.services().values()) {
            var m = v.manifest().service(s.name);
            if (m == null) continue;
            var list = new ArrayList<RunnerView>();
            for (var row : s.runners.values()) {
                ids.add(row.name);
                list.add(met(s, row, m.engine()));
            }
            all.put(s.name, list);
        }
        runners.keySet().retainAll(ids);
        services = all;
        isZoneEmptied = isZoneEmptied(v.manifestRow().marks);
        servingRouters = servingRouters(v);
        return true;
    }

    /** Whether two views differ in their leases only. */
    private static boolean tellsTheSame(Membership.CoreView a, Membership.CoreView b) {
        return a.manifest() == b.manifest()
                && a.manifestRow() == b.manifestRow()
                && a.services() == b.services()
                && a.membersByPart().get(Parts.MANIFEST_PART)
                        == b.membersByPart().get(Parts.MANIFEST_PART);
    }

    /** Some router gave this runner tokens to read. */
    public void recordPrefill(RunnerView r, int tokens, long now) {
        r.recordPrefill(tokens, now);
        readings.computeIfAbsent(r.service + "/" + r.zone, k -> new Reading()).add(tokens, now);
    }

    /**
     * In a zone of a region that narrower region sets share, some of the runners read the long prompts and the others carry the
     * short ones, so that reading does not hold up streams; as many read as the zone's reading needs.
     */
    public void assignRunnerRoles(long now) {
        services.forEach((service, all) -> {
            var bound = view.manifest().routes().regionSetsOf(service);
            var zones = new HashMap<String, List<RunnerView>>();
            for (var r : all)
                if (r.row.isUp())
                    zones.computeIfAbsent(r.zone, k -> new ArrayList<>()).add(r);
            zones.forEach((zone, list) ->
                    assignRunnerRoles(list, bound, readings.computeIfAbsent(service + "/" + zone, k -> new Reading()), now));
        });
    }

    private static void assignRunnerRoles(List<RunnerView> list, Collection<String> bound, Reading reading, long now) {
        var region = list.get(0).region;
        var shared = bound.stream().anyMatch(b -> List.of(b.split(" ")).contains(region));
        var n = shared ? reading.readers(list.size(), now) : list.size();
        list.sort(BY_HASH);
        for (var i = 0; i < list.size(); i++) {
            list.get(i).reader = i < n;
            list.get(i).mixed = n < list.size();
        }
    }

    /** How much a zone's runners are given to read, and how many of them it takes. */
    private static final class Reading {
        private static final double ONE = 12_000, FEWER = 7_000, SPAN = 3_000_000;
        private static final long CALM = 5_000_000;
        private double rate;
        private long at;
        private int readers = 1;
        private long enough;

        void add(int tokens, long now) {
            rate = rate(now) + tokens / (SPAN / 1_000_000);
            at = now;
        }

        private double rate(long now) {
            return at == 0 ? 0 : rate * Math.exp(-(now - at) / SPAN);
        }

        int readers(int most, long now) {
            var r = rate(now);
            if (r > ONE * readers && readers < most) {
                readers++;
                enough = now;
            }
            if (r > FEWER * (readers - 1)) enough = now;
            if (readers > 1 && now - enough > CALM) {
                readers--;
                enough = now;
            }
            readers = Math.max(1, Math.min(readers, most));
            return readers;
        }
    }

    private RunnerView met(Rows.Service s, Rows.Runner row, Manifest.Engine e) {
        var r = runners.get(row.name);
        if (r == null) {
            var at = s.cells.indexOf(row.cell);
            r = new RunnerView(
                    s.name,
                    at < 0 ? "" : s.cellRegions.get(at),
                    at < 0 ? row.cell : s.zones.get(at),
                    row,
                    Math.max(1, row.slots),
                    e.cacheCapacityTokens());
            runners.put(row.name, r);
        }
        r.row = row;
        r.slots = Math.max(1, row.slots);
        return r;
    }

    private static Set<String> isZoneEmptied(Map<String, String> marks) {
        var all = new HashSet<String>();
        marks.forEach((k, v) -> {
            if (v.equals(Plan.EMPTIED) && k.startsWith("zone:")) all.add(k.substring(5));
        });
        return all;
    }

    private static List<String> servingRouters(Membership.CoreView v) {
        var all = new ArrayList<String>();
        for (var n : v.membersByPart().get(Parts.MANIFEST_PART)) if (n.isRouter() && n.serving) all.add(n.name);
        return all;
    }

    /** Whether some runner of this zone has fallen silent. */
    boolean silent(String zone, long now) {
        for (var r : runners.values()) if (r.zone.equals(zone) && r.isSuspected(now)) return true;
        return false;
    }

    public RunnerView findRunner(String id) {
        return runners.get(id);
    }

    /** Partner addresses of the other routers; in a large fleet only those in these regions. */
    public List<String> peerRouterAddresses(String self, String one, String other) {
        var few = servingRouters.size() <= FEW;
        var all = new ArrayList<String>();
        for (var n : view.membersByPart().get(Parts.MANIFEST_PART)) {
            var g = view.manifest().regionOfZone(n.zone);
            if (n.isRouter() && n.serving && !n.name.equals(self) && (few || one.equals(g) || other.equals(g)))
                all.add(n.peerAddress);
        }
        return all;
    }

    public Membership.CoreView view() {
        return view;
    }

    public Collection<String> servingRouters() {
        return servingRouters;
    }

    public Collection<RunnerView> allRunners() {
        return runners.values();
    }
    /** Whether news of this service has come; without it nothing is known of its runners. */
    public boolean hasService(String service) {
        return services.containsKey(service);
    }

    public List<RunnerView> runnersOf(String service) {
        return services.getOrDefault(service, List.of());
    }

    public boolean isZoneEmptied(String zone) {
        return isZoneEmptied.contains(zone);
    }
}
