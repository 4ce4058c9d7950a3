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

public final class Checker {
    private static final ObjectMapper JSON = new ObjectMapper();
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

    public void runner(Path journal) throws IOException {
        for (var l : Files.readAllLines(journal)) addRunnerEntry(JSON.readTree(l));
    }

    private void addRunnerEntry(JsonNode n) {
        var sub = n.get("sub").asText();
        switch (n.get("what").asText()) {
            case "start" -> {
                runCount++;
                runsBySubmission.merge(sub, 1, Integer::sum);
                tokensBySubmission.put(sub, n.get("n").asInt());
                if (!n.get("key").asText().isEmpty())
                    runsByKey.merge(n.get("key").asText(), 1, Integer::sum);
            }
            case "end" -> completedRunsBySubmission.merge(sub, 1, Integer::sum);
            default -> {}
        }
    }

    public void requester(Path journal) throws IOException {
        for (var l : Files.readAllLines(journal)) addRequesterEntry(JSON.readTree(l));
    }

    private void addRequesterEntry(JsonNode n) {
        submissionCount++;
        var sub = n.get("sub").asText();
        var ran = runsBySubmission.getOrDefault(sub, 0);
        switch (n.get("verdict").asText()) {
            case "declined", "refused" -> {
                declinedCount++;
                if (ran > 0) violations.add("promise 2: " + sub + " was declined and ran " + ran + " times");
            }
            case "whole" -> {
                wholeCount++;
                if (n.get("events").asInt() != tokensBySubmission.getOrDefault(sub, -1))
                    violations.add("promise 3: " + sub + " looked whole with " + n.get("events") + " of "
                            + tokensBySubmission.get(sub) + " tokens");
                if (completedRunsBySubmission.getOrDefault(sub, 0) == 0)
                    violations.add("promise 3: " + sub + " looked whole and no runner finished it");
            }
            case "false-end", "disordered" ->
                violations.add("promise 3: " + sub + " came as " + n.get("verdict").asText());
            case "lost" -> lostSubmissions.add(sub);
            case "silent", "strange" ->
                violations.add("promise 12: " + sub + " got no verdict ("
                        + n.get("verdict").asText() + ")");
            default -> {}
        }
    }

    public List<String> verdict(boolean planned) {
        if (planned) lostSubmissions.forEach(s -> violations.add("promise 12: " + s + " lost its connection without a verdict"));
        runsByKey.forEach((k, n) -> {
            if (n > 1) violations.add("promise 1: run-once key " + k + " ran " + n + " times");
        });
        var extra = runsBySubmission.values().stream().mapToInt(n -> n - 1).sum();
        if (extra > 0.2 * submissionCount + EXTRA_RUN_ALLOWANCE)
            violations.add("promise 11: " + extra + " extra runs for " + submissionCount + " submissions");
        return violations;
    }

    public String counts() {
        return submissionCount + " submissions told, " + wholeCount + " whole, " + declinedCount + " declined, " + lostSubmissions.size()
                + " lost their router, " + runCount + " runs, " + runsByKey.size() + " run-once keys run";
    }
}
