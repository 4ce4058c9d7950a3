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

/** {@code standin trial}: runs load on a fleet of processes while faults are injected, and checks the promises. */
@Command(
        name = "trial",
        description = "Starts a fleet of processes, injects faults under load and compares the journals. "
                + "Exit code 1 if a promise was broken.")
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
            description = "faults to inject in this order, spread evenly over the load")
    List<String> faults;

    @Override
    public Integer call() throws Exception {
        try (var fleet = new Fleet(folder, manifest, routers, runners, slots)) {
            fleet.startAll();
            fleet.awaitServing(fleet.processNames("runners").size());
            var journal = folder.resolve("journal").resolve("requesters.jsonl");
            var load = CompletableFuture.supplyAsync(() -> CranewayMain.run(
                    "load",
                    "--to",
                    fleet.addresses("routers", "requester"),
                    "--platform",
                    fleet.addresses("routers", "platform"),
                    "--metrics",
                    fleet.addresses("routers", "operator"),
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
                var submissions = (long) streams * (i + 1) / (faults.size() + 1);
                fleet.awaitCondition(
                        "submission " + submissions, () -> load.isDone() || countLines(journal) >= submissions);
                System.out.println("at submission " + countLines(journal) + ": " + faults.get(i));
                FaultInjector.inject(fleet, faults.get(i));
            }
            var loadExitCode = load.join();
            for (var runner : fleet.processNames("runners")) if (fleet.isRunning(runner)) fleet.requestStop(runner);
            for (var runner : fleet.processNames("runners")) if (fleet.isRunning(runner)) fleet.awaitExit(runner);
            var checker = fleet.checkJournals(journal);
            var violations = checker.findViolations(
                    faults.stream().noneMatch(fault -> fault.matches("(kill|freeze)-(router|store)|wipe-store")));
            System.out.println(checker.summary());
            violations.forEach(System.out::println);
            System.out.println(
                    violations.isEmpty()
                            ? "every promise checked here was kept"
                            : violations.size() + " promises broken");
            return violations.isEmpty() ? loadExitCode : 1;
        }
    }

    private static long countLines(Path file) {
        try (var lines = Files.lines(file)) {
            return lines.count();
        } catch (IOException e) {
            return 0;
        }
    }
}
