package craneway.command.replay;

import craneway.sim.Limit;
import craneway.sim.Shape;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "proof",
        description =
                "Runs random schedules and days on both deployments' shapes and prints the figures of docs/proof.md. Exit code 1 when a promise broke.")
public final class ProofCommand implements Callable<Integer> {
    @Option(names = "--seeds", paramLabel = "FROM-TO", required = true)
    String seeds;

    @Option(names = "--days", paramLabel = "FROM-TO", required = true)
    String days;

    @Option(names = "--commit", required = true, description = "the commit that was built, for the record")
    String commit;

    @Override
    public Integer call() {
        var all = List.of(
                new SeedSweep(Shape.MATICAR, false, seeds),
                new SeedSweep(Shape.BRANNOCK, false, seeds),
                new SeedSweep(Shape.MATICAR, true, days),
                new SeedSweep(Shape.BRANNOCK, true, days));
        System.out.printf("At commit %s, seeds %s, days %s:%n%n", commit, seeds, days);
        System.out.println(
                "| | maticar | brannock | maticar days | brannock days | limit |\n|---|---|---|---|---|---|");
        printRow("runs", all.stream().map(s -> Long.toString(s.seedCount)).toList(), "");
        printRow(
                "runs that broke a promise",
                all.stream().map(s -> Long.toString(s.failedSeeds)).toList(),
                "0");
        printRow(
                "submissions",
                all.stream().map(s -> Long.toString(s.submissionCount.get())).toList(),
                "");
        printRow(
                "runs an hour",
                all.stream().map(s -> String.format("%.0f", s.seedsPerHour)).toList(),
                "");
        for (var l : Limit.values())
            if (l != Limit.RETURN)
                printRow(
                        l.words,
                        all.stream()
                                .map(s -> s.worstByLimit.containsKey(l) ? String.format("%.3f", s.worstByLimit.get(l)) : "none")
                                .toList(),
                        Double.toString(l.value));
        return all.stream().allMatch(s -> s.failedSeeds == 0) ? 0 : 1;
    }

    private static void printRow(String what, List<String> cells, String limit) {
        System.out.println("| " + what + " | " + String.join(" | ", cells) + " | " + limit + " |");
    }
}
