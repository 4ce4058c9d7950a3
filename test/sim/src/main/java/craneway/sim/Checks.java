package craneway.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

public final class Checks {
    public static final long LEAVE = 3_500_000, EMPTY = 5_200_000, SPREAD = 3_300_000, RETURN = 12_000_000;
    static final String COLD = "streams at once on a cold runner, share of slots";
    private static final double SHARE = 0.2;

    private final Journal j;
    private final Map<String, String> zoneRegion;
    private final Map<String, List<String>> homes;
    private final int routers;
    private final List<String> wrong = new ArrayList<>();
    public final Map<String, Double> worst = new TreeMap<>();

    public Checks(Journal j, Map<String, String> zoneRegion, Map<String, List<String>> homes, int routers) {
        this.j = j;
        this.zoneRegion = zoneRegion;
        this.homes = homes;
        this.routers = routers;
    }

    public List<String> all() {
        runOnce();
        declined();
        streams();
        leaves();
        emptied();
        manifests();
        accepted();
        homes();
        cold();
        tries();
        verdicts();
        return wrong;
    }

    private void worst(String what, double v) { worst.merge(what, v, Math::max); }

    private void runOnce() {
        var n = new HashMap<String, Integer>();
        for (var r : j.runs) if (!r.key.isEmpty()) n.merge(r.key, 1, Integer::sum);
        n.forEach((k, c) -> { if (c > 1) wrong.add("promise 1: key " + k + " ran " + c + " times"); });
    }

    private void declined() {
        var ran = new HashSet<String>();
        for (var r : j.runs) ran.add(r.sub);
        for (var t : j.told)
            if ((t.verdict.equals("declined") || t.verdict.equals("refused")) && ran.contains(t.sub)) wrong.add("promise 2: " + t.sub + " was declined (" + t.code + ") and ran");
    }

    private void streams() {
        var whole = new HashSet<String>();
        for (var r : j.runs) if (r.whole) whole.add(r.sub);
        for (var t : j.told) {
            if (t.verdict.equals("false-end") || t.verdict.equals("disordered")) wrong.add("promise 3: " + t.sub + " came as " + t.verdict);
            if (t.verdict.equals("whole") && !whole.contains(t.sub)) wrong.add("promise 3: " + t.sub + " looked whole and no run ended");
        }
    }

    private void leaves() {
        for (var l : j.leaves)
            for (var r : j.runs) {
                if (!r.runner.equals(l.runner()) || r.incarnation != l.incarnation() || r.at <= l.acknowledged()) continue;
                worst("new work after leave, s", (r.at - l.acknowledged()) / 1e6);
                if (r.at > l.acknowledged() + LEAVE) wrong.add("promise 4: " + r.runner + " got " + r.sub + " " + (r.at - l.acknowledged()) / 1000 + " ms after its leave");
            }
    }

    private void emptied() {
        for (var e : j.emptied)
            for (var r : j.runs) {
                if (!r.zone.equals(e.zone()) || r.at <= e.confirmed() || r.at >= e.takenBack()[0]) continue;
                worst("new work after empty, s", (r.at - e.confirmed()) / 1e6);
                if (r.at > e.confirmed() + EMPTY) wrong.add("promise 5: " + r.runner + " in " + e.zone() + " got " + r.sub + " " + (r.at - e.confirmed()) / 1000 + " ms after the confirm");
            }
    }

    private void manifests() {
        var last = new HashMap<String, Long>();
        for (var s : j.seen) {
            var k = s.node() + "#" + s.life();
            if (last.getOrDefault(k, 0L) > s.version()) wrong.add("promise 6: " + s.node() + " slipped from " + last.get(k) + " to " + s.version());
            last.put(k, s.version());
        }
        var ever = new HashMap<String, Long>();
        for (var s : j.seen) {
            if (ever.getOrDefault(s.node(), 0L) > s.version()) wrong.add("promise 6: " + s.node() + " came back at " + s.version() + " after " + ever.get(s.node()));
            ever.merge(s.node(), s.version(), Math::max);
        }
        for (var m : j.sent) if (m.taken()) spread(m);
        for (var m : j.sent) if (!m.taken()) neverSeen(m);
    }

