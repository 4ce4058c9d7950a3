package craneway.command.replay;

import craneway.command.CommandException;
import craneway.sim.RandomFaultRun;
import craneway.sim.SimulatedDay;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code craneway replay}: runs one seed of the simulator with a timeline, or sweeps over many seeds. */
@Command(
        name = "replay",
        description = "Runs a seed of random faults in the simulator and prints its timeline. "
                + "Exit code 1 if a promise was broken.")
public final class ReplayCommand implements Callable<Integer> {
    @Parameters(paramLabel = "SEED", arity = "0..1", description = "the seed to run")
    Long seed;

    @Option(
            names = "--sweep",
            paramLabel = "FROM-TO",
            description = "runs many seeds and prints only those that break a promise")
    String sweep;

    @Option(
            names = "--shape",
            paramLabel = "SHAPE",
            defaultValue = "maticar",
            description = "maticar, brannock or small (default: ${DEFAULT-VALUE})")
    String shape;

    @Option(
            names = "--day",
            description = "runs a simulated day: load peak, changing mix, "
                    + "loss and cold return of a region, release, quiet night")
    boolean day;

    @Option(names = "--shortest", description = "first reduces a failing schedule to the shortest one that still fails")
    boolean shortest;

    @Override
    public Integer call() {
        if ((seed == null) == (sweep == null)) throw new CommandException(2, "give either one SEED or --sweep FROM-TO");
        if (sweep == null) return day ? replayDay() : replayFaults();
        var seedSweep = new SeedSweep(SeedSweep.parseShape(shape), day, sweep);
        seedSweep.print();
        return seedSweep.failedSeeds == 0 ? 0 : 1;
    }

    /** Runs the seed with its random faults and returns the exit code. */
    private int replayFaults() {
        var fleetShape = SeedSweep.parseShape(shape);
        var faults = RandomFaultRun.drawFaults(fleetShape, seed);
        if (shortest) faults = RandomFaultRun.minimize(fleetShape, seed, faults);
        var result = RandomFaultRun.run(fleetShape, seed, faults);
        System.out.print(result.timeline());
        faults.forEach(fault -> System.out.println("fault " + fault.describe()));
        result.violations().forEach(violation -> System.out.println("BROKEN " + violation));
        SeedSweep.print(result.checks().worstValues);
        return result.violations().isEmpty() ? 0 : 1;
    }

    /** Runs the simulated day of the seed and returns the exit code. */
    private int replayDay() {
        var result = SimulatedDay.run(SeedSweep.parseShape(shape), seed);
        System.out.print(result.timeline());
        result.violations().forEach(violation -> System.out.println("BROKEN " + violation));
        SeedSweep.print(result.checks().worstValues);
        return result.violations().isEmpty() ? 0 : 1;
    }
}
