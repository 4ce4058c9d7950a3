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
    private final Checks checks;

    ManifestChecker(Journal journal, Checks checks) {
        this.journal = journal;
        this.checks = checks;
    }

    void check() {
        checkVersionsNeverGoBack();
        for (var manifest : journal.sent) {
            if (manifest.taken()) checkRollout(manifest);
            else checkNeverInForce(manifest);
        }
        checkOnlyAcceptedInForce();
        checkTables();
        checkFinalStates();
    }

    /** Promise 6: the manifest version in force on a node never decreases. */
    private void checkVersionsNeverGoBack() {
        var highestVersion = new HashMap<String, Long>();
        for (var seen : journal.seen) {
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
    private void checkRollout(Journal.Sent manifest) {
        var inForceEverywhereAt = manifest.everywhereAt()[0];
        for (var run : journal.runs) {
            if (run.manifest >= manifest.version()
                    || inForceEverywhereAt == Long.MAX_VALUE
                    || run.at <= inForceEverywhereAt) continue;
            checks.recordWorst(Limit.SPREAD, (run.at - inForceEverywhereAt) / 1e6);
            if (run.at > inForceEverywhereAt + Limit.SPREAD.micros())
                checks.addViolation(
                        "promise 6: " + run.sub + " ran on " + run.runner + " by manifest " + run.manifest + " "
                                + (run.at - inForceEverywhereAt) / 1000 + " ms after manifest " + manifest.version()
                                + " was in force everywhere");
        }
        var firstSeenAt = new HashMap<String, Long>();
        for (var seen : journal.seen)
            if (seen.version() >= manifest.version()) firstSeenAt.merge(seen.node(), seen.at(), Math::min);
        var nodes = new HashSet<String>();
        for (var seen : journal.seen) nodes.add(seen.node());
        for (var node : nodes) checkReached(manifest, node, firstSeenAt.getOrDefault(node, Long.MAX_VALUE));
    }

    private void checkReached(Journal.Sent manifest, String node, long reachedAt) {
        var latest = manifest.verdictAt() + Limit.REACH.micros();
        if (wasInTrouble(node, manifest.verdictAt(), latest)) return;
        if (reachedAt != Long.MAX_VALUE) checks.recordWorst(Limit.REACH, (reachedAt - manifest.verdictAt()) / 1e6);
        if (reachedAt > latest)
            checks.addViolation("promise 6: manifest " + manifest.version() + " was not in force on " + node + " after "
                    + Limit.REACH.value + " s");
    }

    private boolean wasInTrouble(String node, long from, long until) {
        for (var outage : journal.troubles)
            if (outage.node().equals(node)
                    && outage.from() <= until
                    && outage.until()[0] >= from - Limit.REACH.micros()) return true;
        return false;
    }

    /** Promise 7: a declined manifest never takes effect, unless the same text was accepted or is undecided. */
    private void checkNeverInForce(Journal.Sent declined) {
        for (var other : journal.sent) if (other.taken() && other.text().equals(declined.text())) return;
        if (journal.unsure.contains(declined.text())) return;
        for (var seen : journal.seen)
            if (seen.text().equals(declined.text())) {
                checks.addViolation("promise 7: a declined manifest is in force on " + seen.node());
                return;
            }
    }

    /** Promises 7 and 8: each version stands for one accepted text, and nodes and runs use no other. */
    private void checkOnlyAcceptedInForce() {
        var textByVersion = new HashMap<Long, String>();
        for (var manifest : journal.sent) {
            if (!manifest.taken()) continue;
            var previous = textByVersion.put(manifest.version(), manifest.text());
            if (previous != null && !previous.equals(manifest.text()))
                checks.addViolation("promise 8: two manifests were accepted as version " + manifest.version());
        }
        for (var seen : journal.seen) {
            var text = textByVersion.get(seen.version());
            if (text == null ? !journal.unsure.contains(seen.text()) : !text.equals(seen.text()))
                checks.addViolation("promise 7: " + seen.node() + " holds as version " + seen.version()
                        + " a manifest that was never accepted under that version");
        }
        if (journal.unsure.isEmpty())
            for (var run : journal.runs)
                if (!textByVersion.containsKey(run.manifest))
                    checks.addViolation("promise 7: " + run.sub + " was decided on manifest " + run.manifest
                            + ", which no operator was told is accepted");
    }

    /** Promise 8: a healthy node does not end with an older assignment table than one by which work was placed. */
    private void checkTables() {
        var newestVersion = new HashMap<String, Long>();
        for (var run : journal.runs) newestVersion.merge(run.service, run.table, Math::max);
        for (var end : journal.ends)
            newestVersion.forEach((service, version) -> {
                if (!isStillInTrouble(end.node()) && end.tables().getOrDefault(service, 0L) < version)
                    checks.addViolation("promise 8: " + end.node() + " ends with table version "
                            + end.tables().get(service) + " of " + service + "; work was decided on " + version);
            });
    }

    private boolean isStillInTrouble(String node) {
        for (var outage : journal.troubles)
            if (outage.node().equals(node) && outage.until()[0] == Long.MAX_VALUE) return true;
        return false;
    }

    /** Promise 8: healthy nodes end with the newest accepted manifest and all confirmed marks. */
    private void checkFinalStates() {
        Journal.Sent newest = null;
        for (var manifest : journal.sent)
            if (manifest.taken() && (newest == null || manifest.version() > newest.version())) newest = manifest;
        var marks = new HashMap<String, String>();
        for (var area : journal.emptied)
            if (area.takenBack()[0] == Long.MAX_VALUE) marks.put(area.mark(journal.service), "emptied");
        for (var kept : journal.kept) marks.put("tenant:" + kept.tenant(), String.join(",", kept.regions()));
        for (var end : journal.ends) if (!isStillInTrouble(end.node())) checkFinalState(end, newest, marks);
    }

    private void checkFinalState(Journal.End end, Journal.Sent newest, Map<String, String> marks) {
        if (newest != null && end.version() < newest.version())
            checks.addViolation("promise 8: " + end.node() + " ends with manifest " + end.version() + "; "
                    + newest.version() + " was accepted");
        if (newest != null && end.version() == newest.version() && !end.text().equals(newest.text()))
            checks.addViolation(
                    "promise 8: " + end.node() + " ends with a different text of manifest " + newest.version());
        marks.forEach((mark, value) -> {
            if (!value.equals(end.marks().get(mark)))
                checks.addViolation(
                        "promise 8: " + end.node() + " ends without the confirmed mark " + mark + " = " + value);
        });
    }
}
