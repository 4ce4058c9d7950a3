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

public final class ProcessSteps {
    private static final ObjectMapper JSON = new ObjectMapper();

    private Fleet f;
    private Path journal;
    private JournalChecker checker;
    private boolean planned = true;
    private int code;

    @Given("a fleet of processes with {int} router(s) in each zone and a runner in each cell")
    public void fleet(int routers) throws IOException {
        var folder = Files.createTempDirectory("craneway-fleet").resolve("fleet");
        var manifest = folder.resolveSibling("maticar.json");
        try (var in = getClass().getResourceAsStream("/craneway/sim/maticar.json")) {
            Files.write(manifest, in.readAllBytes());
        }
        f = new Fleet(folder, manifest, routers + "," + routers + "," + routers, "1,1,1", "12");
        f.startAll();
        f.awaitServing(3);
        journal = folder.resolve("journal").resolve("requesters.jsonl");
    }

    @When("a load of {int} streams of about {int} tokens runs while this happens")
    public void load(int streams, int tokens, DataTable t) throws Exception {
        var load = CompletableFuture.supplyAsync(() -> CranewayMain.run(
                "load",
                "--to",
                f.addresses("routers", "requester"),
                "--platform",
                f.addresses("routers", "platform"),
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
        for (var r : t.asMaps()) {
            var at = Long.parseLong(r.get("at stream"));
            var fault = r.get("fault");
            planned &= !fault.matches("(kill|freeze)-(router|store)|wipe-store|kill-runner");
            f.awaitCondition("stream " + at, () -> load.isDone() || lines() >= at);
            if (load.isDone()) throw new AssertionError("the load was over before " + fault);
            FaultInjector.inject(f, fault);
        }
        code = load.get();
        for (var r : f.processNames("runners")) if (f.isRunning(r)) f.requestStop(r);
        for (var r : f.processNames("runners")) if (f.isRunning(r)) f.awaitExit(r);
        checker = f.checkJournals(journal);
    }

    private long lines() {
        try (var l = Files.lines(journal)) {
            return l.count();
        } catch (IOException e) {
            return 0;
        }
    }

    @Then("the journals agree and every promise they show was kept")
    public void agree() {
        var wrong = checker.findViolations(planned);
        if (!wrong.isEmpty() || code != 0)
            throw new AssertionError("load ended with " + code + ", " + wrong + " " + checker.summary());
    }

    @Then("at least {int} streams were whole")
    public void whole(int n) throws IOException {
        var c = count("whole");
        if (c < n) throw new AssertionError(c + " whole of " + lines());
    }

    @Then("no submission ended otherwise than whole or told when to come back")
    public void noneLost() throws IOException {
        for (var v : new String[] {"cut", "lost", "broken", "unknown", "silent", "strange"})
            if (count(v) > 0) throw new AssertionError(count(v) + " ended as " + v);
    }

    @Then("some stream was visibly cut")
    public void cut() throws IOException {
        if (count("cut") == 0) throw new AssertionError("none was cut");
    }

    private long count(String verdict) throws IOException {
        var n = 0L;
        for (var l : Files.readAllLines(journal))
            if (JSON.readTree(l).get("verdict").asText().equals(verdict)) n++;
        return n;
    }

    @When("zone {word} is drilled with {int} streams")
    public void drill(String zone, int streams) {
        code = drilled(zone, streams);
    }

    private int drilled(String zone, int streams) {
        return CranewayMain.run(
                "drill",
                "--fleet",
                f.folder.toString(),
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
                f.folder.resolve("report.txt").toString());
    }

    @When("zone {word} is drilled with {int} streams while somebody sends work past the routers")
    public void rogue(String zone, int streams) throws IOException {
        var runner = f.processNames("runners").stream()
                .filter(r -> f.fleetJson.get("runners").get(r).get("zone").asText().equals(zone))
                .findFirst()
                .orElseThrow();
        var address = f.fleetJson.get("runners").get(runner).get("address").asText();
        var drill = CompletableFuture.supplyAsync(() -> drilled(zone, streams));
        f.awaitCondition("zone emptied", () -> f.hasMark("zone:" + zone));
        f.awaitCondition("the drill's end", () -> {
            try {
                f.send(
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
        code = drill.join();
    }

    @Then("the drill ends with {int} and its report says {string}")
    public void report(int want, String text) throws IOException {
        var r = Files.readString(f.folder.resolve("report.txt"));
        if (code != want || !r.contains(text)) throw new AssertionError("ended with " + code + ": " + r);
    }

    @Then("status shows every part owned and 3 stores in each group")
    public void status() {
        f.awaitCondition("all parts whole", () -> f.processNames("stores").stream().allMatch(f::isVoterInEveryGroup));
    }

    @After
    public void close() {
        if (f != null) f.close();
    }
}
