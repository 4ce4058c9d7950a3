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

@Command(
        name = "drill",
        description =
                "Takes a zone out of a running fleet under load, checks the promises from the journals, takes it back and writes a report. "
                        + "Exit code 1 when a promise broke.")
public final class DrillCommand implements Callable<Integer> {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long LIMIT_MILLIS = 90_000;

    @Option(names = "--fleet", required = true, description = "folder that craneway fleet wrote")
    Path folder;

    @Option(names = "--zone", required = true)
    String zone;

    @Option(names = "--service", required = true)
    String service;

    @Option(names = "--work", required = true, description = "the mix, as for load")
    String work;

    @Option(names = "--streams", defaultValue = "3000")
    int streams;

    @Option(names = "--at-once", defaultValue = "24")
    int atOnce;

    @Option(names = "--hold-seconds", defaultValue = "8", description = "how long the zone stays empty")
    int hold;

    @Option(names = "--report", required = true, description = "file for the report")
    Path report;

    private JsonNode fleet;

    @Override
    public Integer call() throws IOException {
        fleet = JSON.readTree(Files.readString(folder.resolve("fleet.json")));
        var inZone = runnersIn(zone);
        if (inZone.isEmpty()) throw new CommandException(2, "the fleet has no runner in zone " + zone);
        if (hold < 6) throw new CommandException(2, "--hold-seconds: below 6 nothing is seen of the 5 s promise");
        var journal = folder.resolve("journal").resolve("drill-" + System.currentTimeMillis() + ".jsonl");
        var load = CompletableFuture.supplyAsync(() -> CommandRunner.run(
                new LoadCommand(),
                "--to",
                all("routers", "requester"),
                "--platform",
                all("routers", "platform"),
                "--metrics",
                all("routers", "operator"),
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
        await("a tenth of the load", () -> load.isDone() || lines(journal) > streams / 10);
        long confirmed;
        long back;
        try (var w = new OperatorClient()) {
            confirm(w, "empty-zone");
            confirmed = System.currentTimeMillis();
            pause(hold * 1_000L);
            if (load.isDone())
                throw new CommandException(2, "the load was over before the zone was taken back; ask for more streams");
            back = System.currentTimeMillis();
            confirm(w, "take-back-zone");
        }
        var code = load.join();
        return judge(journal, new ZoneOutageChecker(inZone, confirmed, back), code);
    }

    private int judge(Path journal, ZoneOutageChecker o, int loadCode) throws IOException {
        var c = new JournalChecker();
        for (var r : names("runners")) {
            var f = folder.resolve("journal").resolve(r + ".jsonl");
            c.addRunnerJournal(f);
            o.addRunnerJournal(f);
        }
        c.addRequesterJournal(journal);
        var wrong = new ArrayList<>(c.findViolations(true));
        wrong.addAll(o.findViolations());
        if (loadCode != 0) wrong.add("the load ended with code " + loadCode);
        var text = new StringBuilder("drill of zone " + zone + "\n" + c.summary() + "\n");
        text.append("last new work after the confirm: ")
                .append(o.lastStartAfterConfirmMillis())
                .append(" ms (limit ")
                .append(ZoneOutageChecker.EMPTYING_LIMIT_MILLIS)
                .append(")\n");
        text.append("first work after taking back: ")
                .append(o.firstStartAfterReturnMillis())
                .append(" ms (limit ")
                .append(ZoneOutageChecker.RETURN_LIMIT_MILLIS)
                .append(")\n");
        wrong.forEach(x -> text.append("BROKEN ").append(x).append('\n'));
        text.append(wrong.isEmpty() ? "every promise checked here was kept\n" : wrong.size() + " promises broken\n");
        Files.writeString(report, text);
        System.out.print(text);
        return wrong.isEmpty() ? 0 : 1;
    }

    private void confirm(OperatorClient w, String intent) throws IOException {
        var at = List.of(all("stores", "operator").split(","));
        var plan = JSON.readTree(w.request(
                                at,
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
        var state = JSON.readTree(w.request(at, Methods.POST, "/v1/plans/" + plan + "/confirm", Map.of(), "")
                        .text())
                .get("state")
                .asText();
        for (var until = System.nanoTime() + LIMIT_MILLIS * 1_000_000; state.equals("pending"); ) {
            if (System.nanoTime() > until) throw new CommandException(4, intent + " stayed pending");
            state = JSON.readTree(w.request(at, Methods.GET, "/v1/plans/" + plan + "/watch", Map.of(), "")
                            .text())
                    .get("state")
                    .asText();
        }
        System.out.println(intent + " " + zone + ": plan " + plan + " " + state);
    }

    private List<String> names(String kind) {
        var all = new ArrayList<String>();
        fleet.get(kind).fieldNames().forEachRemaining(all::add);
        return all;
    }

    private String all(String kind, String field) {
        return String.join(
                ",",
                names(kind).stream()
                        .map(n -> fleet.get(kind).get(n).get(field).asText())
                        .toList());
    }

    private Set<String> runnersIn(String z) {
        var all = new HashSet<String>();
        for (var n : names("runners"))
            if (fleet.get("runners").get(n).get("zone").asText().equals(z)) all.add(n);
        return all;
    }

    private static long lines(Path p) {
        try (var l = Files.lines(p)) {
            return l.count();
        } catch (IOException e) {
            return 0;
        }
    }

    private static void pause(long millis) {
        for (var until = System.nanoTime() + millis * 1_000_000; System.nanoTime() < until; )
            LockSupport.parkNanos(50_000_000);
    }

    private static void await(String what, BooleanSupplier is) {
        var until = System.nanoTime() + LIMIT_MILLIS * 1_000_000;
        while (!is.getAsBoolean()) {
            if (System.nanoTime() > until) throw new CommandException(4, "not within " + LIMIT_MILLIS + " ms: " + what);
            LockSupport.parkNanos(50_000_000);
        }
    }
}