    private void spread(Journal.Sent m) {
        var nodes = new HashSet<String>();
        for (var s : j.seen) nodes.add(s.node());
        for (var n : nodes) {
            if (m.missing().contains(n)) continue;
            var at = Long.MAX_VALUE;
            for (var s : j.seen) {
                if (!s.node().equals(n)) continue;
                if (s.text().equals(m.text()) && s.at() >= m.at()) at = Math.min(at, s.at());
            }
            if (troubled(n, m.verdictAt(), m.verdictAt() + SPREAD)) continue;
            if (at == Long.MAX_VALUE && superseded(m)) continue;
            if (at != Long.MAX_VALUE) worst("manifest spread, s", (at - m.verdictAt()) / 1e6);
            if (at > m.verdictAt() + SPREAD) wrong.add("promise 6: manifest " + m.version() + " not in force on " + n + " after " + SPREAD / 1000 + " ms");
        }
    }

    private boolean superseded(Journal.Sent m) {
        return j.sent.stream().anyMatch(o -> o.taken() && o.version() > m.version() && o.verdictAt() < m.verdictAt() + SPREAD);
    }

    private boolean troubled(String node, long from, long until) {
        for (var t : j.troubles) if ((t.node().equals(node) || t.node().equals("*")) && t.from() <= until && t.until()[0] >= from - 3_000_000) return true;
        return false;
    }

    private void neverSeen(Journal.Sent m) {
        for (var o : j.sent) if (o.taken() && o.text().equals(m.text())) return;
        for (var s : j.seen) if (s.text().equals(m.text())) {
            wrong.add("promise 7: a declined manifest is in force on " + s.node());
            return;
        }
    }

    private void accepted() {
        Journal.Sent newest = null;
        for (var m : j.sent) if (m.taken() && (newest == null || m.version() > newest.version())) newest = m;
        if (newest == null) return;
        var last = new HashMap<String, Journal.Seen>();
        for (var s : j.seen) last.put(s.node(), s);
        var versions = new HashMap<Long, String>();
        for (var m : j.sent) {
            if (!m.taken()) continue;
            var had = versions.put(m.version(), m.text());
            if (had != null && !had.equals(m.text())) wrong.add("promise 8: two manifests were taken as version " + m.version());
        }
        for (var e : last.entrySet())
            if (!troubled(e.getKey(), e.getValue().at(), Long.MAX_VALUE - 1) && !e.getValue().text().equals(newest.text()) && !laterUnsure(newest, e.getValue()))
                wrong.add("promise 8: " + e.getKey() + " ends without manifest " + newest.version());
    }

    private boolean laterUnsure(Journal.Sent newest, Journal.Seen s) { return s.at() > newest.verdictAt(); }

    private void homes() {
        for (var r : j.runs) {
            var may = homes.get(r.tenant);
            if (may != null && !may.contains(zoneRegion.get(r.zone))) wrong.add("promise 9: " + r.sub + " of " + r.tenant + " ran in " + r.zone);
        }
    }

    private void cold() {
        for (var r : j.runs) {
            if (!r.cold) continue;
            worst(COLD, r.running / (double) r.slots);
            if (r.running >= r.slots && r.slots > 4) wrong.add("promise 10: cold " + r.runner + " had " + r.running + " of " + r.slots + " slots in use");
        }
    }

    private void tries() {
        var n = new HashMap<String, Integer>();
        for (var r : j.runs) n.merge(r.sub, 1, Integer::sum);
        var extra = n.values().stream().mapToInt(x -> x - 1).sum();
        if (j.submissions > 0) worst("extra runs, share", extra / (double) j.submissions);
        if (extra > SHARE * j.submissions + 10.0 * routers) wrong.add("promise 11: " + extra + " extra runs for " + j.submissions + " submissions");
    }

    private void verdicts() {
        for (var t : j.told) {
            if (!t.verdict.equals("declined")) continue;
            worst("decline after, share of the deadline", (t.at - t.askedAt) / (t.deadlineMillis * 1000.0));
            if (t.at - t.askedAt > t.deadlineMillis * 900L && t.at - t.askedAt > 8_000_000) wrong.add("final verdict of " + t.sub + " was held until near its deadline");
        }
    }

    public List<String> lost() {
        var bad = new ArrayList<String>();
        for (var t : j.told) if (!List.of("whole", "recorded").contains(t.verdict) && !(t.verdict.equals("declined") && t.retryAfter > 0)) bad.add("promise 12: " + t.sub + " ended as " + t.verdict);
        return bad;
    }
}
