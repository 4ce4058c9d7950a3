package craneway.sim;

import craneway.model.unit.Parts;

/** Measurements for the documentation, each on the small fleet with one kind of fault. */
public final class Measures {
    private static final long SECOND_MICROS = 1_000_000;

    private Measures() {}

    /**
     * What the loss of a part's owner caused: how many declines, and the time of the last one in seconds after the
     * loss.
     */
    public record Owner(int declined, double lastDecline) {}

    /** Kills the store that leads the part of the first service and counts the declines after it. */
    public static Owner ownerKilled(long seed) {
        var scenario = Shape.SMALL.scenario(seed);
        scenario.traffic(40_000);
        scenario.runTo(5);
        scenario.act(ownerOf(scenario), "kill");
        scenario.runTo(15);
        finish(scenario);
        var killedAt = scenario.start + 5 * SECOND_MICROS;
        var declines = scenario.world.journal.replies.stream()
                .filter(reply -> reply.askedAt >= killedAt && reply.verdict.equals("declined"))
                .toList();
        return new Owner(
                declines.size(),
                declines.stream().mapToLong(reply -> reply.at - killedAt).max().orElse(0) / 1e6);
    }

    /** The name of the store that leads the part which holds the service. */
    private static String ownerOf(Scenario scenario) {
        var part = Parts.partOf(scenario.world.service);
        return scenario.world.all(StoreMachine.class).stream()
                .filter(store -> store.store.replicas()[part].isLeader())
                .map(store -> store.name)
                .findFirst()
                .orElseThrow();
    }

    /** Seconds from the return of a zone after a loss of power until the first completed run in it. */
    public static double regionReturned(long seed) {
        var scenario = Shape.SMALL.scenario(seed);
        scenario.traffic(30_000);
        scenario.runTo(2);
        scenario.act("osijek-1", "power-loss");
        scenario.runTo(12);
        scenario.act("osijek-1", "start");
        scenario.runTo(30);
        finish(scenario);
        var returnedAt = scenario.start + 12 * SECOND_MICROS;
        return scenario.world.journal.runs.stream()
                        .filter(run -> run.zone.equals("osijek-1") && run.at >= returnedAt && run.whole)
                        .mapToLong(run -> run.at - returnedAt)
                        .min()
                        .orElse(Long.MAX_VALUE)
                / 1e6;
    }

    /** By how many runs a cold runner exceeded its warm-up ramp at worst. */
    public static double coldShare(long seed) {
        var scenario = Shape.SMALL.scenario(seed);
        scenario.world.warmStart = false;
        scenario.traffic(15_000);
        scenario.runTo(2);
        scenario.act("runner-zagreb-a-1", "kill");
        scenario.runTo(8);
        scenario.act("runner-zagreb-a-1", "start");
        scenario.runTo(14);
        return finish(scenario).worst.getOrDefault(Limit.COLD, 0.0);
    }

    /** Ends the traffic and checks all promises; throws if one is broken. */
    private static Checks finish(Scenario scenario) {
        scenario.quiet();
        scenario.runOn(30);
        var checks = scenario.checks();
        var violations = checks.all();
        if (!violations.isEmpty()) throw new IllegalStateException(violations.toString());
        return checks;
    }
}
