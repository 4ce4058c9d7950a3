package craneway.features;

import craneway.model.problem.ProblemKind;
import craneway.sim.ClientMachine;
import craneway.sim.FleetShape;
import craneway.sim.Limit;
import craneway.sim.PromiseChecker;
import craneway.sim.RandomFaultRun;
import craneway.sim.RouterMachine;
import craneway.sim.Scenario;
import craneway.sim.SimulatedDay;
import craneway.sim.StoreMachine;
import craneway.state.message.Node;
import io.cucumber.datatable.DataTable;
import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.LongStream;

public final class SimSteps {
    private record Act(double at, String node, String what) {}

    private Scenario s;
    private PromiseChecker checks;

    @Given("a fleet under seed {long}")
    public void fleet(long seed) {
        s = FleetShape.SMALL.createScenario(seed);
    }

    @Given("runners that start cold")
    public void cold() {
        s.world.runnersStartWarm = false;
    }

    @Given("a network that loses {double} of all messages")
    public void loses(double share) {
        s.world.net.setDropShare(share);
    }

    @Given("a submission at each requester about every {long} ms")
    public void traffic(long ms) {
        s.startTraffic(ms * 1000);
    }

    @When("this happens")
    public void happens(DataTable t) {
        var rows = t.asLists();
        var head = rows.get(0);
        var acts = new ArrayList<Act>();
        for (var r : rows.subList(1, rows.size()))
            for (var c = 1; c < head.size(); c++)
                if (r.get(c) != null && !r.get(c).isBlank())
                    for (var w : r.get(c).split(";"))
                        acts.add(new Act(Double.parseDouble(r.get(0)), head.get(c), w.trim()));
        for (var a : acts) {
            s.runUntilSecond(a.at);
            act(a);
        }
    }

    private void act(Act a) {
        if (a.node.equals("seeds")) s.world.seedAddresses(List.of(a.what.split(" ")));
        else if (a.node.startsWith("requester") && a.what.startsWith("submit")) submit(a.node, a.what.split(" "));
        else if (a.node.equals("release")) s.world.wireVersion = Integer.parseInt(a.what);
        else if (a.what.startsWith("crowd")) crowd(a.node, Integer.parseInt(a.what.split(" ")[1]));
        else if (a.what.startsWith("swing")) s.setTokenSpread(Integer.parseInt(a.what.split(" ")[1]));
        else s.perform(a.node, a.what);
    }

    private void crowd(String node, int n) {
        for (var i = 0; i < n; i++) ((ClientMachine) s.world.machine(node)).submit(s.drawWork());
    }

    private void submit(String node, String[] p) {
        ((ClientMachine) s.world.machine(node))
                .submit(
                        new ClientMachine.Work(
                                s.world.serviceName,
                                p[2],
                                p[1],
                                p[1].equals("extract"),
                                "",
                                Integer.parseInt(p[4]),
                                p.length > 5 ? Integer.parseInt(p[5]) : 20_000),
                        p[3],
                        1);
    }

    @Then("until second {double} every promise is kept")
    public void kept(double second) {
        s.runUntilSecond(second);
        s.stopTraffic();
        s.runForSeconds(30);
        checks = s.createChecker();
        var wrong = checks.checkAll();
        if (!wrong.isEmpty()) throw new AssertionError(String.join("\n", wrong) + "\n" + s.world.timeline.render());
    }

    @Then("submissions asked from second {double} on are served")
    public void served(double second) {
        var from = s.startTime + (long) (second * 1e6);
        var asked = s.world.journal.replies.stream()
                .filter(t -> t.submittedAt >= from)
                .count();
        check(asked > 10, "only " + asked + " submissions were asked");
        var bad = s.createChecker().findUnserved(from);
        check(
                bad.isEmpty(),
                bad.size() + " of " + asked + " were not: " + bad + " " + s.world.journal.countReplies(from));
    }

    @Then("no submission is lost")
    public void noneLost() {
        var bad = checks.findLost();
        check(
                bad.isEmpty(),
                bad.size() + " of " + s.world.journal.submissionCount + ", first " + (bad.isEmpty() ? "" : bad.get(0))
                        + " " + s.world.journal.countReplies(0));
    }

    @Then("the operator was told {string}")
    public void told(String text) {
        check(s.operatorAnswers.stream().anyMatch(a -> a.startsWith(text)), "told " + s.operatorAnswers);
    }

