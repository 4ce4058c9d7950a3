package craneway.sim;

import craneway.model.manifest.Manifest;
import java.util.ArrayList;
import java.util.List;

public final class SimulatedDay {
    public record Result(long seed, List<String> violations, PromiseChecker checks, String timeline, int submissions) {}

    private static final double RELEASE = 90;

    private SimulatedDay() {}

    public static Result run(FleetShape shape, long seed) {
        var s = shape.createScenario(seed);
        s.world.runnersStartWarm = false;
        morning(s);
        region(s, s.world.manifest.zones().keySet().stream().toList().get((int) (seed % 3)));
        var noon = release(s);
        var evening = night(s, noon);
        s.stopTraffic();
        s.runForSeconds(50);
        var c = s.createChecker();
        var wrong = new ArrayList<>(c.checkAll());
        wrong.addAll(c.findLost(s.startTime + (long) (RELEASE * 1e6), s.startTime + (long) (noon * 1e6)));
        wrong.addAll(c.findUnserved(s.startTime + (long) (evening * 1e6)));
        for (var a : s.operatorAnswers) if (a.startsWith("declined")) wrong.add("an operator was told " + a);
        return new Result(seed, wrong, c, s.world.timeline.render(), s.world.journal.submissionCount);
    }

    private static void morning(Scenario s) {
        s.startTraffic(150_000);
        s.runUntilSecond(10);
        s.startTraffic(50_000);
        s.runUntilSecond(20);
        s.setTokenSpread(80);
        s.runUntilSecond(30);
        s.setTokenSpread(4);
        s.runUntilSecond(40);
        s.setTokenSpread(20);
        s.startTraffic(100_000);
    }

    private static void region(Scenario s, String zone) {
        s.runUntilSecond(45);
        s.perform(zone, "power-loss");
        s.runUntilSecond(60);
        s.perform(zone, "start");
    }

    private static double release(Scenario s) {
        s.runUntilSecond(RELEASE);
        s.startTraffic(250_000);
        s.setTokenSpread(150);
        var t = RELEASE;
        for (var m : s.world.machinesOfType(StoreMachine.class)) {
            s.perform(m.name, "hand-over");
            s.runUntilSecond(t + 3);
            s.perform(m.name, "kill");
            s.runUntilSecond(t + 5);
            s.perform(m.name, "start");
            s.runUntilSecond(t += 14);
        }
        for (var m : s.world.machinesOfType(RouterMachine.class)) {
            s.perform(m.name, "stop-gently");
            s.runUntilSecond(t + 12);
            s.perform(m.name, "start");
            s.runUntilSecond(t += 15);
        }
        return t;
    }

    private static double night(Scenario s, double noon) {
        var cell = spare(s.world.manifest);
        var runners = s.world.machinesOfType(RunnerMachine.class).stream()
                .filter(r -> r.cell.equals(cell))
                .map(r -> r.name)
                .toList();
        s.setTokenSpread(20);
        s.startTraffic(500_000);
        s.runUntilSecond(noon + 10);
        s.perform("operator", "empty-cell " + cell);
        s.runUntilSecond(noon + 20);
        runners.forEach(r -> s.perform(r, "leave"));
        s.runUntilSecond(noon + 23);
        runners.forEach(r -> s.perform(r, "kill"));
        s.runUntilSecond(noon + 50);
        runners.forEach(r -> s.perform(r, "start"));
        s.runUntilSecond(noon + 55);
        s.perform("operator", "take-back-cell " + cell);
        s.runUntilSecond(noon + 60);
        s.startTraffic(80_000);
        s.runUntilSecond(noon + 80);
        return noon + 70;
    }

    private static String spare(Manifest m) {
        var cells = m.services().values().iterator().next().cells();
        for (var i = cells.size() - 1; i >= 0; i--) {
            var region = m.regionOfZone(cells.get(i).zone());
            if (m.tenants().values().stream().noneMatch(t -> t.homeRegions().equals(List.of(region))))
                return cells.get(i).name();
        }
        throw new IllegalArgumentException("no cell can be spared");
    }
}
