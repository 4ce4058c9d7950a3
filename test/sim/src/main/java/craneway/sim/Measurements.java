package craneway.sim;

import craneway.model.unit.Parts;

/** Measurements for the documentation, each on the small fleet with one kind of fault. */
public final class Measurements {
    private static final long MICROS_PER_SECOND = 1_000_000;

    private Measurements() {}

    /**
     * What the loss of a part's owner caused: how many declines, and the time of the last one in seconds after the
     * loss.
     */
    public record OwnerLoss(int declineCount, double lastDeclineSeconds) {}

    /** Kills the store that leads the part of the first service and counts the declines after it. */
    public static OwnerLoss measureOwnerLoss(long seed) {
        var scenario = FleetShape.SMALL.createScenario(seed);
        scenario.startTraffic(40_000);
        scenario.runUntilSecond(5);
        scenario.perform(ownerOf(scenario), "kill");
        scenario.runUntilSecond(15);
        finish(scenario);
        var killedAt = scenario.startTime + 5 * MICROS_PER_SECOND;
        var declines = scenario.world.journal.replies.stream()
                .filter(reply -> reply.submittedAt >= killedAt && reply.verdict.equals("declined"))
                .toList();
        return new OwnerLoss(
                declines.size(),
                declines.stream()
                                .mapToLong(reply -> reply.receivedAt - killedAt)
                                .max()
                                .orElse(0)
                        / 1e6);
    }

    /** The name of the store that leads the part which holds the service. */
    private static String ownerOf(Scenario scenario) {
        var part = Parts.partOf(scenario.world.serviceName);
        return scenario.world.machinesOfType(StoreMachine.class).stream()
                .filter(store -> store.store.replicas()[part].isLeader())
                .map(store -> store.name)
                .findFirst()
                .orElseThrow();
    }

    /** Seconds from the return of a zone after a loss of power until the first completed run in it. */
    public static double measureZoneReturn(long seed) {
        var scenario = FleetShape.SMALL.createScenario(seed);
        scenario.startTraffic(30_000);
        scenario.runUntilSecond(2);
        scenario.perform("osijek-1", "power-loss");
        scenario.runUntilSecond(12);
        scenario.perform("osijek-1", "start");
        scenario.runUntilSecond(30);
        finish(scenario);
        var returnedAt = scenario.startTime + 12 * MICROS_PER_SECOND;
        return scenario.world.journal.runs.stream()
                        .filter(run -> run.zone.equals("osijek-1") && run.startedAt >= returnedAt && run.complete)
                        .mapToLong(run -> run.startedAt - returnedAt)
                        .min()
                        .orElse(Long.MAX_VALUE)
                / 1e6;
    }

    /** By how many runs a cold runner exceeded its warm-up ramp at worst. */
    public static double measureColdExcess(long seed) {
        var scenario = FleetShape.SMALL.createScenario(seed);
        scenario.world.runnersStartWarm = false;
        scenario.startTraffic(15_000);
        scenario.runUntilSecond(2);
        scenario.perform("runner-zagreb-a-1", "kill");
        scenario.runUntilSecond(8);
        scenario.perform("runner-zagreb-a-1", "start");
        scenario.runUntilSecond(14);
        return finish(scenario).worstValues.getOrDefault(Limit.COLD, 0.0);
    }

    /** Ends the traffic and checks all promises; throws if one is broken. */
    private static PromiseChecker finish(Scenario scenario) {
        scenario.stopTraffic();
        scenario.runForSeconds(30);
        var checks = scenario.createChecker();
        var violations = checks.checkAll();
        if (!violations.isEmpty()) throw new IllegalStateException(violations.toString());
        return checks;
    }
}