    @Then("by second {double} the operator was told {string} and not {string}")
    public void notTold(double second, String text, String not) {
        s.runUntilSecond(second);
        told(text);
        check(s.operatorAnswers.stream().noneMatch(a -> a.startsWith(not)), "told " + s.operatorAnswers);
    }

    @Then("{string} on the timeline of {word}")
    public void shown(String text, String node) {
        check(s.world.timeline.contains(node, text), node + " never noted " + text + "\n" + s.world.timeline.render());
    }

    @Then("{string} on the timeline of any store")
    public void shownAtStore(String text) {
        var on = s.world.machinesOfType(StoreMachine.class).stream()
                .anyMatch(m -> s.world.timeline.contains(m.name, text));
        check(on, "no store noted " + text + "\n" + s.world.timeline.render());
    }

    @Then("{string} is on no timeline")
    public void nowhere(String text) {
        check(
                s.world.machines.keySet().stream().noneMatch(m -> s.world.timeline.contains(m, text)),
                text + " was noted");
    }

    @Then("by second {double} no step record was made")
    public void noSteps(double second) {
        s.runUntilSecond(second);
        for (var m : s.world.machinesOfType(StoreMachine.class))
            check(!s.world.timeline.contains(m.name, "CW1601"), m.name + " made a step record");
        check(!s.world.journal.moveCounts.isEmpty(), "no unit moved");
    }

    @Then("exactly {int} of the manifests sent were taken")
    public void taken(int n) {
        var t = s.world.journal.sentManifests.stream().filter(m -> m.accepted()).count() - 1;
        check(t == n, t + " were taken");
    }

    @Then("every node has the newest manifest")
    public void newest() {
        var v = s.world.manifestVersion();
        for (var m : s.world.machinesOfType(RouterMachine.class))
            check(m.router.membership().view().manifestRow().version == v, m.name + " has not " + v);
        for (var m : s.world.machinesOfType(StoreMachine.class))
            check(m.store.membership().view().manifestRow().version == v, m.name + " has not " + v);
    }

    @Then("key {word} ran exactly {int} time(s)")
    public void ran(String key, int n) {
        var c = s.world.journal.runs.stream()
                .filter(r -> r.idempotencyKey.equals(key))
                .count();
        check(c == n, "ran " + c + " times");
    }

    @Then("at least {int} runs started in {word} between seconds {double} and {double}")
    public void runsIn(int n, String zone, double from, double to) {
        var c = runs(zone, from, to);
        check(c >= n, c + " runs");
    }

    @Then("no run started in {word} between seconds {double} and {double}")
    public void noRunsIn(String zone, double from, double to) {
        var c = runs(zone, from, to);
        check(c == 0, c + " runs");
    }

    private long runs(String where, double from, double to) {
        return s.world.journal.runs.stream()
                .filter(r -> (r.zone.equals(where) || r.runner.equals(where))
                        && r.startedAt >= s.startTime + (long) (from * 1e6)
                        && r.startedAt < s.startTime + (long) (to * 1e6))
                .count();
    }

    @Then("{word} was declined first as {word} within {int} ms, told when to come back, and served in the end")
    public void declinedThenServed(String key, String kind, int ms) {
        var all = s.world.journal.replies.stream()
                .filter(t -> t.workKey.equals(key))
                .sorted(Comparator.comparingLong(t -> t.submittedAt))
                .toList();
        check(!all.isEmpty(), key + " was never told anything");
        var t = all.get(0);
        check(
                t.verdict.equals("declined")
                        && ProblemKind.of(t.problemCode).name().equals(kind)
                        && t.retryAfterMicros > 0,
                key + " was told " + t.verdict + " " + t.problemCode);
        check(
                t.receivedAt - t.submittedAt <= ms * 1000L,
                key + " was told after " + (t.receivedAt - t.submittedAt) / 1000 + " ms");
        check(all.get(all.size() - 1).verdict.equals("whole"), key + " ended as " + all.get(all.size() - 1).verdict);
    }

    @Then("by second {double} no unit has moved")
    public void stillThere(double second) {
        s.runUntilSecond(second);
        check(s.world.journal.moveCounts.isEmpty(), "moved: " + s.world.journal.moveCounts);
    }

