package craneway.command.replay;

import craneway.command.CommandException;
import craneway.sim.RandomFaultRun;
import craneway.sim.SimulatedDay;
import craneway.sim.Limit;
import craneway.sim.FleetShape;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;

final class Sweep {
    final Map<Limit, Double> worst = new EnumMap<>(Limit.class);
    final AtomicLong submissions = new AtomicLong();
    final long seeds;
    final long broken;
    final double perHour;
    private final FleetShape shape;
    private final boolean day;

    Sweep(FleetShape shape, boolean day, String range) {
        this.shape = shape;
        this.day = day;
        if (!range.matches("\\d{1,15}-\\d{1,15}")) throw new CommandException(2, range + " is not FROM-TO");
        var from = Long.parseLong(range.split("-")[0]);
        var to = Long.parseLong(range.split("-")[1]);
        if (to < from) throw new CommandException(2, range + ": the end is before the start");
        var began = System.nanoTime();
        seeds = to - from + 1;
        broken = LongStream.rangeClosed(from, to)
                .parallel()
                .filter(day ? this::day : this::faults)
                .count();
        perHour = seeds / ((System.nanoTime() - began) / 3.6e12);
    }

    static FleetShape shape(String name) {
        var s = FleetShape.byName(name);
        if (s == null) throw new CommandException(2, "--shape " + name + " is none of maticar, brannock, small");
        return s;
    }

    private boolean day(long seed) {
        var r = SimulatedDay.run(shape, seed);
        return broke("day " + seed, r.violations(), r.checks().worstValues, r.submissions(), List.of());
    }

    private boolean faults(long seed) {
        var r = RandomFaultRun.run(shape, seed, RandomFaultRun.drawFaults(shape, seed));
        var least = r.violations().isEmpty() ? r.faults() : RandomFaultRun.minimize(shape, seed, r.faults());
        return broke("seed " + seed, r.violations(), r.checks().worstValues, r.submissions(), least);
    }

    private synchronized boolean broke(
            String what, List<String> wrong, Map<Limit, Double> seen, int asked, List<RandomFaultRun.Fault> least) {
        seen.forEach((k, v) -> worst.merge(k, v, Math::max));
        submissions.addAndGet(asked);
        if (wrong.isEmpty()) return false;
        System.out.println(what + " of shape " + shape.name() + ": " + wrong.subList(0, Math.min(3, wrong.size())));
        least.forEach(f -> System.out.println("  shortest schedule: " + f.describe()));
        return true;
    }

    void print() {
        System.out.printf(
                "%d %s of shape %s, %d broke a promise, %d submissions, %.0f seeds an hour%n",
                seeds, day ? "days" : "seeds", shape.name(), broken, submissions.get(), perHour);
        print(worst);
    }

    static void print(Map<Limit, Double> worst) {
        worst.forEach((k, v) -> System.out.printf("worst %-10s %8.3f  limit %-5s %s%n", k, v, k.value, k.description));
    }
}
