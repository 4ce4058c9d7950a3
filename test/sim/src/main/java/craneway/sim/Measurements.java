package craneway.sim;

import craneway.model.unit.Parts;

public final class Measurements {
    private static final long SECOND = 1_000_000;

    private Measurements() {}

    public record OwnerLoss(int declineCount, double lastDeclineSeconds) {}

    public static OwnerLoss measureOwnerLoss(long seed) {
        var s = FleetShape.SMALL.createScenario(seed);
        s.startTraffic(40_000);
        s.runUntilSecond(5);
        s.perform(owner(s), "kill");
        s.runUntilSecond(15);
        finish(s);
        var from = s.startTime + 5 * SECOND;
        var declines = s.world.journal.replies.stream()
                .filter(t -> t.submittedAt >= from && t.verdict.equals("declined"))
                .toList();
        return new OwnerLoss(
                declines.size(),
                declines.stream().mapToLong(t -> t.receivedAt - from).max().orElse(0) / 1e6);
    }

    private static String owner(Scenario s) {
        var part = Parts.partOf(s.world.serviceName);
        return s.world.machinesOfType(StoreMachine.class).stream()
                .filter(m -> m.store.replicas()[part].isLeader())
                .map(m -> m.name)
                .findFirst()
                .orElseThrow();
    }

    public static double measureZoneReturn(long seed) {
        var s = FleetShape.SMALL.createScenario(seed);
        s.startTraffic(30_000);
        s.runUntilSecond(2);
        s.perform("osijek-1", "power-loss");
        s.runUntilSecond(12);
        s.perform("osijek-1", "start");
        s.runUntilSecond(30);
        finish(s);
        var from = s.startTime + 12 * SECOND;
        return s.world.journal.runs.stream()
                        .filter(r -> r.zone.equals("osijek-1") && r.startedAt >= from && r.complete)
                        .mapToLong(r -> r.startedAt - from)
                        .min()
                        .orElse(Long.MAX_VALUE)
                / 1e6;
    }

    public static double measureColdExcess(long seed) {
        var s = FleetShape.SMALL.createScenario(seed);
        s.world.runnersStartWarm = false;
        s.startTraffic(15_000);
        s.runUntilSecond(2);
        s.perform("runner-zagreb-a-1", "kill");
        s.runUntilSecond(8);
        s.perform("runner-zagreb-a-1", "start");
        s.runUntilSecond(14);
        return finish(s).worstValues.getOrDefault(Limit.COLD, 0.0);
    }

    private static PromiseChecker finish(Scenario s) {
        s.stopTraffic();
        s.runForSeconds(30);
        var c = s.createChecker();
        var wrong = c.checkAll();
        if (!wrong.isEmpty()) throw new IllegalStateException(wrong.toString());
        return c;
    }
}
