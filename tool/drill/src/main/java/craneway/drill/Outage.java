package craneway.drill;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

public final class Outage {
    public static final long EMPTY_MILLIS = 5_300, RETURN_MILLIS = 12_000;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final Set<String> zoneRunners;
    private final long confirmedAtMillis;
    private final long takenBackAtMillis;
    private final List<Long> startTimesMillis = new ArrayList<>();

    public Outage(Set<String> runners, long confirmed, long takenBack) {
        this.zoneRunners = runners;
        this.confirmedAtMillis = confirmed;
        this.takenBackAtMillis = takenBack;
    }

    public void runner(Path journal) throws IOException {
        for (var l : Files.readAllLines(journal)) addEntry(JSON.readTree(l));
    }

    private void addEntry(JsonNode n) {
        if (n.get("what").asText().equals("start")
                && zoneRunners.contains(n.get("runner").asText()))
            startTimesMillis.add(n.get("at").asLong());
    }

    public long lastAfterConfirm() {
        return startTimesMillis.stream()
                .filter(t -> t > confirmedAtMillis && t < takenBackAtMillis)
                .mapToLong(t -> t - confirmedAtMillis)
                .max()
                .orElse(0);
    }

    public long firstAfterReturn() {
        return startTimesMillis.stream()
                .filter(t -> t >= takenBackAtMillis)
                .mapToLong(t -> t - takenBackAtMillis)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    public List<String> verdict() {
        var wrong = new ArrayList<String>();
        if (lastAfterConfirm() > EMPTY_MILLIS)
            wrong.add("promise 5: the emptied zone got new work " + lastAfterConfirm() + " ms after the confirm");
        if (firstAfterReturn() > RETURN_MILLIS)
            wrong.add("promise 12: the zone got no work within " + RETURN_MILLIS + " ms after it was taken back");
        return wrong;
    }
}
