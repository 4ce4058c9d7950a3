package craneway.command.measure;

import craneway.command.CommandException;
import craneway.sim.Measurements;
import java.util.Arrays;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code craneway measure}: prints the distribution of one quantity over many simulated runs. */
@Command(
        name = "measure",
        description = "Measures in simulated time over many seeds: owner-killed, region-returned or cold-runner.")
public final class MeasureCommand implements Callable<Integer> {
    @Parameters(paramLabel = "WHAT")
    String measurement;

    @Option(names = "--seeds", paramLabel = "FROM-TO", required = true)
    String seeds;

    @Override
    public Integer call() {
        if (!seeds.matches("\\d{1,15}-\\d{1,15}"))
            throw new CommandException(2, "--seeds " + seeds + " is not FROM-TO");
        var firstSeed = Long.parseLong(seeds.split("-")[0]);
        var lastSeed = Long.parseLong(seeds.split("-")[1]);
        if (lastSeed < firstSeed) throw new CommandException(2, "--seeds " + seeds + ": the end is before the start");
        var allSeeds = LongStream.rangeClosed(firstSeed, lastSeed).toArray();
        switch (measurement) {
            case "owner-killed" -> {
                var results = Arrays.stream(allSeeds)
                        .parallel()
                        .mapToObj(Measurements::measureOwnerLoss)
                        .toList();
                printDistribution(
                        "declined",
                        results.stream()
                                .mapToDouble(Measurements.OwnerLoss::declineCount)
                                .toArray());
                printDistribution(
                        "last decline, s",
                        results.stream()
                                .mapToDouble(Measurements.OwnerLoss::lastDeclineSeconds)
                                .toArray());
            }
            case "region-returned" ->
                printDistribution(
                        "first work after the return, s",
                        Arrays.stream(allSeeds)
                                .parallel()
                                .mapToDouble(Measurements::measureZoneReturn)
                                .toArray());
            case "cold-runner" ->
                printDistribution(
                        "share of a cold runner's slots",
                        Arrays.stream(allSeeds)
                                .parallel()
                                .mapToDouble(Measurements::measureColdExcess)
                                .toArray());
            default -> throw new CommandException(2, "unknown measurement " + measurement);
        }
        return 0;
    }

    private static void printDistribution(String name, double[] values) {
        Arrays.sort(values);
        System.out.printf(
                "%-34s min %.3f  median %.3f  max %.3f  of %d seeds%n",
                name, values[0], values[values.length / 2], values[values.length - 1], values.length);
    }
}
