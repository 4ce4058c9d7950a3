package craneway.drill;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Checks how soon the runners of a zone stopped and started to get work when the zone was emptied and taken back. Times
 * are wall clock times in milliseconds. Not thread-safe.
 */
public final class ZoneOutageChecker {
    /** An emptied zone must not get new work later than this after the confirmation (promise 5). */
    public static final long EMPTYING_LIMIT_MILLIS = 5_300;

    /** A zone must get work again within this time after it was taken back (promise 12). */
    public static final long RETURN_LIMIT_MILLIS = 12_000;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final Set<String> zoneRunners;
    private final long confirmedAtMillis;
    private final long takenBackAtMillis;
    private final List<Long> startTimesMillis = new ArrayList<>();

    /**
     * Creates a check of one outage.
     *
     * @param zoneRunners the names of the runners in the zone
     * @param confirmedAtMillis when the plan that emptied the zone was confirmed
     * @param takenBackAtMillis when the zone was taken back
     */
    public ZoneOutageChecker(Set<String> zoneRunners, long confirmedAtMillis, long takenBackAtMillis) {
        this.zoneRunners = zoneRunners;
        this.confirmedAtMillis = confirmedAtMillis;
        this.takenBackAtMillis = takenBackAtMillis;
    }

    /** Adds a runner's journal; entries of runners outside the zone are ignored. */
    public void addRunnerJournal(Path journal) throws IOException {
        for (var line : Files.readAllLines(journal)) addEntry(JSON.readTree(line));
    }

    private void addEntry(JsonNode entry) {
        if (entry.get("what").asText().equals("start")
                && zoneRunners.contains(entry.get("runner").asText()))
            startTimesMillis.add(entry.get("at").asLong());
    }

    /** Returns how long after the confirmation the zone last got new work before it was taken back, or 0. */
    public long lastStartAfterConfirmMillis() {
        return startTimesMillis.stream()
                .filter(startMillis -> startMillis > confirmedAtMillis && startMillis < takenBackAtMillis)
                .mapToLong(startMillis -> startMillis - confirmedAtMillis)
                .max()
                .orElse(0);
    }

    /** Returns how long after it was taken back the zone first got work, or {@link Long#MAX_VALUE}. */
    public long firstStartAfterReturnMillis() {
        return startTimesMillis.stream()
                .filter(startMillis -> startMillis >= takenBackAtMillis)
                .mapToLong(startMillis -> startMillis - takenBackAtMillis)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /** Returns the violations found, empty if both limits were kept. */
    public List<String> findViolations() {
        var violations = new ArrayList<String>();
        if (lastStartAfterConfirmMillis() > EMPTYING_LIMIT_MILLIS)
            violations.add("promise 5: the emptied zone got new work " + lastStartAfterConfirmMillis()
                    + " ms after the confirm");
        if (firstStartAfterReturnMillis() > RETURN_LIMIT_MILLIS)
            violations.add(
                    "promise 12: the zone got no work within " + RETURN_LIMIT_MILLIS + " ms after it was taken back");
        return violations;
    }
}
