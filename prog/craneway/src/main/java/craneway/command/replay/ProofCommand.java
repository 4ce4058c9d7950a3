package craneway.command.replay;

import craneway.sim.Limit;
import craneway.sim.FleetShape;
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
                new Sweep(FleetShape.MATICAR, false, seeds),
                new Sweep(FleetShape.BRANNOCK, false, seeds),
                new Sweep(FleetShape.MATICAR, true, days),
                new Sweep(FleetShape.BRANNOCK, true, days));
        System.out.printf("At commit %s, seeds %s, days %s:%n%n", commit, seeds, days);
        System.out.println(
                "| | maticar | brannock | maticar days | brannock days | limit |\n|---|---|---|---|---|---|");
        row("runs", all.stream().map(s -> Long.toString(s.seeds)).toList(), "");
        row(
                "runs that broke a promise",
                all.stream().map(s -> Long.toString(s.broken)).toList(),
                "0");
        row(
                "submissions",
                all.stream().map(s -> Long.toString(s.submissions.get())).toList(),
                "");
        row(
                "runs an hour",
                all.stream().map(s -> String.format("%.0f", s.perHour)).toList(),
                "");
        for (var l : Limit.values())
            if (l != Limit.RETURN)
                row(
                        l.description,
                        all.stream()
                                .map(s -> s.worst.containsKey(l) ? String.format("%.3f", s.worst.get(l)) : "none")
                                .toList(),
                        Double.toString(l.value));
        return all.stream().allMatch(s -> s.broken == 0) ? 0 : 1;
    }

    private static void row(String what, List<String> cells, String limit) {
        System.out.println("| " + what + " | " + String.join(" | ", cells) + " | " + limit + " |");
    }
}
