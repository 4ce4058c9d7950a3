package craneway.features;

import craneway.sim.Chaos;
import craneway.sim.Checks;
import craneway.sim.Journal;
import craneway.sim.Scenario;
import craneway.sim.StoreMachine;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

public final class CheckerSteps {
    private static final long S = 1_000_000;

    private final Journal j = new Journal();
    private Scenario lying;

    @Given("a journal in which everything was kept")
    public void kept() {
        for (var i = 0; i < 20; i++) {
            run("s" + i, i % 4 == 0 ? "k" + i : "", "runner-a", "zagreb-1", i * S);
            told("s" + i, "whole", i * S);
        }
        j.submissions = 20;
        j.sent.add(new Journal.Sent("m1", 0, S, 2 * S, true, 1, List.of()));
        j.seen.add(new Journal.Seen(2 * S, "router-1", 1, 5, "m1"));
        j.seen.add(new Journal.Seen(2 * S, "store-1", 1, 5, "m1"));
    }

    private Journal.Run run(String sub, String key, String runner, String zone, long at) {
        var r = new Journal.Run();
        r.sub = sub;
        r.key = key;
        r.runner = runner;
        r.zone = zone;
        r.tenant = "office-zagreb-centre";
        r.at = at;
        r.endedAt = at + S;
        r.whole = true;
        r.slots = 8;
        r.running = 1;
        j.runs.add(r);
        return r;
    }

    private Journal.Told told(String sub, String verdict, long at) {
        var t = new Journal.Told();
        t.sub = sub;
        t.verdict = verdict;
        t.askedAt = at;
        t.at = at + S;
        t.tenant = "office-zagreb-centre";
        t.deadlineMillis = 20_000;
        j.told.add(t);
        return t;
    }

    @When("{string} is planted")
    public void plant(String what) {
        switch (what) {
            case "a key that ran twice" -> run("x", "k4", "runner-a", "zagreb-1", 30 * S);
            case "a declined submission that ran" -> told("s3", "declined", 3 * S);
            case "a cut stream that looked finished" -> told("s3", "false-end", 3 * S);
            case "a whole stream that no runner ended" -> told("never", "whole", 3 * S);
            case "work on a runner four seconds after its leave" -> {
                j.leaves.add(new Journal.Leave("runner-a", 0, 30 * S));
                run("x", "", "runner-a", "zagreb-1", 34 * S);
            }
            case "work in a zone six seconds after its confirm" -> {
                j.emptied.add(new Journal.Emptied("zagreb-1", 30 * S, new long[] {60 * S}));
                run("x", "", "runner-a", "zagreb-1", 36 * S);
            }
            case "a node that slipped back" -> j.seen.add(new Journal.Seen(9 * S, "router-1", 1, 4, "m0"));
            case "a node that restarted with an older manifest" -> j.seen.add(new Journal.Seen(9 * S, "router-1", 2, 4, "m0"));
            case "a node that got a manifest four seconds late" -> {
                j.sent.add(new Journal.Sent("m2", 1, 10 * S, 10 * S, true, 2, List.of()));
                j.seen.add(new Journal.Seen(11 * S, "router-1", 1, 6, "m2"));
                j.seen.add(new Journal.Seen(14 * S, "store-1", 1, 6, "m2"));
            }
            case "a declined manifest in force" -> {
                j.sent.add(new Journal.Sent("bad", 1, 10 * S, 10 * S, false, 0, List.of()));
                j.seen.add(new Journal.Seen(11 * S, "router-1", 1, 6, "bad"));
            }
            case "a node that ends without the newest manifest" -> {
                j.sent.add(new Journal.Sent("m2", 1, 10 * S, 10 * S, true, 2, List.of()));
                j.seen.add(new Journal.Seen(10 * S, "router-1", 1, 6, "m2"));
            }
            case "two manifests taken as one version" -> {
                j.sent.add(new Journal.Sent("m2", 0, 10 * S, 10 * S, true, 1, List.of()));
                j.seen.add(new Journal.Seen(10 * S, "router-1", 1, 6, "m2"));
            }
            case "work run outside its home regions" -> run("x", "", "runner-b", "split-1", 30 * S);
            case "a cold runner with every slot in use" -> {
                var r = run("x", "", "runner-a", "zagreb-1", 30 * S);
                r.cold = true;
                r.running = r.slots;
            }
            case "more extra runs than allowed" -> {
                for (var i = 0; i < 60; i++) run("s1", "", "runner-a", "zagreb-1", 30 * S + i);
            }
            case "a submission that lost its router in a planned restart" -> told("gone", "lost", 3 * S);
            case "a decline after nine tenths of the deadline" -> told("late", "declined", 3 * S).at = 22 * S;
            default -> throw new IllegalArgumentException(what);
        }
    }

    private List<String> wrong() {
        var c = new Checks(j, Map.of("zagreb-1", "zagreb", "split-1", "split"), Map.of("office-zagreb-centre", List.of("zagreb")), 2);
        var all = new ArrayList<>(c.all());
        all.addAll(c.lost());
        return all;
    }

    @Then("the checker finds {string}")
    public void finds(String text) {
        var w = wrong();
        if (w.stream().noneMatch(x -> x.contains(text))) throw new AssertionError("found " + w);
    }

    @Then("the checker finds nothing")
    public void nothing() {
        var w = wrong();
        if (!w.isEmpty()) throw new AssertionError("found " + w);
    }

    @Given("a fleet whose disks lie about sync under seed {long}")
    public void lying(long seed) {
        lying = new Scenario(seed, Chaos.example(), 2, 8);
        lying.world.all(StoreMachine.class).forEach(s -> s.disk.liesAboutSync(true));
    }

    @When("all stores lose power at once after manifest 2 was taken")
    public void power() {
        lying.act("operator", "send v store-1 1");
        lying.runTo(4);
        for (var i = 1; i <= 3; i++) lying.act("store-" + i, "power-loss");
        lying.runTo(5);
        for (var i = 1; i <= 3; i++) lying.act("store-" + i, "start");
        for (var m : List.copyOf(lying.world.machines.keySet())) if (m.startsWith("router")) lying.act(m, "kill");
        lying.runTo(6);
        for (var m : List.copyOf(lying.world.machines.keySet())) if (m.startsWith("router")) lying.act(m, "start");
        lying.runTo(40);
    }

    @Then("a promise is seen to break")
    public void broke() {
        var w = lying.checks().all();
        if (w.isEmpty()) throw new AssertionError("nothing was found");
    }
}
