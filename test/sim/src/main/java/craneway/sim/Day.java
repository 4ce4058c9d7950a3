package craneway.sim;

import craneway.model.manifest.Manifest;
import java.util.ArrayList;
import java.util.List;

public final class Day {
    public record Result(long seed, List<String> wrong, Checks checks, String timeline, int submissions) {}

    private static final double RELEASE = 90;

    private Day() {}

    public static Result run(Shape shape, long seed) {
        var s = shape.scenario(seed);
        s.world.warmStart = false;
        morning(s);
        region(s, s.world.manifest.zones().keySet().stream().toList().get((int) (seed % 3)));
        var noon = release(s);
        var evening = night(s, noon);
        s.quiet();
        s.runOn(50);
        var c = s.checks();
        var wrong = new ArrayList<>(c.all());
        wrong.addAll(c.lost(s.start + (long) (RELEASE * 1e6), s.start + (long) (noon * 1e6)));
        wrong.addAll(c.unserved(s.start + (long) (evening * 1e6)));
        for (var a : s.answers) if (a.startsWith("declined")) wrong.add("an operator was told " + a);
        return new Result(seed, wrong, c, s.world.timeline.draw(), s.world.journal.submissions);
    }

    private static void morning(Scenario s) {
        s.traffic(150_000);
        s.runTo(10);
        s.traffic(50_000);
        s.runTo(20);
        s.swing(80);
        s.runTo(30);
        s.swing(4);
        s.runTo(40);
        s.swing(20);
        s.traffic(100_000);
    }

    private static void region(Scenario s, String zone) {
        s.runTo(45);
        s.act(zone, "power-loss");
        s.runTo(60);
        s.act(zone, "start");
    }

    private static double release(Scenario s) {
        s.runTo(RELEASE);
        s.traffic(250_000);
        s.swing(150);
        var t = RELEASE;
        for (var m : s.world.all(StoreMachine.class)) {
            s.act(m.name, "hand-over");
            s.runTo(t + 3);
            s.act(m.name, "kill");
            s.runTo(t + 5);
            s.act(m.name, "start");
            s.runTo(t += 14);
        }
        for (var m : s.world.all(RouterMachine.class)) {
            s.act(m.name, "stop-gently");
            s.runTo(t + 12);
            s.act(m.name, "start");
            s.runTo(t += 15);
        }
        return t;
    }

    private static double night(Scenario s, double noon) {
        var cell = spare(s.world.manifest);
        var runners = s.world.all(RunnerMachine.class).stream()
                .filter(r -> r.cell.equals(cell))
                .map(r -> r.name)
                .toList();
        s.swing(20);
        s.traffic(500_000);
        s.runTo(noon + 10);
        s.act("operator", "empty-cell " + cell);
        s.runTo(noon + 20);
        runners.forEach(r -> s.act(r, "leave"));
        s.runTo(noon + 23);
        runners.forEach(r -> s.act(r, "kill"));
        s.runTo(noon + 50);
        runners.forEach(r -> s.act(r, "start"));
        s.runTo(noon + 55);
        s.act("operator", "take-back-cell " + cell);
        s.runTo(noon + 60);
        s.traffic(80_000);
        s.runTo(noon + 80);
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
