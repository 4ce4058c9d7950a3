package craneway.command.measure;

import craneway.command.CommandException;
import craneway.sim.Measurements;
import java.util.Arrays;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "measure",
        description = "Measures in virtual time over many seeds: owner-killed, region-returned, cold-runner.")
public final class MeasureCommand implements Callable<Integer> {
    @Parameters(paramLabel = "WHAT")
    String what;

    @Option(names = "--seeds", paramLabel = "FROM-TO", required = true)
    String seeds;

    @Override
    public Integer call() {
        if (!seeds.matches("\\d{1,15}-\\d{1,15}")) throw new CommandException(2, "--seeds " + seeds + " is not FROM-TO");
        var from = Long.parseLong(seeds.split("-")[0]);
        var to = Long.parseLong(seeds.split("-")[1]);
        if (to < from) throw new CommandException(2, "--seeds " + seeds + ": the end is before the start");
        var all = LongStream.rangeClosed(from, to).toArray();
        switch (what) {
            case "owner-killed" -> {
                var r = Arrays.stream(all)
                        .parallel()
                        .mapToObj(Measurements::measureOwnerLoss)
                        .toList();
                print(
                        "declined",
                        r.stream().mapToDouble(Measurements.OwnerLoss::declineCount).toArray());
                print(
                        "last decline, s",
                        r.stream().mapToDouble(Measurements.OwnerLoss::lastDeclineSeconds).toArray());
            }
            case "region-returned" ->
                print(
                        "first work after the return, s",
                        Arrays.stream(all)
                                .parallel()
                                .mapToDouble(Measurements::measureZoneReturn)
                                .toArray());
            case "cold-runner" ->
                print(
                        "share of a cold runner's slots",
                        Arrays.stream(all)
                                .parallel()
                                .mapToDouble(Measurements::measureColdExcess)
                                .toArray());
            default -> throw new CommandException(2, "unknown measurement " + what);
        }
        return 0;
    }

    private static void print(String name, double[] v) {
        Arrays.sort(v);
        System.out.printf(
                "%-34s min %.3f  median %.3f  max %.3f  of %d seeds%n",
                name, v[0], v[v.length / 2], v[v.length - 1], v.length);
    }
}
