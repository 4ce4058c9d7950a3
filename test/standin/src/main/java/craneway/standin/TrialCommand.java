package craneway.standin;

import craneway.command.CranewayMain;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "trial",
        description =
                "Brings up a fleet of processes, drives load through faults and compares the journals. Exit code 1 when a promise broke.")
public final class TrialCommand implements Callable<Integer> {
    @Option(names = "--manifest", required = true)
    Path manifest;

    @Option(names = "--folder", required = true)
    Path folder;

    @Option(names = "--routers", defaultValue = "2,2,2")
    String routers;

    @Option(names = "--runners", defaultValue = "2,2,2")
    String runners;

    @Option(names = "--slots", defaultValue = "16")
    String slots;

    @Option(names = "--service", required = true)
    String service;

    @Option(names = "--work", required = true)
    String work;

    @Option(names = "--streams", defaultValue = "3000")
    int streams;

    @Option(names = "--at-once", defaultValue = "32")
    int atOnce;

    @Option(
            names = "--faults",
            split = ",",
            defaultValue = "kill-runner,stop-router,stop-store",
            description = "in this order, spread over the load")
    List<String> faults;

    @Override
    public Integer call() throws Exception {
        try (var f = new Fleet(folder, manifest, routers, runners, slots)) {
            f.startAll();
            f.awaitServing(f.processNames("runners").size());
            var journal = folder.resolve("journal").resolve("requesters.jsonl");
            var load = CompletableFuture.supplyAsync(() -> CranewayMain.run(
                    "load",
                    "--to",
                    f.addresses("routers", "requester"),
                    "--platform",
                    f.addresses("routers", "platform"),
                    "--metrics",
                    f.addresses("routers", "operator"),
                    "--service",
                    service,
                    "--work",
                    work,
                    "--streams",
                    Integer.toString(streams),
                    "--at-once",
                    Integer.toString(atOnce),
                    "--journal",
                    journal.toString()));
            for (var i = 0; i < faults.size(); i++) {
                var at = (long) streams * (i + 1) / (faults.size() + 1);
                f.awaitCondition("submission " + at, () -> load.isDone() || lines(journal) >= at);
                System.out.println("at submission " + lines(journal) + ": " + faults.get(i));
                FaultInjector.inject(f, faults.get(i));
            }
            var code = load.join();
            for (var r : f.processNames("runners")) if (f.isRunning(r)) f.requestStop(r);
            for (var r : f.processNames("runners")) if (f.isRunning(r)) f.awaitExit(r);
            var c = f.checkJournals(journal);
            var wrong = c.findViolations(faults.stream().noneMatch(x -> x.matches("(kill|freeze)-(router|store)|wipe-store")));
            System.out.println(c.summary());
            wrong.forEach(System.out::println);
            System.out.println(
                    wrong.isEmpty() ? "every promise checked here was kept" : wrong.size() + " promises broken");
            return wrong.isEmpty() ? code : 1;
        }
    }

    private static long lines(Path p) {
        try (var l = Files.lines(p)) {
            return l.count();
        } catch (IOException e) {
            return 0;
        }
    }
}
