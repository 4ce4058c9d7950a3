package craneway.command.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import craneway.command.CommandException;
import craneway.command.OperatorClient;
import io.undertow.util.Methods;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.List;
import java.util.Map;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

@Command(name = "usage", description = "Exports what transactions used.")
public final class UsageCommand {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String[] COLUMNS = {
        "router", "no", "tenant", "service", "work", "region", "runner", "verdict", "tokens", "takenAt", "firstAt",
        "endedAt"
    };

    @Command(
            name = "export",
            description =
                    "Writes the finished transactions that the named routers remember, with a schema beside the file.")
    int export(
            @Mixin OperatorAddresses at,
            @Option(names = "--out", required = true, paramLabel = "FILE") Path out,
            @Option(names = "--format", defaultValue = "csv", description = "csv") String format,
            @Option(names = "--from", paramLabel = "TIME", description = "as 2026-01-31T00:00:00Z; ended at or after")
                    String from,
            @Option(names = "--to", paramLabel = "TIME", description = "ended before") String to)
            throws IOException {
        if (!format.equals("csv")) throw new CommandException(2, "--format " + format + " is not csv");
        var since = time("--from", from, 0);
        var until = time("--to", to, Long.MAX_VALUE);
        if (until <= since) throw new CommandException(2, "--to is not after --from");
        var n = 0;
        try (var w = new OperatorClient();
                var f = Files.newBufferedWriter(out);
                var p = new CSVPrinter(
                        f, CSVFormat.DEFAULT.builder().setHeader(COLUMNS).get())) {
            for (var a : at.all()) n += rows(w, a, since, until, p);
        } catch (IOException e) {
            throw new CommandException(2, "cannot write " + out + ": " + e.getMessage());
        }
        Files.writeString(out.resolveSibling(out.getFileName() + ".schema.json"), schema());
        System.out.println(n + " rows");
        return 0;
    }

    private static long time(String option, String text, long otherwise) {
        if (text == null) return otherwise;
        try {
            return Instant.parse(text).toEpochMilli() * 1000;
        } catch (DateTimeParseException e) {
            throw new CommandException(2, option + " " + text + " is no time such as 2026-01-31T00:00:00Z");
        }
    }

    private static int rows(OperatorClient w, String at, long since, long until, CSVPrinter p) throws IOException {
        var n = 0;
        for (long after = 0; ; ) {
            var page = Plans.json(w.request(List.of(at), Methods.GET, "/v1/usage?after=" + after, Map.of(), "")
                    .text());
            if (page.get("rows").isEmpty()) return n;
            for (var r : page.get("rows")) {
                after = r.get("no").asLong();
                var ended = r.get("endedAt").asLong();
                if (ended < since || ended >= until) continue;
                print(p, page.get("router").asText(), r);
                n++;
            }
        }
    }

    private static void print(CSVPrinter p, String router, JsonNode r) throws IOException {
        p.print(router);
        for (var i = 1; i < COLUMNS.length; i++) p.print(r.get(COLUMNS[i]).asText());
        p.println();
    }

    private static String schema() {
        var n = JSON.createObjectNode();
        var all = n.putArray("fields");
        for (var c : COLUMNS)
            all.addObject()
                    .put("name", c)
                    .put(
                            "type",
                            List.of("no", "tokens", "takenAt", "firstAt", "endedAt")
                                            .contains(c)
                                    ? "integer"
                                    : "string");
        return n.put("timeUnit", "microseconds since 1970, UTC; firstAt is 0 when there was no first token")
                        .toPrettyString()
                + "\n";
    }
}
