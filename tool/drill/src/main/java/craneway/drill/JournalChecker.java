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

public final class JournalChecker {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int ALLOWANCE = 20;

    private final Map<String, Integer> startsOfKey = new HashMap<>();
    private final Map<String, Integer> startsOfSub = new HashMap<>();
    private final Map<String, Integer> tokensOfSub = new HashMap<>();
    private final Map<String, Integer> endsOfSub = new HashMap<>();
    private final List<String> lost = new ArrayList<>();
    private final List<String> wrong = new ArrayList<>();
    private int starts;
    private int told;
    private int whole;
    private int declined;

    public void addRunnerJournal(Path journal) throws IOException {
        for (var l : Files.readAllLines(journal)) runnerLine(JSON.readTree(l));
    }

    private void runnerLine(JsonNode n) {
        var sub = n.get("sub").asText();
        switch (n.get("what").asText()) {
            case "start" -> {
                starts++;
                startsOfSub.merge(sub, 1, Integer::sum);
                tokensOfSub.put(sub, n.get("n").asInt());
                if (!n.get("key").asText().isEmpty())
                    startsOfKey.merge(n.get("key").asText(), 1, Integer::sum);
            }
            case "end" -> endsOfSub.merge(sub, 1, Integer::sum);
            default -> {}
        }
    }

    public void addRequesterJournal(Path journal) throws IOException {
        for (var l : Files.readAllLines(journal)) requesterLine(JSON.readTree(l));
    }

    private void requesterLine(JsonNode n) {
        told++;
        var sub = n.get("sub").asText();
        var ran = startsOfSub.getOrDefault(sub, 0);
        switch (n.get("verdict").asText()) {
            case "declined", "refused" -> {
                declined++;
                if (ran > 0) wrong.add("promise 2: " + sub + " was declined and ran " + ran + " times");
            }
            case "whole" -> {
                whole++;
                if (n.get("events").asInt() != tokensOfSub.getOrDefault(sub, -1))
                    wrong.add("promise 3: " + sub + " looked whole with " + n.get("events") + " of "
                            + tokensOfSub.get(sub) + " tokens");
                if (endsOfSub.getOrDefault(sub, 0) == 0)
                    wrong.add("promise 3: " + sub + " looked whole and no runner finished it");
            }
            case "false-end", "disordered" ->
                wrong.add("promise 3: " + sub + " came as " + n.get("verdict").asText());
            case "lost" -> lost.add(sub);
            case "silent", "strange" ->
                wrong.add("promise 12: " + sub + " got no verdict ("
                        + n.get("verdict").asText() + ")");
            default -> {}
        }
    }

    public List<String> findViolations(boolean planned) {
        if (planned) lost.forEach(s -> wrong.add("promise 12: " + s + " lost its connection without a verdict"));
        startsOfKey.forEach((k, n) -> {
            if (n > 1) wrong.add("promise 1: run-once key " + k + " ran " + n + " times");
        });
        var extra = startsOfSub.values().stream().mapToInt(n -> n - 1).sum();
        if (extra > 0.2 * told + ALLOWANCE)
            wrong.add("promise 11: " + extra + " extra runs for " + told + " submissions");
        return wrong;
    }

    public String summary() {
        return told + " submissions told, " + whole + " whole, " + declined + " declined, " + lost.size()
                + " lost their router, " + starts + " runs, " + startsOfKey.size() + " run-once keys run";
    }
}
