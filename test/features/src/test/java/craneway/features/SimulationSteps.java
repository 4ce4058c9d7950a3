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

/** Steps that run a simulated fleet by a schedule of faults and check what its journal shows. */
public final class SimulationSteps {
    /** A command to a node, at a second of the simulation. */
    private record ScheduledAction(double second, String node, String command) {}

    private Scenario scenario;
    private PromiseChecker checks;

    @Given("a fleet under seed {long}")
    public void createFleet(long seed) {
        scenario = FleetShape.SMALL.createScenario(seed);
    }

    @Given("runners that start cold")
    public void startRunnersCold() {
        scenario.world.runnersStartWarm = false;
    }

    @Given("a network that loses {double} of all messages")
    public void loseMessages(double lossRate) {
        scenario.world.net.setDropShare(lossRate);
    }

    @Given("each requester submits about every {long} ms")
    public void startTraffic(long pauseMillis) {
        scenario.startTraffic(pauseMillis * 1000);
    }

    @When("this happens")
    public void runSchedule(DataTable table) {
        var rows = table.asLists();
        var nodes = rows.get(0);
        var actions = new ArrayList<ScheduledAction>();
        for (var row : rows.subList(1, rows.size()))
            for (var column = 1; column < nodes.size(); column++)
                if (row.get(column) != null && !row.get(column).isBlank())
                    for (var action : row.get(column).split(";"))
                        actions.add(
                                new ScheduledAction(Double.parseDouble(row.get(0)), nodes.get(column), action.trim()));
        for (var action : actions) {
            scenario.runUntilSecond(action.second);
            perform(action);
        }
    }

    private void perform(ScheduledAction action) {
        if (action.node.equals("seeds")) scenario.world.seedAddresses(List.of(action.command.split(" ")));
        else if (action.node.startsWith("requester") && action.command.startsWith("submit"))
            submit(action.node, action.command.split(" "));
        else if (action.node.equals("release")) scenario.world.wireVersion = Integer.parseInt(action.command);
        else if (action.command.startsWith("crowd"))
            submitBurst(action.node, Integer.parseInt(action.command.split(" ")[1]));
        else if (action.command.startsWith("swing"))
            scenario.setTokenSpread(Integer.parseInt(action.command.split(" ")[1]));
        else scenario.perform(action.node, action.command);
    }

    private void submitBurst(String node, int count) {
        for (var i = 0; i < count; i++) ((ClientMachine) scenario.world.machine(node)).submit(scenario.drawWork());
    }

    private void submit(String node, String[] words) {
        ((ClientMachine) scenario.world.machine(node))
                .submit(
                        new ClientMachine.Work(
                                scenario.world.serviceName,
                                words[2],
                                words[1],
                                words[1].equals("extract"),
                                "",
                                Integer.parseInt(words[4]),
                                words.length > 5 ? Integer.parseInt(words[5]) : 20_000),
                        words[3],
                        1);
    }

    @Then("until second {double} every promise is kept")
    public void checkPromisesUntil(double second) {
        scenario.runUntilSecond(second);
        scenario.stopTraffic();
        scenario.runForSeconds(30);
        checks = scenario.createChecker();
        var broken = checks.checkAll();
        if (!broken.isEmpty())
            throw new AssertionError(String.join("\n", broken) + "\n" + scenario.world.timeline.render());
    }

    @Then("submissions sent from second {double} on are served")
    public void checkServedFrom(double second) {
        var fromMicros = scenario.startTime + (long) (second * 1e6);
        var sentCount = scenario.world.journal.replies.stream()
                .filter(reply -> reply.submittedAt >= fromMicros)
                .count();
        check(sentCount > 10, "only " + sentCount + " submissions were sent");
        var unserved = scenario.createChecker().findUnserved(fromMicros);
        check(
                unserved.isEmpty(),
                unserved.size() + " of " + sentCount + " were not served: " + unserved + " "
                        + scenario.world.journal.countReplies(fromMicros));
    }

    @Then("no submission is lost")
    public void checkNoneLost() {
        var lost = checks.findLost();
        check(
                lost.isEmpty(),
                lost.size() + " of " + scenario.world.journal.submissionCount + ", first "
                        + (lost.isEmpty() ? "" : lost.get(0)) + " " + scenario.world.journal.countReplies(0));
    }

    @Then("the operator received {string}")
    public void checkOperatorReceived(String text) {
        check(
                scenario.operatorAnswers.stream().anyMatch(answer -> answer.startsWith(text)),
                "received " + scenario.operatorAnswers);
    }

    @Then("by second {double} the operator received {string} and not {string}")
    public void checkOperatorReceivedBy(double second, String text, String unwanted) {
        scenario.runUntilSecond(second);
        checkOperatorReceived(text);
        check(
                scenario.operatorAnswers.stream().noneMatch(answer -> answer.startsWith(unwanted)),
                "received " + scenario.operatorAnswers);
    }

