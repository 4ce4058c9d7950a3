package craneway.command.replay;

import craneway.sim.FleetShape;
import craneway.sim.Limit;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code craneway proof}: measures the limits of the promises over many simulated runs. */
@Command(
        name = "proof",
        description = "Runs random fault schedules and simulated days on the shapes of both deployments "
                + "and prints the figures of docs/proof.md. Exit code 1 if a promise was broken.")
public final class ProofCommand implements Callable<Integer> {
    @Option(names = "--seeds", paramLabel = "FROM-TO", required = true)
    String seeds;

    @Option(names = "--days", paramLabel = "FROM-TO", required = true)
    String days;

    @Option(names = "--commit", required = true, description = "the commit that was built, to print with the figures")
    String commit;

    @Override
    public Integer call() {
        var sweeps = List.of(
                new SeedSweep(FleetShape.MATICAR, false, seeds),
                new SeedSweep(FleetShape.BRANNOCK, false, seeds),
                new SeedSweep(FleetShape.MATICAR, true, days),
                new SeedSweep(FleetShape.BRANNOCK, true, days));
        System.out.printf("At commit %s, seeds %s, days %s:%n%n", commit, seeds, days);
        System.out.println(
                "| | maticar | brannock | maticar days | brannock days | limit |\n|---|---|---|---|---|---|");
        printRow(
                "runs",
                sweeps.stream().map(sweep -> Long.toString(sweep.seedCount)).toList(),
                "");
        printRow(
                "runs that broke a promise",
                sweeps.stream().map(sweep -> Long.toString(sweep.failedSeeds)).toList(),
                "0");
        printRow(
                "submissions",
                sweeps.stream()
                        .map(sweep -> Long.toString(sweep.submissionCount.get()))
                        .toList(),
                "");
        printRow(
                "runs an hour",
                sweeps.stream()
                        .map(sweep -> String.format("%.0f", sweep.seedsPerHour))
                        .toList(),
                "");
        for (var limit : Limit.values())
            if (limit != Limit.RETURN)
                printRow(
                        limit.description,
                        sweeps.stream()
                                .map(sweep -> sweep.worstByLimit.containsKey(limit)
                                        ? String.format("%.3f", sweep.worstByLimit.get(limit))
                                        : "none")
                                .toList(),
                        Double.toString(limit.value));
        return sweeps.stream().allMatch(sweep -> sweep.failedSeeds == 0) ? 0 : 1;
    }

    /** Prints one row of a Markdown table. */
    private static void printRow(String title, List<String> values, String limit) {
        System.out.println("| " + title + " | " + String.join(" | ", values) + " | " + limit + " |");
    }
}
