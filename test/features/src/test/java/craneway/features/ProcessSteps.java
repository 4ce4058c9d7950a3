package craneway.features;

import com.fasterxml.jackson.databind.ObjectMapper;
import craneway.command.CranewayMain;
import craneway.drill.JournalChecker;
import craneway.standin.FaultInjector;
import craneway.standin.Fleet;
import io.cucumber.datatable.DataTable;
import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.undertow.util.Methods;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Steps that run a fleet of real processes under load, with faults and drills. */
public final class ProcessSteps {
    private static final ObjectMapper JSON = new ObjectMapper();

    private Fleet fleet;
    private Path journal;
    private JournalChecker checker;
    private boolean onlyPlannedFaults = true;
    private int exitCode;

    @Given("a fleet of processes with {int} router(s) in each zone and a runner in each cell")
    public void startFleet(int routers) throws IOException {
        var folder = Files.createTempDirectory("craneway-fleet").resolve("fleet");
        var manifest = folder.resolveSibling("maticar.json");
        try (var in = getClass().getResourceAsStream("/craneway/sim/maticar.json")) {
            Files.write(manifest, in.readAllBytes());
        }
        fleet = new Fleet(folder, manifest, routers + "," + routers + "," + routers, "1,1,1", "12");
        fleet.startAll();
        fleet.awaitServing(3);
        journal = folder.resolve("journal").resolve("requesters.jsonl");
    }

    @When("a load of {int} streams of about {int} tokens runs while this happens")
    public void runLoad(int streams, int tokens, DataTable table) throws Exception {
        var load = CompletableFuture.supplyAsync(() -> CranewayMain.run(
                "load",
                "--to",
                fleet.addresses("routers", "requester"),
                "--platform",
                fleet.addresses("routers", "platform"),
                "--service",
                "registry",
                "--work",
                "lookup:60,summary:30,extract:10:once",
                "--streams",
                Integer.toString(streams),
                "--tokens",
                Integer.toString(tokens),
                "--at-once",
                "12",
                "--journal",
                journal.toString()));
        for (var row : table.asMaps()) {
            var startLine = Long.parseLong(row.get("at stream"));
            var fault = row.get("fault");
            onlyPlannedFaults &= !fault.matches("(kill|freeze)-(router|store)|wipe-store|kill-runner");
            fleet.awaitCondition("stream " + startLine, () -> load.isDone() || journalLineCount() >= startLine);
            if (load.isDone()) throw new AssertionError("the load was over before " + fault);
            FaultInjector.inject(fleet, fault);
        }
        exitCode = load.get();
        for (var runner : fleet.processNames("runners")) if (fleet.isRunning(runner)) fleet.requestStop(runner);
        for (var runner : fleet.processNames("runners")) if (fleet.isRunning(runner)) fleet.awaitExit(runner);
        checker = fleet.checkJournals(journal);
    }

    private long journalLineCount() {
        try (var lines = Files.lines(journal)) {
            return lines.count();
        } catch (IOException e) {
            return 0;
        }
    }

    @Then("the journals agree and show no broken promise")
    public void checkJournals() {
        var problems = checker.findViolations(onlyPlannedFaults);
        if (!problems.isEmpty() || exitCode != 0)
            throw new AssertionError("load exited with " + exitCode + ", " + problems + " " + checker.summary());
    }

    @Then("at least {int} streams were complete")
    public void checkCompleteStreams(int minimum) throws IOException {
        var complete = countVerdict("whole");
        if (complete < minimum) throw new AssertionError(complete + " complete of " + journalLineCount());
    }

    @Then("every submission ended complete or declined with a retry time")
    public void checkNoneLost() throws IOException {
        for (var verdict : new String[] {"cut", "lost", "broken", "unknown", "silent", "strange"})
            if (countVerdict(verdict) > 0) throw new AssertionError(countVerdict(verdict) + " ended as " + verdict);
    }

    @Then("some stream was visibly truncated")
    public void checkSomeCut() throws IOException {
        if (countVerdict("cut") == 0) throw new AssertionError("no stream was cut");
    }

    private long countVerdict(String verdict) throws IOException {
        var count = 0L;
        for (var line : Files.readAllLines(journal))
            if (JSON.readTree(line).get("verdict").asText().equals(verdict)) count++;
        return count;
    }

    @When("zone {word} is drilled with {int} streams")
    public void drillZone(String zone, int streams) {
        exitCode = runDrill(zone, streams);
    }

    private int runDrill(String zone, int streams) {
        return CranewayMain.run(
                "drill",
                "--fleet",
                fleet.folder.toString(),
                "--zone",
                zone,
                "--service",
                "registry",
                "--work",
                "lookup:60,summary:30,extract:10:once",
                "--streams",
                Integer.toString(streams),
                "--at-once",
                "12",
                "--report",
                fleet.folder.resolve("report.txt").toString());
    }

    @When("zone {word} is drilled with {int} streams while work is sent to one of its runners directly")
    public void drillZoneWithDirectWork(String zone, int streams) throws IOException {
        var runner = fleet.processNames("runners").stream()
                .filter(name -> fleet.fleetJson
                        .get("runners")
                        .get(name)
                        .get("zone")
                        .asText()
                        .equals(zone))
                .findFirst()
                .orElseThrow();
        var address = fleet.fleetJson.get("runners").get(runner).get("address").asText();
        var drill = CompletableFuture.supplyAsync(() -> runDrill(zone, streams));
        fleet.awaitCondition("zone emptied", () -> fleet.hasMark("zone:" + zone));
        fleet.awaitCondition("the drill's end", () -> {
            try {
                fleet.send(
                        address,
                        Methods.POST,
                        "/v1/chat/completions",
                        Map.of(),
                        "{\"max_tokens\":1,\"messages\":[{\"role\":\"user\",\"content\":\"submission=rogue key=\"}]}");
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return drill.isDone();
        });
        exitCode = drill.join();
    }

    @Then("the drill exits with {int} and its report contains {string}")
    public void checkDrillReport(int expectedCode, String text) throws IOException {
        var report = Files.readString(fleet.folder.resolve("report.txt"));
        if (exitCode != expectedCode || !report.contains(text))
            throw new AssertionError("exited with " + exitCode + ": " + report);
    }

    @Then("status shows every part owned and 3 stores in each group")
    public void checkStatus() {
        fleet.awaitCondition("every part owned and 3 stores in each group", () -> fleet.processNames("stores").stream()
                .allMatch(fleet::isVoterInEveryGroup));
    }

    @After
    public void close() {
        if (fleet != null) fleet.close();
    }
}
