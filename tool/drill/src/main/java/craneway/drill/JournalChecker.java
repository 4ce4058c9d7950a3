package craneway.drill;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks promises by comparing the journals of requesters with those of runners: run-once work runs once (1), declined
 * work does not run (2), a stream is complete or visibly cut (3), extra runs stay within a budget (11), and every
 * submission ends with a verdict (12).
 *
 * <p>All runner journals must be added before the first requester journal. Not thread-safe.
 */
public final class JournalChecker {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** Extra runs that are permitted in addition to a fifth of the submissions. */
    private static final int EXTRA_RUN_ALLOWANCE = 20;

    private final Map<String, Integer> runsByKey = new HashMap<>();
    private final Map<String, Integer> runsBySubmission = new HashMap<>();
    private final Map<String, Integer> tokensBySubmission = new HashMap<>();
    private final Map<String, Integer> completedRunsBySubmission = new HashMap<>();
    private final List<String> lostSubmissions = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private int runCount;
    private int submissionCount;
    private int wholeCount;
    private int declinedCount;

    /** Adds a runner's journal. */
    public void addRunnerJournal(Path journal) throws IOException {
        for (var line : Files.readAllLines(journal)) addRunnerEntry(JSON.readTree(line));
    }

    private void addRunnerEntry(JsonNode entry) {
        var submissionId = entry.get("sub").asText();
        switch (entry.get("what").asText()) {
            case "start" -> {
                runCount++;
                runsBySubmission.merge(submissionId, 1, Integer::sum);
                tokensBySubmission.put(submissionId, entry.get("n").asInt());
                if (!entry.get("key").asText().isEmpty())
                    runsByKey.merge(entry.get("key").asText(), 1, Integer::sum);
            }
            case "end" -> completedRunsBySubmission.merge(submissionId, 1, Integer::sum);
            default -> {}
        }
    }

    /** Adds a requester's journal and compares its entries with the runner journals added before. */
    public void addRequesterJournal(Path journal) throws IOException {
        for (var line : Files.readAllLines(journal)) addRequesterEntry(JSON.readTree(line));
    }

    private void addRequesterEntry(JsonNode entry) {
        submissionCount++;
        var submissionId = entry.get("sub").asText();
        var runs = runsBySubmission.getOrDefault(submissionId, 0);
        switch (entry.get("verdict").asText()) {
            case "declined", "refused" -> {
                declinedCount++;
                if (runs > 0) violations.add("promise 2: " + submissionId + " was declined and ran " + runs + " times");
            }
            case "whole" -> {
                wholeCount++;
                if (entry.get("events").asInt() != tokensBySubmission.getOrDefault(submissionId, -1))
                    violations.add("promise 3: " + submissionId + " looked whole with " + entry.get("events") + " of "
                            + tokensBySubmission.get(submissionId) + " tokens");
                if (completedRunsBySubmission.getOrDefault(submissionId, 0) == 0)
                    violations.add("promise 3: " + submissionId + " looked whole and no runner finished it");
            }
            case "false-end", "disordered" ->
                violations.add("promise 3: " + submissionId + " came as "
                        + entry.get("verdict").asText());
            case "lost" -> lostSubmissions.add(submissionId);
            case "silent", "strange" ->
                violations.add("promise 12: " + submissionId + " got no verdict ("
                        + entry.get("verdict").asText() + ")");
            default -> {}
        }
    }

    /**
     * Returns the violations found, empty if every promise was kept. Call this once, after all journals are added.
     *
     * @param planned whether nothing was killed, so that a lost connection is a violation too
     */
    public List<String> findViolations(boolean planned) {
        if (planned)
            lostSubmissions.forEach(submissionId ->
                    violations.add("promise 12: " + submissionId + " lost its connection without a verdict"));
        runsByKey.forEach((key, runs) -> {
            if (runs > 1) violations.add("promise 1: run-once key " + key + " ran " + runs + " times");
        });
        var extraRuns =
                runsBySubmission.values().stream().mapToInt(runs -> runs - 1).sum();
        if (extraRuns > 0.2 * submissionCount + EXTRA_RUN_ALLOWANCE)
            violations.add("promise 11: " + extraRuns + " extra runs for " + submissionCount + " submissions");
        return violations;
    }

    /** Returns a summary of the submissions and runs in one line. */
    public String summary() {
        return submissionCount + " submissions told, " + wholeCount + " whole, " + declinedCount + " declined, "
                + lostSubmissions.size() + " lost their router, " + runCount + " runs, " + runsByKey.size()
                + " run-once keys run";
    }
}
