package craneway.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;

/**
 * Checks the promises on manifests, marks and assignment tables: versions never go back, accepted ones reach every node
 * in time, rejected ones never take effect, and confirmed state is kept.
 */
final class ManifestChecker {
    private final Journal journal;
    private final PromiseChecker checks;

    ManifestChecker(Journal journal, PromiseChecker checks) {
        this.journal = journal;
        this.checks = checks;
    }

    void check() {
        checkVersionsNeverGoBack();
        for (var manifest : journal.sentManifests) {
            if (manifest.accepted()) checkRollout(manifest);
            else checkNeverInForce(manifest);
        }
        checkOnlyAcceptedInForce();
        checkTables();
        checkFinalStates();
    }

    /** Promise 6: the manifest version in force on a node never decreases. */
    private void checkVersionsNeverGoBack() {
        var highestVersion = new HashMap<String, Long>();
        for (var seen : journal.seenManifests) {
            if (highestVersion.getOrDefault(seen.node(), 0L) > seen.version())
                checks.addViolation("promise 6: " + seen.node() + " went back from version "
                        + highestVersion.get(seen.node()) + " to " + seen.version());
            highestVersion.merge(seen.node(), seen.version(), Math::max);
        }
    }

    /**
     * Promise 6: an accepted manifest reaches every healthy node in time, and after it is in force everywhere no older
     * one decides.
     */
    private void checkRollout(Journal.SentManifest manifest) {
        var inForceEverywhereAt = manifest.inForceEverywhereAt()[0];
        for (var run : journal.runs) {
            if (run.manifestVersion >= manifest.version()
                    || inForceEverywhereAt == Long.MAX_VALUE
                    || run.startedAt <= inForceEverywhereAt) continue;
            checks.recordWorst(Limit.SPREAD, (run.startedAt - inForceEverywhereAt) / 1e6);
            if (run.startedAt > inForceEverywhereAt + Limit.SPREAD.micros())
                checks.addViolation("promise 6: " + run.submissionId + " ran on " + run.runner + " by manifest "
                        + run.manifestVersion + " "
                        + (run.startedAt - inForceEverywhereAt) / 1000 + " ms after manifest " + manifest.version()
                        + " was in force everywhere");
        }
        var firstSeenAt = new HashMap<String, Long>();
        for (var seen : journal.seenManifests)
            if (seen.version() >= manifest.version()) firstSeenAt.merge(seen.node(), seen.firstSeenAt(), Math::min);
        var nodes = new HashSet<String>();
        for (var seen : journal.seenManifests) nodes.add(seen.node());
        for (var node : nodes) checkReached(manifest, node, firstSeenAt.getOrDefault(node, Long.MAX_VALUE));
    }

    private void checkReached(Journal.SentManifest manifest, String node, long reachedAt) {
        var latest = manifest.answeredAt() + Limit.REACH.micros();
        if (hadOutage(node, manifest.answeredAt(), latest)) return;
        if (reachedAt != Long.MAX_VALUE) checks.recordWorst(Limit.REACH, (reachedAt - manifest.answeredAt()) / 1e6);
        if (reachedAt > latest)
            checks.addViolation("promise 6: manifest " + manifest.version() + " was not in force on " + node + " after "
                    + Limit.REACH.value + " s");
    }

    private boolean hadOutage(String node, long from, long until) {
        for (var outage : journal.outages)
            if (outage.node().equals(node)
                    && outage.startedAt() <= until
                    && outage.endedAt()[0] >= from - Limit.REACH.micros()) return true;
        return false;
    }

    /** Promise 7: a declined manifest never takes effect, unless the same text was accepted or is undecided. */
    private void checkNeverInForce(Journal.SentManifest declined) {
        for (var other : journal.sentManifests)
            if (other.accepted() && other.text().equals(declined.text())) return;
        if (journal.undecidedManifests.contains(declined.text())) return;
        for (var seen : journal.seenManifests)
            if (seen.text().equals(declined.text())) {
                checks.addViolation("promise 7: a declined manifest is in force on " + seen.node());
                return;
            }
    }

    /** Promises 7 and 8: each version stands for one accepted text, and nodes and runs use no other. */
    private void checkOnlyAcceptedInForce() {
        var textByVersion = new HashMap<Long, String>();
        for (var manifest : journal.sentManifests) {
            if (!manifest.accepted()) continue;
            var previous = textByVersion.put(manifest.version(), manifest.text());
            if (previous != null && !previous.equals(manifest.text()))
                checks.addViolation("promise 8: two manifests were accepted as version " + manifest.version());
        }
        for (var seen : journal.seenManifests) {
            var text = textByVersion.get(seen.version());
            if (text == null ? !journal.undecidedManifests.contains(seen.text()) : !text.equals(seen.text()))
                checks.addViolation("promise 7: " + seen.node() + " holds as version " + seen.version()
                        + " a manifest that was never accepted under that version");
        }
        if (journal.undecidedManifests.isEmpty())
            for (var run : journal.runs)
                if (!textByVersion.containsKey(run.manifestVersion))
                    checks.addViolation("promise 7: " + run.submissionId + " was decided on manifest "
                            + run.manifestVersion + ", which no operator was told is accepted");
    }

    /** Promise 8: a healthy node does not end with an older assignment table than one by which work was placed. */
    private void checkTables() {
        var newestVersion = new HashMap<String, Long>();
        for (var run : journal.runs) newestVersion.merge(run.service, run.tableVersion, Math::max);
        for (var end : journal.finalStates)
            newestVersion.forEach((service, version) -> {
                if (!isInOpenOutage(end.node()) && end.tableVersions().getOrDefault(service, 0L) < version)
                    checks.addViolation("promise 8: " + end.node() + " ends with table version "
                            + end.tableVersions().get(service) + " of " + service + "; work was decided on " + version);
            });
    }

    private boolean isInOpenOutage(String node) {
        for (var outage : journal.outages)
            if (outage.node().equals(node) && outage.endedAt()[0] == Long.MAX_VALUE) return true;
        return false;
    }

    /** Promise 8: healthy nodes end with the newest accepted manifest and all confirmed marks. */
    private void checkFinalStates() {
        Journal.SentManifest newest = null;
        for (var manifest : journal.sentManifests)
            if (manifest.accepted() && (newest == null || manifest.version() > newest.version())) newest = manifest;
        var marks = new HashMap<String, String>();
        for (var area : journal.emptiedAreas)
            if (area.takenBackAt()[0] == Long.MAX_VALUE) marks.put(area.markKey(journal.serviceName), "emptied");
        for (var kept : journal.keptTenants) marks.put("tenant:" + kept.tenant(), String.join(",", kept.regions()));
        for (var end : journal.finalStates) if (!isInOpenOutage(end.node())) checkFinalState(end, newest, marks);
    }

    private void checkFinalState(Journal.FinalState end, Journal.SentManifest newest, Map<String, String> marks) {
        if (newest != null && end.manifestVersion() < newest.version())
            checks.addViolation("promise 8: " + end.node() + " ends with manifest " + end.manifestVersion() + "; "
                    + newest.version() + " was accepted");
        if (newest != null
                && end.manifestVersion() == newest.version()
                && !end.manifestText().equals(newest.text()))
            checks.addViolation(
                    "promise 8: " + end.node() + " ends with a different text of manifest " + newest.version());
        marks.forEach((mark, value) -> {
            if (!value.equals(end.marks().get(mark)))
                checks.addViolation(
                        "promise 8: " + end.node() + " ends without the confirmed mark " + mark + " = " + value);
        });
    }
}
