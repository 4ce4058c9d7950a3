package craneway.command.replay;

import craneway.command.Told;
import craneway.sim.Chaos;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(name = "replay", description = "Runs a seed of random faults in the simulator and draws its timeline. Exit code 1 when a promise broke.")
public final class ReplayCommand implements Callable<Integer> {
    @Parameters(paramLabel = "SEED", arity = "0..1", description = "the seed to draw") Long seed;
    @Option(names = "--sweep", paramLabel = "FROM-TO", description = "runs many seeds and prints only those that break a promise") String sweep;
    @Option(names = "--shortest", description = "cuts a failing schedule down first") boolean shortest;

    @Override
    public Integer call() {
        if ((seed == null) == (sweep == null)) throw new Told(2, "name one seed, or --sweep FROM-TO");
        return sweep == null ? draw() : sweep();
    }

    private int draw() {
        var faults = Chaos.faults(seed);
        if (shortest) faults = Chaos.shortest(seed, Chaos.example(), faults);
        var r = Chaos.run(seed, Chaos.example(), faults);
        System.out.print(r.timeline());
        faults.forEach(f -> System.out.println("fault " + f.text()));
        r.wrong().forEach(w -> System.out.println("BROKEN " + w));
        print(r.checks().worst);
        return r.wrong().isEmpty() ? 0 : 1;
    }

    private int sweep() {
        if (!sweep.matches("\\d{1,15}-\\d{1,15}")) throw new Told(2, "--sweep " + sweep + " is not FROM-TO");
        var from = Long.parseLong(sweep.split("-")[0]);
        var to = Long.parseLong(sweep.split("-")[1]);
        var worst = new TreeMap<String, Double>();
        var bad = LongStream.rangeClosed(from, to).parallel().filter(s -> broken(s, worst)).count();
        System.out.println((to - from + 1) + " seeds, " + bad + " broke a promise");
        print(worst);
        return bad == 0 ? 0 : 1;
    }

    private static boolean broken(long s, Map<String, Double> worst) {
        var r = Chaos.run(s, Chaos.example(), Chaos.faults(s));
        synchronized (worst) {
            r.checks().worst.forEach((k, v) -> worst.merge(k, v, Math::max));
            if (r.wrong().isEmpty()) return false;
        }
        var least = Chaos.shortest(s, Chaos.example(), r.faults());
        synchronized (worst) {
            System.out.println("seed " + s + ": " + r.wrong().subList(0, Math.min(3, r.wrong().size())));
            least.forEach(f -> System.out.println("  shortest schedule: " + f.text()));
        }
        return true;
    }

    private static void print(Map<String, Double> worst) {
        worst.forEach((k, v) -> System.out.printf("worst %-50s %.3f%n", k, v));
    }
}
