package craneway.sim;

import craneway.model.manifest.Manifest;
import java.util.ArrayList;
import java.util.List;

/**
 * Runs a simulated day: a load peak in the morning, shifting loads, a lost zone, a rolling release and a night of low
 * load with maintenance.
 */
public final class SimulatedDay {
    /** The outcome of a day: broken promises, the worst values measured and the timeline. */
    public record Result(long seed, List<String> violations, PromiseChecker checks, String timeline, int submissions) {}

    /** The second at which the rolling release starts. */
    private static final double RELEASE_START_SECOND = 90;

    private SimulatedDay() {}

    /** Runs the day for a seed and checks the promises over it. */
    public static Result run(FleetShape shape, long seed) {
        var scenario = shape.createScenario(seed);
        scenario.world.runnersStartWarm = false;
        runMorning(scenario);
        loseZone(
                scenario,
                scenario.world.manifest.zones().keySet().stream().toList().get((int) (seed % 3)));
        var releaseEnd = runRelease(scenario);
        var nightEnd = runNight(scenario, releaseEnd);
        scenario.stopTraffic();
        scenario.runForSeconds(50);
        var checks = scenario.createChecker();
        var violations = new ArrayList<>(checks.checkAll());
        violations.addAll(checks.findLost(
                scenario.startTime + (long) (RELEASE_START_SECOND * 1e6),
                scenario.startTime + (long) (releaseEnd * 1e6)));
        violations.addAll(checks.findUnserved(scenario.startTime + (long) (nightEnd * 1e6)));
        for (var answer : scenario.operatorAnswers)
            if (answer.startsWith("declined")) violations.add("an operator's command was " + answer);
        return new Result(
                seed, violations, checks, scenario.world.timeline.render(), scenario.world.journal.submissionCount);
    }

    /** High load, then changing request rates and response lengths. */
    private static void runMorning(Scenario scenario) {
        scenario.startTraffic(150_000);
        scenario.runUntilSecond(10);
        scenario.startTraffic(50_000);
        scenario.runUntilSecond(20);
        scenario.setTokenSpread(80);
        scenario.runUntilSecond(30);
        scenario.setTokenSpread(4);
        scenario.runUntilSecond(40);
        scenario.setTokenSpread(20);
        scenario.startTraffic(100_000);
    }

    /** The whole zone loses power and comes back with cold runners. */
    private static void loseZone(Scenario scenario, String zone) {
        scenario.runUntilSecond(45);
        scenario.perform(zone, "power-loss");
        scenario.runUntilSecond(60);
        scenario.perform(zone, "start");
    }

    /** Restarts each store and each router in turn; returns the second at which the release ends. */
    private static double runRelease(Scenario scenario) {
        scenario.runUntilSecond(RELEASE_START_SECOND);
        scenario.startTraffic(250_000);
        scenario.setTokenSpread(150);
        var second = RELEASE_START_SECOND;
        for (var machine : scenario.world.machinesOfType(StoreMachine.class)) {
            scenario.perform(machine.name, "hand-over");
            scenario.runUntilSecond(second + 3);
            scenario.perform(machine.name, "kill");
            scenario.runUntilSecond(second + 5);
            scenario.perform(machine.name, "start");
            scenario.runUntilSecond(second += 14);
        }
        for (var machine : scenario.world.machinesOfType(RouterMachine.class)) {
            scenario.perform(machine.name, "stop-gently");
            scenario.runUntilSecond(second + 12);
            scenario.perform(machine.name, "start");
            scenario.runUntilSecond(second += 15);
        }
        return second;
    }

    /**
     * Low load, while the runners of one cell are emptied, restarted and taken back; returns the second from which work
     * must be served.
     */
    private static double runNight(Scenario scenario, double start) {
        var cell = findSpareCell(scenario.world.manifest);
        var runners = scenario.world.machinesOfType(RunnerMachine.class).stream()
                .filter(runner -> runner.cell.equals(cell))
                .map(runner -> runner.name)
                .toList();
        scenario.setTokenSpread(20);
        scenario.startTraffic(500_000);
        scenario.runUntilSecond(start + 10);
        scenario.perform("operator", "empty-cell " + cell);
        scenario.runUntilSecond(start + 20);
        runners.forEach(runner -> scenario.perform(runner, "leave"));
        scenario.runUntilSecond(start + 23);
        runners.forEach(runner -> scenario.perform(runner, "kill"));
        scenario.runUntilSecond(start + 50);
        runners.forEach(runner -> scenario.perform(runner, "start"));
        scenario.runUntilSecond(start + 55);
        scenario.perform("operator", "take-back-cell " + cell);
        scenario.runUntilSecond(start + 60);
        scenario.startTraffic(80_000);
        scenario.runUntilSecond(start + 80);
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
