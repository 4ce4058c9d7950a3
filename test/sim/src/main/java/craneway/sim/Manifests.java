package craneway.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;

final class Manifests {
    private final Journal j;
    private final PromiseChecker out;

    Manifests(Journal j, PromiseChecker out) {
        this.j = j;
        this.out = out;
    }

    void check() {
        noSlip();
        for (var m : j.sentManifests) {
            if (m.accepted()) spread(m);
            else neverSeen(m);
        }
        onlyTaken();
        tables();
        kept();
    }

    private void noSlip() {
        var ever = new HashMap<String, Long>();
        for (var s : j.seenManifests) {
            if (ever.getOrDefault(s.node(), 0L) > s.version())
                out.wrong("promise 6: " + s.node() + " slipped from " + ever.get(s.node()) + " to " + s.version());
            ever.merge(s.node(), s.version(), Math::max);
        }
    }

    private void spread(Journal.SentManifest m) {
        var everywhere = m.inForceEverywhereAt()[0];
        for (var r : j.runs) {
            if (r.manifestVersion >= m.version() || everywhere == Long.MAX_VALUE || r.startedAt <= everywhere) continue;
            out.worstValues(Limit.SPREAD, (r.startedAt - everywhere) / 1e6);
            if (r.startedAt > everywhere + Limit.SPREAD.micros())
                out.wrong("promise 6: " + r.submissionId + " ran on " + r.runner + " by manifest " + r.manifestVersion + " "
                        + (r.startedAt - everywhere) / 1000 + " ms after manifest " + m.version()
                        + " was in force everywhere");
        }
        var has = new HashMap<String, Long>();
        for (var s : j.seenManifests) if (s.version() >= m.version()) has.merge(s.node(), s.firstSeenAt(), Math::min);
        var nodes = new HashSet<String>();
        for (var s : j.seenManifests) nodes.add(s.node());
        for (var n : nodes) reached(m, n, has.getOrDefault(n, Long.MAX_VALUE));
    }

    private void reached(Journal.SentManifest m, String node, long at) {
        var by = m.answeredAt() + Limit.REACH.micros();
        if (troubled(node, m.answeredAt(), by)) return;
        if (at != Long.MAX_VALUE) out.worstValues(Limit.REACH, (at - m.answeredAt()) / 1e6);
        if (at > by)
            out.wrong("promise 6: manifest " + m.version() + " was not in force on " + node + " after "
                    + Limit.REACH.value + " s");
    }

    private boolean troubled(String node, long from, long until) {
        for (var t : j.outages)
            if (t.node().equals(node) && t.startedAt() <= until && t.endedAt()[0] >= from - Limit.REACH.micros()) return true;
        return false;
    }

    private void neverSeen(Journal.SentManifest m) {
        for (var o : j.sentManifests) if (o.accepted() && o.text().equals(m.text())) return;
        if (j.undecidedManifests.contains(m.text())) return;
        for (var s : j.seenManifests)
            if (s.text().equals(m.text())) {
                out.wrong("promise 7: a declined manifest is in force on " + s.node());
                return;
            }
    }

    private void onlyTaken() {
        var known = new HashMap<Long, String>();
        for (var m : j.sentManifests) {
            if (!m.accepted()) continue;
            var had = known.put(m.version(), m.text());
            if (had != null && !had.equals(m.text()))
                out.wrong("promise 8: two manifests were taken as version " + m.version());
        }
        for (var s : j.seenManifests) {
            var text = known.get(s.version());
            if (text == null ? !j.undecidedManifests.contains(s.text()) : !text.equals(s.text()))
                out.wrong("promise 7: " + s.node() + " holds as version " + s.version()
                        + " a manifest that was never taken as that");
        }
        if (j.undecidedManifests.isEmpty())
            for (var r : j.runs)
                if (!known.containsKey(r.manifestVersion))
                    out.wrong("promise 7: " + r.submissionId + " was decided on manifest " + r.manifestVersion
                            + ", which nobody was told is taken");
    }

    private void tables() {
        var most = new HashMap<String, Long>();
        for (var r : j.runs) most.merge(r.service, r.tableVersion, Math::max);
        for (var e : j.finalStates)
            most.forEach((s, v) -> {
                if (!lately(e.node()) && e.tableVersions().getOrDefault(s, 0L) < v)
                    out.wrong("promise 8: " + e.node() + " ends with table version "
                            + e.tableVersions().get(s) + " of " + s + "; work was decided on " + v);
            });
    }

    private boolean lately(String node) {
        for (var t : j.outages) if (t.node().equals(node) && t.endedAt()[0] == Long.MAX_VALUE) return true;
        return false;
    }

    private void kept() {
        Journal.SentManifest newest = null;
        for (var m : j.sentManifests) if (m.accepted() && (newest == null || m.version() > newest.version())) newest = m;
        var marks = new HashMap<String, String>();
        for (var e : j.emptiedAreas) if (e.takenBackAt()[0] == Long.MAX_VALUE) marks.put(e.markKey(j.serviceName), "emptied");
        for (var k : j.keptTenants) marks.put("tenant:" + k.tenant(), String.join(",", k.regions()));
        for (var e : j.finalStates) if (!lately(e.node())) keeps(e, newest, marks);
    }

    private void keeps(Journal.FinalState e, Journal.SentManifest newest, Map<String, String> marks) {
        if (newest != null && e.manifestVersion() < newest.version())
            out.wrong("promise 8: " + e.node() + " ends with manifest " + e.manifestVersion() + "; " + newest.version()
                    + " was taken");
        if (newest != null && e.manifestVersion() == newest.version() && !e.manifestText().equals(newest.text()))
            out.wrong("promise 8: " + e.node() + " ends with another manifest " + newest.version());
        marks.forEach((k, v) -> {
            if (!v.equals(e.marks().get(k)))
                out.wrong("promise 8: " + e.node() + " ends without the confirmed mark " + k + " = " + v);
        });
    }
}
