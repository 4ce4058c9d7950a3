package craneway.sim;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

final class Rights {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MINUTE = 60_000_000;

    private final Journal j;
    private final Map<String, String> zoneRegion;
    private final PromiseChecker out;

    Rights(Journal j, Map<String, String> zoneRegion, PromiseChecker out) {
        this.j = j;
        this.zoneRegion = zoneRegion;
        this.out = out;
    }

    void check() {
        for (var l : j.leaves)
            for (var r : j.runs) if (r.runner.equals(l.runner()) && r.incarnation == l.incarnation()) left(l, r);
        for (var e : j.emptiedAreas) for (var r : j.runs) if (e.covers(r)) emptied(e, r);
        homes();
        quotas();
    }

    private void left(Journal.Leave l, Journal.Run r) {
        if (r.startedAt <= l.acknowledgedAt()) return;
        out.worstValues(Limit.LEAVE, (r.startedAt - l.acknowledgedAt()) / 1e6);
        if (r.startedAt > l.acknowledgedAt() + Limit.LEAVE.micros())
            out.wrong("promise 4: " + r.runner + " got " + r.submissionId + " " + (r.startedAt - l.acknowledgedAt()) / 1000
                    + " ms after its leave");
    }

    private void emptied(Journal.EmptiedArea e, Journal.Run r) {
        if (r.startedAt <= e.confirmedAt() || r.startedAt >= e.takenBackAt()[0]) return;
        out.worstValues(Limit.EMPTY, (r.startedAt - e.confirmedAt()) / 1e6);
        if (r.startedAt > e.confirmedAt() + Limit.EMPTY.micros())
            out.wrong("promise 5: " + r.runner + " in " + e.zone() + e.cell() + " got " + r.submissionId + " "
                    + (r.startedAt - e.confirmedAt()) / 1000 + " ms after the confirm");
    }

    private void homes() {
        var narrowed = new HashMap<String, String>();
        for (var t : j.replies) if (!t.allowedRegions.isEmpty()) narrowed.put(t.submissionId, t.allowedRegions);
        var homes = new HashMap<Long, Map<String, Set<String>>>();
        for (var m : j.sentManifests) if (m.accepted()) homes.put(m.version(), regions(m.text()));
        for (var r : j.runs) {
            var may = homes.getOrDefault(r.manifestVersion, Map.of()).get(r.tenant);
            var region = zoneRegion.get(r.zone);
            if (may != null && !may.contains(region))
                out.wrong("promise 9: " + r.submissionId + " of " + r.tenant + " ran in " + r.zone);
            if (narrowed.containsKey(r.submissionId)
                    && !List.of(narrowed.get(r.submissionId).split(",")).contains(region))
                out.wrong("promise 9: " + r.submissionId + " narrowed to " + narrowed.get(r.submissionId) + " ran in " + r.zone);
            for (var k : j.keptTenants)
                if (k.tenant().equals(r.tenant)
                        && r.startedAt > k.confirmedAt() + Limit.EMPTY.micros()
                        && !k.regions().contains(region))
                    out.wrong("promise 9: " + r.submissionId + " of " + r.tenant + ", kept in " + k.regions() + ", ran in "
                            + r.zone);
        }
    }

    boolean allEmptied(Journal.Reply t) {
        var newest = new HashMap<String, Set<String>>();
        for (var m : j.sentManifests) if (m.accepted()) newest.putAll(regions(m.text()));
        for (var z : zoneRegion.entrySet()) {
            var may = newest.get(t.tenant) == null || newest.get(t.tenant).contains(z.getValue());
            may &= t.allowedRegions.isEmpty() || List.of(t.allowedRegions.split(",")).contains(z.getValue());
            if (may && j.possiblyEmptiedUntil.getOrDefault(z.getKey(), 0L) <= t.submittedAt) return false;
        }
        return true;
    }

    static Map<String, Set<String>> regions(String manifest) {
        var all = new HashMap<String, Set<String>>();
        for (var t : tenants(manifest)) {
            if (!t.has("regions")) continue;
            var s = new HashSet<String>();
            t.get("regions").forEach(r -> s.add(r.asText()));
            all.put(t.get("name").asText(), s);
        }
        return all;
    }

    private static List<JsonNode> tenants(String manifest) {
        var all = new ArrayList<JsonNode>();
        try {
            JSON.readTree(manifest).path("tenants").forEach(all::add);
        } catch (JsonProcessingException e) {
            return List.of();
        }
        return all;
    }

    private void quotas() {
        var most = new HashMap<String, Integer>();
        for (var m : j.sentManifests)
            if (m.accepted())
                for (var t : tenants(m.text()))
                    most.merge(t.get("name").asText(), t.path("quotaPerMinute").asInt(0), Math::max);
        var ran = new HashMap<String, Set<String>>();
        var from = j.runs.stream().mapToLong(r -> r.startedAt).min().orElse(0);
        var to = j.runs.stream().mapToLong(r -> r.startedAt).max().orElse(0);
        for (var r : j.runs)
            ran.computeIfAbsent(r.service + " " + r.tenant, k -> new HashSet<>())
                    .add(r.submissionId);
        var minutes = (to - from) / MINUTE + 2;
        ran.forEach((k, subs) -> {
            var q = most.getOrDefault(k.substring(k.indexOf(' ') + 1), 0);
            if (q > 0 && subs.size() > q * minutes)
                out.wrong("promise 8: " + k + " ran " + subs.size() + " transactions in at most " + minutes
                        + " minutes of " + q);
        });
    }
}
