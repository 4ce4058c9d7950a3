package craneway.command.replay;

import craneway.command.CommandException;
import craneway.sim.RandomFaultRun;
import craneway.sim.SimulatedDay;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "replay",
        description =
                "Runs a seed of random faults in the simulator and draws its timeline. Exit code 1 when a promise broke.")
public final class ReplayCommand implements Callable<Integer> {
    @Parameters(paramLabel = "SEED", arity = "0..1", description = "the seed to draw")
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
            description = "runs a simulated day: crowd, swinging mix, region lost and back cold, release, quiet night")
    boolean day;

    @Option(names = "--shortest", description = "cuts a failing schedule down first")
    boolean shortest;

    @Override
    public Integer call() {
        if ((seed == null) == (sweep == null)) throw new CommandException(2, "name one seed, or --sweep FROM-TO");
        if (sweep == null) return day ? drawDay() : draw();
        var s = new Sweep(Sweep.shape(shape), day, sweep);
        s.print();
        return s.broken == 0 ? 0 : 1;
    }

    private int draw() {
        var sh = Sweep.shape(shape);
        var faults = RandomFaultRun.drawFaults(sh, seed);
        if (shortest) faults = RandomFaultRun.minimize(sh, seed, faults);
        var r = RandomFaultRun.run(sh, seed, faults);
        System.out.print(r.timeline());
        faults.forEach(f -> System.out.println("fault " + f.describe()));
        r.violations().forEach(w -> System.out.println("BROKEN " + w));
        Sweep.print(r.checks().worstValues);
        return r.violations().isEmpty() ? 0 : 1;
    }

    private int drawDay() {
        var r = SimulatedDay.run(Sweep.shape(shape), seed);
        System.out.print(r.timeline());
        r.violations().forEach(w -> System.out.println("BROKEN " + w));
        Sweep.print(r.checks().worstValues);
        return r.violations().isEmpty() ? 0 : 1;
    }
}
