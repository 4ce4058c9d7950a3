package craneway.drill;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

public final class ZoneOutageChecker {
    public static final long EMPTYING_LIMIT_MILLIS = 5_300, RETURN_LIMIT_MILLIS = 12_000;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final Set<String> runners;
    private final long confirmed;
    private final long takenBack;
    private final List<Long> starts = new ArrayList<>();

    public ZoneOutageChecker(Set<String> runners, long confirmed, long takenBack) {
        this.runners = runners;
        this.confirmed = confirmed;
        this.takenBack = takenBack;
    }

    public void addRunnerJournal(Path journal) throws IOException {
        for (var l : Files.readAllLines(journal)) line(JSON.readTree(l));
    }

    private void line(JsonNode n) {
        if (n.get("what").asText().equals("start")
                && runners.contains(n.get("runner").asText()))
            starts.add(n.get("at").asLong());
    }

    public long lastStartAfterConfirmMillis() {
        return starts.stream()
                .filter(t -> t > confirmed && t < takenBack)
                .mapToLong(t -> t - confirmed)
                .max()
                .orElse(0);
    }

    public long firstStartAfterReturnMillis() {
        return starts.stream()
                .filter(t -> t >= takenBack)
                .mapToLong(t -> t - takenBack)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    public List<String> findViolations() {
        var wrong = new ArrayList<String>();
        if (lastStartAfterConfirmMillis() > EMPTYING_LIMIT_MILLIS)
            wrong.add("promise 5: the emptied zone got new work " + lastStartAfterConfirmMillis() + " ms after the confirm");
        if (firstStartAfterReturnMillis() > RETURN_LIMIT_MILLIS)
            wrong.add("promise 12: the zone got no work within " + RETURN_LIMIT_MILLIS + " ms after it was taken back");
        return wrong;
    }
}
