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

/** {@code craneway usage}: exports usage records. */
@Command(name = "usage", description = "Exports the usage records of transactions.")
public final class UsageCommand {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** The columns of the export. All but {@code router} are fields of a row of {@code /v1/usage}. */
    private static final String[] COLUMNS = {
        "router", "no", "tenant", "service", "work", "region", "runner", "verdict", "tokens", "takenAt", "firstAt",
        "endedAt"
    };

    @Command(
            name = "export",
            description = "Writes the records of finished transactions that these routers still hold, "
                    + "and a schema next to the file.")
    int export(
            @Mixin OperatorAddresses operators,
            @Option(names = "--out", required = true, paramLabel = "FILE") Path out,
            @Option(names = "--format", defaultValue = "csv", description = "csv") String format,
            @Option(
                            names = "--from",
                            paramLabel = "TIME",
                            description = "ended at or after this time, such as 2026-01-31T00:00:00Z")
                    String from,
            @Option(names = "--to", paramLabel = "TIME", description = "ended before this time") String to)
            throws IOException {
        if (!format.equals("csv")) throw new CommandException(2, "--format " + format + " is not csv");
        var fromMicros = parseMicros("--from", from, 0);
        var toMicros = parseMicros("--to", to, Long.MAX_VALUE);
        if (toMicros <= fromMicros) throw new CommandException(2, "--to is not after --from");
        var rowCount = 0;
        try (var client = new OperatorClient();
                var writer = Files.newBufferedWriter(out);
                var printer = new CSVPrinter(
                        writer, CSVFormat.DEFAULT.builder().setHeader(COLUMNS).get())) {
            for (var address : operators.validAddresses())
                rowCount += exportRows(client, address, fromMicros, toMicros, printer);
        } catch (IOException e) {
            throw new CommandException(2, "cannot write " + out + ": " + e.getMessage());
        }
        Files.writeString(out.resolveSibling(out.getFileName() + ".schema.json"), schemaJson());
        System.out.println(rowCount + " rows");
        return 0;
    }

    /** Returns the time in microseconds since 1970, or the default if the option is not given. */
    private static long parseMicros(String option, String text, long defaultMicros) {
        if (text == null) return defaultMicros;
        try {
            return Instant.parse(text).toEpochMilli() * 1000;
        } catch (DateTimeParseException e) {
            throw new CommandException(2, option + " " + text + " is no time such as 2026-01-31T00:00:00Z");
        }
    }

    /**
     * Writes the rows of one router that ended in the given period, and returns their number. Fetches page after page
     * until a page is empty.
     */
    private static int exportRows(
            OperatorClient client, String address, long fromMicros, long toMicros, CSVPrinter printer)
            throws IOException {
        var rowCount = 0;
        for (long lastRowNumber = 0; ; ) {
            var page = PlanFormatter.parseJson(
                    client.request(List.of(address), Methods.GET, "/v1/usage?after=" + lastRowNumber, Map.of(), "")
                            .text());
            if (page.get("rows").isEmpty()) return rowCount;
            for (var row : page.get("rows")) {
                lastRowNumber = row.get("no").asLong();
                var endedAtMicros = row.get("endedAt").asLong();
                if (endedAtMicros < fromMicros || endedAtMicros >= toMicros) continue;
                printRow(printer, page.get("router").asText(), row);
                rowCount++;
            }
        }
    }

    private static void printRow(CSVPrinter printer, String router, JsonNode row) throws IOException {
        printer.print(router);
        for (var i = 1; i < COLUMNS.length; i++)
            printer.print(row.get(COLUMNS[i]).asText());
        printer.println();
    }

    private static String schemaJson() {
        var schema = JSON.createObjectNode();
        var fields = schema.putArray("fields");
        for (var column : COLUMNS)
            fields.addObject()
                    .put("name", column)
                    .put(
                            "type",
                            List.of("no", "tokens", "takenAt", "firstAt", "endedAt")
                                            .contains(column)
                                    ? "integer"
                                    : "string");
        return schema.put("timeUnit", "microseconds since 1970, UTC; firstAt is 0 when there was no first token")
                        .toPrettyString()
                + "\n";
    }
}