    @Then("{string} is on the timeline of {word}")
    public void checkTimeline(String text, String node) {
        check(
                scenario.world.timeline.contains(node, text),
                node + " never showed " + text + "\n" + scenario.world.timeline.render());
    }

    @Then("{string} is on the timeline of any store")
    public void checkTimelineOfAnyStore(String text) {
        var found = scenario.world.machinesOfType(StoreMachine.class).stream()
                .anyMatch(store -> scenario.world.timeline.contains(store.name, text));
        check(found, "no store's timeline shows " + text + "\n" + scenario.world.timeline.render());
    }

    @Then("{string} is on no timeline")
    public void checkOnNoTimeline(String text) {
        check(
                scenario.world.machines.keySet().stream()
                        .noneMatch(machine -> scenario.world.timeline.contains(machine, text)),
                text + " is on a timeline");
    }

    @Then("by second {double} no step record was written")
    public void checkNoStepRecords(double second) {
        scenario.runUntilSecond(second);
        for (var store : scenario.world.machinesOfType(StoreMachine.class))
            check(!scenario.world.timeline.contains(store.name, "CW1601"), store.name + " wrote a step record");
        check(!scenario.world.journal.moveCounts.isEmpty(), "no unit moved");
    }

    @Then("exactly {int} of the manifests sent were accepted")
    public void checkAcceptedManifests(int expected) {
        var accepted = scenario.world.journal.sentManifests.stream()
                        .filter(manifest -> manifest.accepted())
                        .count()
                - 1;
        check(accepted == expected, accepted + " were accepted");
    }

    @Then("every node has the newest manifest")
    public void checkNewestManifestEverywhere() {
        var version = scenario.world.manifestVersion();
        for (var machine : scenario.world.machinesOfType(RouterMachine.class))
            check(
                    machine.router.membership().view().manifestRow().version == version,
                    machine.name + " does not have " + version);
        for (var machine : scenario.world.machinesOfType(StoreMachine.class))
            check(
                    machine.store.membership().view().manifestRow().version == version,
                    machine.name + " does not have " + version);
    }

    @Then("key {word} ran exactly {int} time(s)")
    public void checkRunsOfKey(String key, int expected) {
        var count = scenario.world.journal.runs.stream()
                .filter(run -> run.idempotencyKey.equals(key))
                .count();
        check(count == expected, "ran " + count + " times");
    }

    @Then("at least {int} runs started in {word} between seconds {double} and {double}")
    public void checkMinimumRuns(int minimum, String zone, double fromSecond, double toSecond) {
        var count = countRuns(zone, fromSecond, toSecond);
        check(count >= minimum, count + " runs");
    }

    @Then("no run started in {word} between seconds {double} and {double}")
    public void checkNoRuns(String zone, double fromSecond, double toSecond) {
        var count = countRuns(zone, fromSecond, toSecond);
        check(count == 0, count + " runs");
    }

    private long countRuns(String zoneOrRunner, double fromSecond, double toSecond) {
        return scenario.world.journal.runs.stream()
                .filter(run -> (run.zone.equals(zoneOrRunner) || run.runner.equals(zoneOrRunner))
                        && run.startedAt >= scenario.startTime + (long) (fromSecond * 1e6)
                        && run.startedAt < scenario.startTime + (long) (toSecond * 1e6))
                .count();
    }

    @Then("submission {word} was first declined as {word} within {int} ms with a retry time, and served in the end")
    public void checkDeclinedThenServed(String key, String kind, int maxDelayMillis) {
        var replies = scenario.world.journal.replies.stream()
                .filter(reply -> reply.workKey.equals(key))
                .sorted(Comparator.comparingLong(reply -> reply.submittedAt))
                .toList();
        check(!replies.isEmpty(), key + " never received a reply");
        var first = replies.get(0);
        check(
                first.verdict.equals("declined")
                        && ProblemKind.of(first.problemCode).name().equals(kind)
                        && first.retryAfterMicros > 0,
                key + " received " + first.verdict + " " + first.problemCode);
        check(
                first.receivedAt - first.submittedAt <= maxDelayMillis * 1000L,
                key + " received its verdict after " + (first.receivedAt - first.submittedAt) / 1000 + " ms");
        check(
                replies.get(replies.size() - 1).verdict.equals("whole"),
                key + " ended as " + replies.get(replies.size() - 1).verdict);
    }

    @Then("by second {double} no unit has moved")
    public void checkNoUnitMoved(double second) {
        scenario.runUntilSecond(second);
        check(scenario.world.journal.moveCounts.isEmpty(), "moved: " + scenario.world.journal.moveCounts);
    }

    @Then("no unit moved more than {int} times, and {int} or more moved")
    public void checkUnitMoves(int maxMovesPerUnit, int minMovedUnits) {
        var mostMoves = scenario.world.journal.moveCounts.values().stream()
                .mapToInt(moves -> moves)
                .max()
                .orElse(0);
        check(
                mostMoves <= maxMovesPerUnit,
                "a unit moved " + mostMoves + " times: " + scenario.world.journal.moveCounts
                        + scenario.world.timeline.render());
        check(
                scenario.world.journal.moveCounts.size() >= minMovedUnits,
                scenario.world.journal.moveCounts.size() + " units moved\n" + scenario.world.timeline.render());
    }

