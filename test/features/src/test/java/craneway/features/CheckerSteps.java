package craneway.features;

import craneway.sim.FleetShape;
import craneway.sim.Journal;
import craneway.sim.PromiseChecker;
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

    private static final String
            M1 =
                    "{\"tenants\":[{\"name\":\"office-zagreb-centre\",\"regions\":[\"zagreb\"]},{\"name\":\"metered\",\"quotaPerMinute\":2}]}",
            M2 = M1 + " ";

    @Given("a journal in which everything was kept")
    public void kept() {
        for (var i = 0; i < 20; i++) {
            run("s" + i, i % 4 == 0 ? "k" + i : "", "runner-a", "zagreb-1", (i + 2) * S);
            told("s" + i, "whole", (i + 2) * S);
            j.submissionTimes.add((i + 2) * S);
        }
        j.submissionCount = 20;
        j.sentManifests.add(new Journal.SentManifest(M1, 0, S, S, true, 1, new long[] {S}));
        for (var n : List.of("router-1", "store-1")) {
            j.seenManifests.add(new Journal.SeenManifest(S, n, 1, 1, M1));
            j.finalStates.add(new Journal.FinalState(n, 1, M1, Map.of(), Map.of("registry", 7L)));
        }
    }

    private Journal.Run run(String sub, String key, String runner, String zone, long at) {
        var r = new Journal.Run();
        r.submissionId = sub;
        r.idempotencyKey = key;
        r.runner = runner;
        r.service = "registry";
        r.zone = zone;
        r.cell = zone.replace("-1", "-a");
        r.tenant = "office-zagreb-centre";
        r.manifestVersion = 1;
        r.tableVersion = 7;
        r.startedAt = at;
        r.endedAt = at + S;
        r.complete = true;
        r.slots = 8;
        r.concurrentRuns = 1;
        j.runs.add(r);
        return r;
    }

    private Journal.Reply told(String sub, String verdict, long at) {
        var t = new Journal.Reply();
        t.submissionId = sub;
        t.workKey = sub;
        t.verdict = verdict;
        t.submittedAt = at;
        t.receivedAt = at + S;
        t.tenant = "office-zagreb-centre";
        t.deadlineMillis = 20_000;
        t.retryAfterMicros = S;
        j.replies.add(t);
        return t;
    }

    private void taken(long version, long at) {
        j.sentManifests.add(new Journal.SentManifest(M2, version - 1, at, at, true, version, new long[] {at}));
        for (var n : List.of("router-1", "store-1"))
            j.seenManifests.add(new Journal.SeenManifest(at, n, 1, version, M2));
        j.finalStates.replaceAll(e -> new Journal.FinalState(e.node(), version, M2, e.marks(), e.tableVersions()));
    }

    private void cold(int slots, int running, double seconds) {
        var r = run("x", "", "runner-a", "zagreb-1", 30 * S + (long) (seconds * S));
        r.runnerCold = true;
        r.runnerStartedAt = 30 * S;
        r.slots = slots;
        r.concurrentRuns = running;
    }

    @When("{string} is planted")
    public void plant(String what) {
        switch (what) {
            case "a key that ran twice" -> run("x", "k4", "runner-a", "zagreb-1", 30 * S);
            case "a declined submission that ran" -> told("s3", "declined", 3 * S);
            case "a cut stream that looked finished" -> told("s3", "false-end", 3 * S);
            case "a whole stream that no runner ended" -> told("never", "whole", 3 * S);
            case "work on a runner 3.4 s after its leave" -> {
                j.leaves.add(new Journal.Leave("runner-a", 0, 30 * S));
                run("x", "", "runner-a", "zagreb-1", 33_400_000);
            }
            case "work in a zone 5.3 s after its confirm" -> {
                j.emptiedAreas.add(new Journal.EmptiedArea("zagreb-1", "", 30 * S, new long[] {60 * S}));
                run("x", "", "runner-a", "zagreb-1", 35_300_000);
            }
            case "work in a cell 5.3 s after its confirm" -> {
                j.emptiedAreas.add(new Journal.EmptiedArea("", "zagreb-a", 30 * S, new long[] {60 * S}));
                run("x", "", "runner-a", "zagreb-1", 35_300_000);
            }
            case "a node that slipped back" -> {
                taken(2, 8 * S);
                j.seenManifests.add(new Journal.SeenManifest(9 * S, "router-1", 1, 1, M1));
            }
            case "a node that restarted with an older manifest" -> {
                taken(2, 8 * S);
                j.seenManifests.add(new Journal.SeenManifest(9 * S, "router-1", 2, 1, M1));
            }
            case "work by the old manifest 3.4 s after the new one was everywhere" -> {
                taken(2, 24 * S);
                run("x", "", "runner-a", "zagreb-1", 27_400_000);
            }
            case "such work by a node that was frozen and just woke" -> {
                j.outages.add(new Journal.Outage("router-1", 20 * S, new long[] {27 * S}));
                taken(2, 24 * S);
                run("x", "", "runner-a", "zagreb-1", 27_400_000);
            }
            case "a node that got a manifest 3.4 s late, soon followed by another" -> {
                j.sentManifests.add(
                        new Journal.SentManifest(M2, 1, 24 * S, 24 * S, true, 2, new long[] {Long.MAX_VALUE}));
                taken(3, 27_400_000);
            }
            case "a declined manifest in force" -> {
                j.sentManifests.add(
                        new Journal.SentManifest("bad", 1, 10 * S, 10 * S, false, 0, new long[] {Long.MAX_VALUE}));
                j.seenManifests.add(new Journal.SeenManifest(11 * S, "router-1", 1, 2, "bad"));
            }
            case "work by a manifest that nobody was told is taken" ->
                run("x", "", "runner-a", "zagreb-1", 30 * S).manifestVersion = 2;
            case "a node that ends without the newest manifest" -> {
                taken(2, 24 * S);
                j.finalStates.add(new Journal.FinalState("router-2", 1, M1, Map.of(), Map.of("registry", 7L)));
            }
            case "two manifests taken as one version" ->
                j.sentManifests.add(new Journal.SentManifest(M2, 0, 10 * S, 10 * S, true, 1, new long[] {10 * S}));
            case "a confirmed mark that is gone" ->
                j.emptiedAreas.add(new Journal.EmptiedArea("split-1", "", 30 * S, new long[] {Long.MAX_VALUE}));
            case "a kept tenant that is released by itself" ->
                j.keptTenants.add(new Journal.KeptTenant("office-zagreb-centre", List.of("zagreb"), 30 * S));
            case "a table step that is lost" -> run("x", "", "runner-a", "zagreb-1", 30 * S).tableVersion = 8;
            case "a quota that is given out anew" -> {
                for (var i = 0; i < 5; i++) run("q" + i, "", "runner-a", "zagreb-1", 30 * S + i).tenant = "metered";
            }
            case "work run outside its home regions" -> run("x", "", "runner-b", "split-1", 30 * S);
            case "work run outside the regions it asked for" -> {
                run("x", "", "runner-b", "split-1", 30 * S).tenant = "t";
                told("x", "whole", 30 * S).allowedRegions = "zagreb,osijek";
            }
            case "work of a kept tenant elsewhere" -> {
                j.keptTenants.add(new Journal.KeptTenant("t", List.of("zagreb"), 30 * S));
                run("x", "", "runner-b", "split-1", 35_300_000).tenant = "t";
            }
            case "a second stream on a cold runner of 2 slots after 2.4 s" -> cold(2, 2, 2.4);
            case "a third stream on a cold runner of 8 slots after 1.8 s" -> cold(8, 3, 1.8);
            case "eleven extra runs more than a fifth" -> {
                for (var i = 0; i < 15; i++) run("s1", "", "runner-a", "zagreb-1", 3 * S + i * S);
            }
            case "eleven extra runs within 10 s of silence" -> {
                for (var i = 0; i < 11; i++) run("s1", "", "runner-a", "zagreb-1", 50 * S + i);
            }
            case "fifteen forwards beyond the first hop" -> {
                for (var i = 0; i < 16; i++) j.forwards.add(new Journal.Forward(3 * S + i * S, "s1"));
            }
            case "a submission that lost its router in a planned restart" -> told("gone", "lost", 3 * S);
            case "a submission that was declined and never served" -> told("gone", "declined", 3 * S);
            case "a submission without a verdict" -> j.submissionCount++;
            case "a decline after 0.51 of the deadline" -> told("late", "declined", 3 * S).receivedAt = 13_200_000;
            default -> throw new IllegalArgumentException(what);
        }
    }

    private List<String> wrong() {
        j.serviceName = "registry";
        var c = new PromiseChecker(j, Map.of("zagreb-1", "zagreb", "split-1", "split"), Map.of("registry", 5 * S));
        var all = new ArrayList<>(c.checkAll());
        all.addAll(c.findLost());
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
        lying = FleetShape.SMALL.createScenario(seed);
        lying.world.machinesOfType(StoreMachine.class).forEach(s -> s.disk.setIgnoresSync(true));
    }

    @When("all stores lose power at once after manifest 2 was taken")
    public void power() {
        lying.perform("operator", "send v store-1 1");
        lying.runUntilSecond(4);
        for (var i = 1; i <= 3; i++) lying.perform("store-" + i, "power-loss");
        lying.runUntilSecond(5);
        for (var i = 1; i <= 3; i++) lying.perform("store-" + i, "start");
        for (var m : List.copyOf(lying.world.machines.keySet())) if (m.startsWith("router")) lying.perform(m, "kill");
        lying.runUntilSecond(6);
        for (var m : List.copyOf(lying.world.machines.keySet())) if (m.startsWith("router")) lying.perform(m, "start");
        lying.runUntilSecond(40);
    }

    @Then("a promise is seen to break")
    public void broke() {
        var w = lying.createChecker().checkAll();
        if (w.isEmpty()) throw new AssertionError("nothing was found");
    }
}
