package craneway.command.drill;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import craneway.command.CommandException;
import craneway.command.CommandRunner;
import craneway.command.OperatorClient;
import craneway.command.load.LoadCommand;
import craneway.drill.JournalChecker;
import craneway.drill.ZoneOutageChecker;
import io.undertow.util.Methods;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * {@code craneway drill}: rehearses the loss of a zone on a fleet that {@code craneway fleet} laid out on this machine.
 */
@Command(
        name = "drill",
        description = "Empties a zone of a running fleet under load, takes it back, "
                + "checks the promises by the journals and writes a report. "
                + "Exit code 1 if a promise was broken.")
public final class DrillCommand implements Callable<Integer> {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** How long the drill waits for a condition before it fails. */
    private static final long WAIT_TIMEOUT_MILLIS = 90_000;

    @Option(names = "--fleet", required = true, description = "folder that craneway fleet wrote to")
    Path folder;

    @Option(names = "--zone", required = true)
    String zone;

    @Option(names = "--service", required = true)
    String service;

    @Option(names = "--work", required = true, description = "the mix of work, as for craneway load")
    String work;

    @Option(names = "--streams", defaultValue = "3000")
    int streams;

    @Option(names = "--at-once", defaultValue = "24")
    int atOnce;

    @Option(names = "--hold-seconds", defaultValue = "8", description = "seconds that the zone stays empty, at least 6")
    int hold;

    @Option(names = "--report", required = true, description = "file for the report")
    Path report;

    private JsonNode fleetJson;

    @Override
    public Integer call() throws IOException {
        fleetJson = JSON.readTree(Files.readString(folder.resolve("fleet.json")));
        var zoneRunners = runnersInZone(zone);
        if (zoneRunners.isEmpty()) throw new CommandException(2, "the fleet has no runner in zone " + zone);
        if (hold < 6) throw new CommandException(2, "--hold-seconds must be at least 6 to check the promise of 5 s");
        var journal = folder.resolve("journal").resolve("drill-" + System.currentTimeMillis() + ".jsonl");
        var load = CompletableFuture.supplyAsync(() -> CommandRunner.run(
                new LoadCommand(),
                "--to",
                joinAddresses("routers", "requester"),
                "--platform",
                joinAddresses("routers", "platform"),
                "--metrics",
                joinAddresses("routers", "operator"),
                "--service",
                service,
                "--work",
                work,
                "--streams",
                Integer.toString(streams),
                "--at-once",
                Integer.toString(atOnce),
                "--seed",
                Long.toString(System.currentTimeMillis() % 1_000_000),
                "--journal",
                journal.toString()));
        awaitCondition("a tenth of the load", () -> load.isDone() || countLines(journal) > streams / 10);
        long confirmedAtMillis;
        long takenBackAtMillis;
        try (var client = new OperatorClient()) {
            confirmIntent(client, "empty-zone");
            confirmedAtMillis = System.currentTimeMillis();
            sleepMillis(hold * 1_000L);
            if (load.isDone())
                throw new CommandException(2, "the load ended before the zone was taken back; raise --streams");
            takenBackAtMillis = System.currentTimeMillis();
            confirmIntent(client, "take-back-zone");
        }
        var loadExitCode = load.join();
        return checkAndReport(
                journal, new ZoneOutageChecker(zoneRunners, confirmedAtMillis, takenBackAtMillis), loadExitCode);
    }

    /** Checks the journals, writes and prints the report and returns the exit code. */
    private int checkAndReport(Path journal, ZoneOutageChecker outageChecker, int loadExitCode) throws IOException {
        var checker = new JournalChecker();
        for (var runner : nodeNames("runners")) {
            var runnerJournal = folder.resolve("journal").resolve(runner + ".jsonl");
            checker.addRunnerJournal(runnerJournal);
            outageChecker.addRunnerJournal(runnerJournal);
        }
        checker.addRequesterJournal(journal);
        var violations = new ArrayList<>(checker.findViolations(true));
        violations.addAll(outageChecker.findViolations());
        if (loadExitCode != 0) violations.add("the load ended with code " + loadExitCode);
        var text = new StringBuilder("drill of zone " + zone + "\n" + checker.summary() + "\n");
        text.append("last new work after the confirm: ")
                .append(outageChecker.lastStartAfterConfirmMillis())
                .append(" ms (limit ")
                .append(ZoneOutageChecker.EMPTYING_LIMIT_MILLIS)
                .append(")\n");
        text.append("first work after taking back: ")
                .append(outageChecker.firstStartAfterReturnMillis())
                .append(" ms (limit ")
                .append(ZoneOutageChecker.RETURN_LIMIT_MILLIS)
                .append(")\n");
        violations.forEach(violation -> text.append("BROKEN ").append(violation).append('\n'));
        text.append(
                violations.isEmpty()
                        ? "every promise checked here was kept\n"
                        : violations.size() + " promises broken\n");
        Files.writeString(report, text);
        System.out.print(text);
        return violations.isEmpty() ? 0 : 1;
    }

    /** Submits an intent for the zone, confirms its plan and waits until every router has acknowledged it. */
    private void confirmIntent(OperatorClient client, String intent) throws IOException {
        var operators = List.of(joinAddresses("stores", "operator").split(","));
        var plan = JSON.readTree(client.request(
                                operators,
                                Methods.POST,
                                "/v1/intents",
                                Map.of(),
                                JSON.createObjectNode()
                                        .put("intent", intent)
                                        .put("zone", zone)
                                        .toString())
                        .text())
                .get("plan")
                .asLong();
        var state = JSON.readTree(
                        client.request(operators, Methods.POST, "/v1/plans/" + plan + "/confirm", Map.of(), "")
                                .text())
                .get("state")
                .asText();
        for (var deadlineNanos = System.nanoTime() + WAIT_TIMEOUT_MILLIS * 1_000_000; state.equals("pending"); ) {
            if (System.nanoTime() > deadlineNanos) throw new CommandException(4, intent + " stayed pending");
            state = JSON.readTree(client.request(operators, Methods.GET, "/v1/plans/" + plan + "/watch", Map.of(), "")
                            .text())
                    .get("state")
                    .asText();
        }
        System.out.println(intent + " " + zone + ": plan " + plan + " " + state);
    }

    private List<String> nodeNames(String kind) {
        var names = new ArrayList<String>();
        fleetJson.get(kind).fieldNames().forEachRemaining(names::add);
        return names;
    }

    private String joinAddresses(String kind, String field) {
        return String.join(
                ",",
                nodeNames(kind).stream()
                        .map(name -> fleetJson.get(kind).get(name).get(field).asText())
                        .toList());
    }

    private Set<String> runnersInZone(String zoneName) {
        var runners = new HashSet<String>();
        for (var name : nodeNames("runners"))
            if (fleetJson.get("runners").get(name).get("zone").asText().equals(zoneName)) runners.add(name);
        return runners;
    }

    private static long countLines(Path file) {
        try (var lines = Files.lines(file)) {
            return lines.count();
        } catch (IOException e) {
            return 0;
        }
    }

    private static void sleepMillis(long millis) {
        for (var deadlineNanos = System.nanoTime() + millis * 1_000_000; System.nanoTime() < deadlineNanos; )
            LockSupport.parkNanos(50_000_000);
    }

    private static void awaitCondition(String description, BooleanSupplier condition) {
        var deadlineNanos = System.nanoTime() + WAIT_TIMEOUT_MILLIS * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos)
                throw new CommandException(4, "not within " + WAIT_TIMEOUT_MILLIS + " ms: " + description);
            LockSupport.parkNanos(50_000_000);
        }
    }
}