    @Then("after second {double} no submission that may run outside {word} was declined")
    public void checkNoneDeclinedOutside(double second, String region) {
        var declined = scenario.world.journal.replies.stream()
                .filter(reply -> reply.submittedAt >= scenario.startTime + (long) (second * 1e6)
                        && reply.verdict.equals("declined")
                        && !reply.allowedRegions.equals(region))
                .toList();
        check(
                declined.isEmpty(),
                declined.size() + " were, first "
                        + (declined.isEmpty() ? "" : declined.get(0).submissionId + " " + declined.get(0).problemCode));
    }

    @Then("after second {double} at most {int} submissions in a hundred were declined")
    public void checkFewDeclined(double second, int maxPercent) {
        var replies = scenario.world.journal.replies.stream()
                .filter(reply -> reply.submittedAt >= scenario.startTime + (long) (second * 1e6))
                .toList();
        var declined = replies.stream()
                .filter(reply -> reply.verdict.equals("declined"))
                .count();
        check(
                replies.size() > 10 && declined * 100 <= maxPercent * replies.size(),
                declined + " of " + replies.size() + " were declined "
                        + scenario.world.journal.countReplies(scenario.startTime + (long) (second * 1e6)) + "\n"
                        + scenario.world.timeline.render());
    }

    @Then("verdict {word} was reported at least {int} time(s)")
    public void checkVerdictCount(String verdict, int minimum) {
        var count = scenario.world.journal.replies.stream()
                .filter(reply -> reply.verdict.equals(verdict))
                .count();
        check(count >= minimum, count + " times");
    }

    @Then("service in {word} resumed within the limit after second {double}")
    public void checkServiceResumed(String zone, double second) {
        var fromMicros = scenario.startTime + (long) (second * 1e6);
        var firstRun = scenario.world.journal.runs.stream()
                .filter(run -> run.zone.equals(zone) && run.startedAt >= fromMicros && run.complete)
                .mapToLong(run -> run.startedAt)
                .min();
        check(
                firstRun.isPresent() && firstRun.getAsLong() - fromMicros <= Limit.RETURN.micros(),
                "first run after " + (firstRun.isPresent() ? (firstRun.getAsLong() - fromMicros) / 1e6 : -1) + " s");
    }

    @Then("the runner {word} is {word} at every live router")
    public void checkRunnerState(String runner, String state) {
        for (var machine : scenario.world.machinesOfType(RouterMachine.class)) {
            var row = machine.router
                    .membership()
                    .view()
                    .services()
                    .get(scenario.world.serviceName)
                    .runners
                    .get(runner);
            check(
                    row != null && row.stateName().equals(state),
                    machine.name + " sees " + (row == null ? "none" : row.stateName()));
        }
    }

    @Given("a fleet with the previous wire version under seed {long}")
    public void createFleetOfPreviousVersion(long seed) {
        scenario = FleetShape.SMALL.createScenario(seed, Node.WIRE_VERSION - 1);
    }

    @Then("seeds {long} to {long} of random faults on the {word} fleet keep every promise")
    public void runRandomFaults(long firstSeed, long lastSeed, String shape) {
        var fleetShape = FleetShape.byName(shape);
        var failed = LongStream.rangeClosed(firstSeed, lastSeed)
                .parallel()
                .mapToObj(seed -> RandomFaultRun.run(fleetShape, seed, RandomFaultRun.drawFaults(fleetShape, seed)))
                .filter(result -> !result.violations().isEmpty())
                .findFirst();
        if (failed.isEmpty()) return;
        var shortestSchedule = RandomFaultRun.minimize(
                fleetShape, failed.get().seed(), failed.get().faults());
        throw new AssertionError("seed " + failed.get().seed() + ": "
                + failed.get().violations() + "\nshortest schedule: " + shortestSchedule + "\n"
                + RandomFaultRun.run(fleetShape, failed.get().seed(), shortestSchedule)
                        .timeline());
    }

    @Then("days {long} to {long} on the {word} fleet keep every promise")
    public void runDays(long firstSeed, long lastSeed, String shape) {
        var failed = LongStream.rangeClosed(firstSeed, lastSeed)
                .parallel()
                .mapToObj(seed -> SimulatedDay.run(FleetShape.byName(shape), seed))
                .filter(result -> !result.violations().isEmpty())
                .findFirst();
        if (failed.isPresent())
            throw new AssertionError("day " + failed.get().seed() + ": "
                    + failed.get().violations() + "\n" + failed.get().timeline());
    }

    private void check(boolean condition, String message) {
        if (!condition) throw new AssertionError(message);
    }

    @After
    public void releaseScenario() {
        scenario = null;
    }
}
