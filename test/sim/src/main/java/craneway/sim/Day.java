package craneway.sim;

import craneway.model.manifest.Manifest;
import java.util.ArrayList;
import java.util.List;

/**
 * Runs a simulated day: a crowd in the morning, shifting loads, a lost zone, a rolling release and a quiet night with
 * maintenance.
 */
public final class Day {
    /** The outcome of a day: broken promises, the worst values measured and the timeline. */
    public record Result(long seed, List<String> wrong, Checks checks, String timeline, int submissions) {}

    /** The second at which the rolling release starts. */
    private static final double RELEASE_START_SECOND = 90;

    private Day() {}

    /** Runs the day for a seed and checks the promises over it. */
    public static Result run(Shape shape, long seed) {
        var scenario = shape.scenario(seed);
        scenario.world.warmStart = false;
        runMorning(scenario);
        loseZone(
                scenario,
                scenario.world.manifest.zones().keySet().stream().toList().get((int) (seed % 3)));
        var releaseEnd = runRelease(scenario);
        var nightEnd = runNight(scenario, releaseEnd);
        scenario.quiet();
        scenario.runOn(50);
        var checks = scenario.checks();
        var violations = new ArrayList<>(checks.all());
        violations.addAll(checks.lost(
                scenario.start + (long) (RELEASE_START_SECOND * 1e6), scenario.start + (long) (releaseEnd * 1e6)));
        violations.addAll(checks.unserved(scenario.start + (long) (nightEnd * 1e6)));
        for (var answer : scenario.answers)
            if (answer.startsWith("declined")) violations.add("an operator's command was " + answer);
        return new Result(seed, violations, checks, scenario.world.timeline.draw(), scenario.world.journal.submissions);
    }

    /** High load, then changing request rates and response lengths. */
    private static void runMorning(Scenario scenario) {
        scenario.traffic(150_000);
        scenario.runTo(10);
        scenario.traffic(50_000);
        scenario.runTo(20);
        scenario.swing(80);
        scenario.runTo(30);
        scenario.swing(4);
        scenario.runTo(40);
        scenario.swing(20);
        scenario.traffic(100_000);
    }

    /** The whole zone loses power and comes back with cold runners. */
    private static void loseZone(Scenario scenario, String zone) {
        scenario.runTo(45);
        scenario.act(zone, "power-loss");
        scenario.runTo(60);
        scenario.act(zone, "start");
    }

    /** Restarts each store and each router in turn; returns the second at which the release ends. */
    private static double runRelease(Scenario scenario) {
        scenario.runTo(RELEASE_START_SECOND);
        scenario.traffic(250_000);
        scenario.swing(150);
        var second = RELEASE_START_SECOND;
        for (var machine : scenario.world.all(StoreMachine.class)) {
            scenario.act(machine.name, "hand-over");
            scenario.runTo(second + 3);
            scenario.act(machine.name, "kill");
            scenario.runTo(second + 5);
            scenario.act(machine.name, "start");
            scenario.runTo(second += 14);
        }
        for (var machine : scenario.world.all(RouterMachine.class)) {
            scenario.act(machine.name, "stop-gently");
            scenario.runTo(second + 12);
            scenario.act(machine.name, "start");
            scenario.runTo(second += 15);
        }
        return second;
    }

    /**
     * Low load, while the runners of one cell are emptied, restarted and taken back; returns the second from which work
     * must be served.
     */
    private static double runNight(Scenario scenario, double start) {
        var cell = findSpareCell(scenario.world.manifest);
        var runners = scenario.world.all(RunnerMachine.class).stream()
                .filter(runner -> runner.cell.equals(cell))
                .map(runner -> runner.name)
                .toList();
        scenario.swing(20);
        scenario.traffic(500_000);
        scenario.runTo(start + 10);
        scenario.act("operator", "empty-cell " + cell);
        scenario.runTo(start + 20);
        runners.forEach(runner -> scenario.act(runner, "leave"));
        scenario.runTo(start + 23);
        runners.forEach(runner -> scenario.act(runner, "kill"));
        scenario.runTo(start + 50);
        runners.forEach(runner -> scenario.act(runner, "start"));
        scenario.runTo(start + 55);
        scenario.act("operator", "take-back-cell " + cell);
        scenario.runTo(start + 60);
        scenario.traffic(80_000);
        scenario.runTo(start + 80);
        return start + 70;
    }

    /** The last cell whose region is not the only home of some tenant. */
    private static String findSpareCell(Manifest manifest) {
        var cells = manifest.services().values().iterator().next().cells();
        for (var i = cells.size() - 1; i >= 0; i--) {
            var region = manifest.regionOfZone(cells.get(i).zone());
            if (manifest.tenants().values().stream()
                    .noneMatch(tenant -> tenant.homeRegions().equals(List.of(region))))
                return cells.get(i).name();
        }
        throw new IllegalArgumentException("every cell is in the only home region of some tenant");
    }
}
