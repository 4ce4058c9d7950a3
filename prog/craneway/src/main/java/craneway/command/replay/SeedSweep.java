package craneway.command.replay;

import craneway.command.CommandException;
import craneway.sim.FleetShape;
import craneway.sim.Limit;
import craneway.sim.RandomFaultRun;
import craneway.sim.SimulatedDay;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;

/**
 * Runs a range of seeds in parallel, prints the seeds that broke a promise and collects the worst figure for each
 * limit. The constructor runs the whole sweep.
 */
final class SeedSweep {
    final Map<Limit, Double> worstByLimit = new EnumMap<>(Limit.class);
    final AtomicLong submissionCount = new AtomicLong();
    final long seedCount;
    final long failedSeeds;
    final double seedsPerHour;
    private final FleetShape shape;
    private final boolean simulatesDays;

    /**
     * Runs the sweep.
     *
     * @param simulatesDays whether to run the simulated day of each seed instead of its random faults
     * @param seedRange the first and the last seed as FROM-TO
     */
    SeedSweep(FleetShape shape, boolean simulatesDays, String seedRange) {
        this.shape = shape;
        this.simulatesDays = simulatesDays;
        if (!seedRange.matches("\\d{1,15}-\\d{1,15}")) throw new CommandException(2, seedRange + " is not FROM-TO");
        var firstSeed = Long.parseLong(seedRange.split("-")[0]);
        var lastSeed = Long.parseLong(seedRange.split("-")[1]);
        if (lastSeed < firstSeed) throw new CommandException(2, seedRange + ": the end is before the start");
        var startNanos = System.nanoTime();
        seedCount = lastSeed - firstSeed + 1;
        failedSeeds = LongStream.rangeClosed(firstSeed, lastSeed)
                .parallel()
                .filter(simulatesDays ? this::failsOnDay : this::failsUnderFaults)
                .count();
        seedsPerHour = seedCount / ((System.nanoTime() - startNanos) / 3.6e12);
    }

    /** Returns the shape with this name; fails with exit code 2 if there is none. */
    static FleetShape parseShape(String name) {
        var found = FleetShape.byName(name);
        if (found == null) throw new CommandException(2, "--shape " + name + " is none of maticar, brannock, small");
        return found;
    }

    private boolean failsOnDay(long seed) {
        var result = SimulatedDay.run(shape, seed);
        return recordRun(
                "day " + seed, result.violations(), result.checks().worstValues, result.submissions(), List.of());
    }

    private boolean failsUnderFaults(long seed) {
        var result = RandomFaultRun.run(shape, seed, RandomFaultRun.drawFaults(shape, seed));
        var shortestSchedule =
                result.violations().isEmpty() ? result.faults() : RandomFaultRun.minimize(shape, seed, result.faults());
        return recordRun(
                "seed " + seed,
                result.violations(),
                result.checks().worstValues,
                result.submissions(),
                shortestSchedule);
    }

    /** Adds the figures of a run, prints its violations and returns whether there were any. */
    private synchronized boolean recordRun(
            String title,
            List<String> violations,
            Map<Limit, Double> worstOfRun,
            int submissions,
            List<RandomFaultRun.Fault> shortestSchedule) {
        worstOfRun.forEach((limit, worst) -> worstByLimit.merge(limit, worst, Math::max));
        submissionCount.addAndGet(submissions);
        if (violations.isEmpty()) return false;
        System.out.println(
                title + " of shape " + shape.name() + ": " + violations.subList(0, Math.min(3, violations.size())));
        shortestSchedule.forEach(fault -> System.out.println("  shortest schedule: " + fault.describe()));
        return true;
    }

    /** Prints a summary of the sweep and the worst figures. */
    void print() {
        System.out.printf(
                "%d %s of shape %s, %d broke a promise, %d submissions, %.0f seeds an hour%n",
                seedCount,
                simulatesDays ? "days" : "seeds",
                shape.name(),
                failedSeeds,
                submissionCount.get(),
                seedsPerHour);
        print(worstByLimit);
    }

    /** Prints the worst figure for each limit. */
    static void print(Map<Limit, Double> worstByLimit) {
        worstByLimit.forEach((limit, worst) ->
                System.out.printf("worst %-10s %8.3f  limit %-5s %s%n", limit, worst, limit.value, limit.description));
    }
}