    @Then("no unit moved more than {int} times, and {int} or more moved")
    public void moves(int most, int least) {
        var worst = s.world.journal.moveCounts.values().stream()
                .mapToInt(x -> x)
                .max()
                .orElse(0);
        check(
                worst <= most,
                "a unit moved " + worst + " times: " + s.world.journal.moveCounts + s.world.timeline.render());
        check(
                s.world.journal.moveCounts.size() >= least,
                s.world.journal.moveCounts.size() + " units moved\n" + s.world.timeline.render());
    }

    @Then("after second {double} nothing that may run outside {word} was declined")
    public void noneDeclined(double second, String region) {
        var bad = s.world.journal.replies.stream()
                .filter(t -> t.submittedAt >= s.startTime + (long) (second * 1e6)
                        && t.verdict.equals("declined")
                        && !t.allowedRegions.equals(region))
                .toList();
        check(
                bad.isEmpty(),
                bad.size() + " were, first "
                        + (bad.isEmpty() ? "" : bad.get(0).submissionId + " " + bad.get(0).problemCode));
    }

    @Then("after second {double} at most {int} submissions in a hundred were declined")
    public void fewDeclined(double second, int most) {
        var asked = s.world.journal.replies.stream()
                .filter(t -> t.submittedAt >= s.startTime + (long) (second * 1e6))
                .toList();
        var n = asked.stream().filter(t -> t.verdict.equals("declined")).count();
        check(
                asked.size() > 10 && n * 100 <= most * asked.size(),
                n + " of " + asked.size() + " were declined "
                        + s.world.journal.countReplies(s.startTime + (long) (second * 1e6)) + "\n"
                        + s.world.timeline.render());
    }

    @Then("verdict {word} was told at least {int} time(s)")
    public void verdicts(String verdict, int n) {
        var c = s.world.journal.replies.stream()
                .filter(t -> t.verdict.equals(verdict))
                .count();
        check(c >= n, c + " times");
    }

    @Then("service in {word} was back in time after second {double}")
    public void back(String zone, double second) {
        var from = s.startTime + (long) (second * 1e6);
        var first = s.world.journal.runs.stream()
                .filter(r -> r.zone.equals(zone) && r.startedAt >= from && r.complete)
                .mapToLong(r -> r.startedAt)
                .min();
        check(
                first.isPresent() && first.getAsLong() - from <= Limit.RETURN.micros(),
                "first run after " + (first.isPresent() ? (first.getAsLong() - from) / 1e6 : -1) + " s");
    }

    @Then("the runner {word} is {word} at every live router")
    public void runnerState(String runner, String state) {
        for (var m : s.world.machinesOfType(RouterMachine.class)) {
            var r = m.router
                    .membership()
                    .view()
                    .services()
                    .get(s.world.serviceName)
                    .runners
                    .get(runner);
            check(r != null && r.stateName().equals(state), m.name + " sees " + (r == null ? "none" : r.stateName()));
        }
    }

    @Given("a fleet of the wire version before under seed {long}")
    public void earlier(long seed) {
        s = FleetShape.SMALL.createScenario(seed, Node.WIRE_VERSION - 1);
    }

    @Then("seeds {long} to {long} of random faults on the {word} fleet keep every promise")
    public void chaos(long from, long to, String shape) {
        var sh = FleetShape.byName(shape);
        var bad = LongStream.rangeClosed(from, to)
                .parallel()
                .mapToObj(n -> RandomFaultRun.run(sh, n, RandomFaultRun.drawFaults(sh, n)))
                .filter(r -> !r.violations().isEmpty())
                .findFirst();
        if (bad.isEmpty()) return;
        var least = RandomFaultRun.minimize(sh, bad.get().seed(), bad.get().faults());
        throw new AssertionError("seed " + bad.get().seed() + ": " + bad.get().violations() + "\nshortest schedule: "
                + least + "\n" + RandomFaultRun.run(sh, bad.get().seed(), least).timeline());
    }

    @Then("days {long} to {long} on the {word} fleet keep every promise")
    public void days(long from, long to, String shape) {
        var bad = LongStream.rangeClosed(from, to)
                .parallel()
                .mapToObj(n -> SimulatedDay.run(FleetShape.byName(shape), n))
                .filter(r -> !r.violations().isEmpty())
                .findFirst();
        if (bad.isPresent())
            throw new AssertionError("day " + bad.get().seed() + ": "
                    + bad.get().violations() + "\n" + bad.get().timeline());
    }

    private void check(boolean ok, String text) {
        if (!ok) throw new AssertionError(text);
    }

    @After
    public void forget() {
        s = null;
    }
}
