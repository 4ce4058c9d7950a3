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

/**
 * Checks where work ran: not on leaving runners, not in emptied zones or cells, only in the tenant's regions, and
 * within quotas.
 */
final class PlacementChecker {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MICROS_PER_MINUTE = 60_000_000;

    private final Journal journal;
    private final Map<String, String> zoneRegion;
    private final PromiseChecker checks;

    PlacementChecker(Journal journal, Map<String, String> zoneRegion, PromiseChecker checks) {
        this.journal = journal;
        this.zoneRegion = zoneRegion;
        this.checks = checks;
    }

    void check() {
        for (var leave : journal.leaves)
            for (var run : journal.runs)
                if (run.runner.equals(leave.runner()) && run.incarnation == leave.incarnation()) checkLeave(leave, run);
        for (var emptied : journal.emptiedAreas)
            for (var run : journal.runs) if (emptied.covers(run)) checkEmptied(emptied, run);
        checkRegions();
        checkQuotas();
    }

    /** Promise 4: a runner gets no new work after its leave was acknowledged and the limit has passed. */
    private void checkLeave(Journal.Leave leave, Journal.Run run) {
        if (run.startedAt <= leave.acknowledgedAt()) return;
        checks.recordWorst(Limit.LEAVE, (run.startedAt - leave.acknowledgedAt()) / 1e6);
        if (run.startedAt > leave.acknowledgedAt() + Limit.LEAVE.micros())
            checks.addViolation("promise 4: " + run.runner + " got " + run.submissionId + " "
                    + (run.startedAt - leave.acknowledgedAt()) / 1000 + " ms after its leave");
    }

    /**
     * Promise 5: no new work in an emptied zone or cell from the limit after the confirmation until it is taken back.
     */
    private void checkEmptied(Journal.EmptiedArea area, Journal.Run run) {
        if (run.startedAt <= area.confirmedAt() || run.startedAt >= area.takenBackAt()[0]) return;
        checks.recordWorst(Limit.EMPTY, (run.startedAt - area.confirmedAt()) / 1e6);
        if (run.startedAt > area.confirmedAt() + Limit.EMPTY.micros())
            checks.addViolation(
                    "promise 5: " + run.runner + " in " + area.zone() + area.cell() + " got " + run.submissionId + " "
                            + (run.startedAt - area.confirmedAt()) / 1000 + " ms after the confirmation");
    }

    /**
     * Promise 9: work runs only in its tenant's home regions, in the regions that the request allows, and where the
     * tenant is kept.
     */
    private void checkRegions() {
        var allowedBySubmission = new HashMap<String, String>();
        for (var reply : journal.replies)
            if (!reply.allowedRegions.isEmpty()) allowedBySubmission.put(reply.submissionId, reply.allowedRegions);
        var homesByVersion = new HashMap<Long, Map<String, Set<String>>>();
        for (var manifest : journal.sentManifests)
            if (manifest.accepted()) homesByVersion.put(manifest.version(), homeRegions(manifest.text()));
        for (var run : journal.runs) {
            var homeRegions =
                    homesByVersion.getOrDefault(run.manifestVersion, Map.of()).get(run.tenant);
            var region = zoneRegion.get(run.zone);
            if (homeRegions != null && !homeRegions.contains(region))
                checks.addViolation("promise 9: " + run.submissionId + " of " + run.tenant + " ran in " + run.zone);
            if (allowedBySubmission.containsKey(run.submissionId)
                    && !List.of(allowedBySubmission.get(run.submissionId).split(","))
                            .contains(region))
                checks.addViolation("promise 9: " + run.submissionId + " restricted to "
                        + allowedBySubmission.get(run.submissionId) + " ran in " + run.zone);
            for (var kept : journal.keptTenants)
                if (kept.tenant().equals(run.tenant)
                        && run.startedAt > kept.confirmedAt() + Limit.EMPTY.micros()
                        && !kept.regions().contains(region))
                    checks.addViolation("promise 9: " + run.submissionId + " of " + run.tenant + ", kept in "
                            + kept.regions() + ", ran in " + run.zone);
        }
    }

    /** Whether every zone in which the submission may run may have been emptied when it was sent. */
    boolean allEmptied(Journal.Reply reply) {
        var regionsByTenant = new HashMap<String, Set<String>>();
        for (var manifest : journal.sentManifests)
            if (manifest.accepted()) regionsByTenant.putAll(homeRegions(manifest.text()));
        for (var zone : zoneRegion.entrySet()) {
            var allowed = regionsByTenant.get(reply.tenant) == null
                    || regionsByTenant.get(reply.tenant).contains(zone.getValue());
            allowed &= reply.allowedRegions.isEmpty()
                    || List.of(reply.allowedRegions.split(",")).contains(zone.getValue());
            if (allowed && journal.possiblyEmptiedUntil.getOrDefault(zone.getKey(), 0L) <= reply.submittedAt)
                return false;
        }
        return true;
    }

    /** The home regions of each tenant that the manifest restricts. */
    static Map<String, Set<String>> homeRegions(String manifest) {
        var regionsByTenant = new HashMap<String, Set<String>>();
        for (var tenant : tenants(manifest)) {
            if (!tenant.has("regions")) continue;
            var names = new HashSet<String>();
            tenant.get("regions").forEach(region -> names.add(region.asText()));
            regionsByTenant.put(tenant.get("name").asText(), names);
        }
        return regionsByTenant;
    }

    private static List<JsonNode> tenants(String manifest) {
        var tenants = new ArrayList<JsonNode>();
        try {
            JSON.readTree(manifest).path("tenants").forEach(tenants::add);
        } catch (JsonProcessingException e) {
            return List.of();
        }
        return tenants;
    }

    /** Promise 8: a tenant runs no more than its highest quota in each started minute of the run. */
    private void checkQuotas() {
        var highestQuota = new HashMap<String, Integer>();
        for (var manifest : journal.sentManifests)
            if (manifest.accepted())
                for (var tenant : tenants(manifest.text()))
                    highestQuota.merge(
                            tenant.get("name").asText(),
                            tenant.path("quotaPerMinute").asInt(0),
                            Math::max);
        var submissionsRun = new HashMap<String, Set<String>>();
        var firstRunAt =
                journal.runs.stream().mapToLong(run -> run.startedAt).min().orElse(0);
        var lastRunAt =
                journal.runs.stream().mapToLong(run -> run.startedAt).max().orElse(0);
        for (var run : journal.runs)
            submissionsRun
                    .computeIfAbsent(run.service + " " + run.tenant, serviceAndTenant -> new HashSet<>())
                    .add(run.submissionId);
        var minutes = (lastRunAt - firstRunAt) / MICROS_PER_MINUTE + 2;
        submissionsRun.forEach((serviceAndTenant, submissions) -> {
            var quotaPerMinute =
                    highestQuota.getOrDefault(serviceAndTenant.substring(serviceAndTenant.indexOf(' ') + 1), 0);
            if (quotaPerMinute > 0 && submissions.size() > quotaPerMinute * minutes)
                checks.addViolation("promise 8: " + serviceAndTenant + " ran " + submissions.size()
                        + " transactions in at most " + minutes + " minutes of " + quotaPerMinute);
        });
    }
}
