package craneway.sim;

import craneway.model.unit.Parts;

public final class Measures {
    private static final long SECOND = 1_000_000;

    private Measures() {}

    public record Owner(int declined, double lastDecline) {}

    public static Owner ownerKilled(long seed) {
        var s = Shape.SMALL.scenario(seed);
        s.traffic(40_000);
        s.runTo(5);
        s.act(owner(s), "kill");
        s.runTo(15);
        finish(s);
        var from = s.start + 5 * SECOND;
        var declines = s.world.journal.replies.stream()
                .filter(t -> t.askedAt >= from && t.verdict.equals("declined"))
                .toList();
        return new Owner(
                declines.size(),
                declines.stream().mapToLong(t -> t.at - from).max().orElse(0) / 1e6);
    }

    private static String owner(Scenario s) {
        var part = Parts.partOf(s.world.service);
        return s.world.all(StoreMachine.class).stream()
                .filter(m -> m.store.replicas()[part].isLeader())
                .map(m -> m.name)
                .findFirst()
                .orElseThrow();
    }

    public static double regionReturned(long seed) {
        var s = Shape.SMALL.scenario(seed);
        s.traffic(30_000);
        s.runTo(2);
        s.act("osijek-1", "power-loss");
        s.runTo(12);
        s.act("osijek-1", "start");
        s.runTo(30);
        finish(s);
        var from = s.start + 12 * SECOND;
        return s.world.journal.runs.stream()
                        .filter(r -> r.zone.equals("osijek-1") && r.at >= from && r.whole)
                        .mapToLong(r -> r.at - from)
                        .min()
                        .orElse(Long.MAX_VALUE)
                / 1e6;
    }

    public static double coldShare(long seed) {
        var s = Shape.SMALL.scenario(seed);
        s.world.warmStart = false;
        s.traffic(15_000);
        s.runTo(2);
        s.act("runner-zagreb-a-1", "kill");
        s.runTo(8);
        s.act("runner-zagreb-a-1", "start");
        s.runTo(14);
        return finish(s).worst.getOrDefault(Limit.COLD, 0.0);
    }

    private static Checks finish(Scenario s) {
        s.quiet();
        s.runOn(30);
        var c = s.checks();
        var wrong = c.all();
        if (!wrong.isEmpty()) throw new IllegalStateException(wrong.toString());
        return c;
    }
}
