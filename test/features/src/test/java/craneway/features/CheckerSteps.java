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

/** Steps that insert faults into a journal of simulated submissions, to prove that the checkers find them. */
public final class CheckerSteps {
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final Journal journal = new Journal();
    private Scenario lyingDiskFleet;

    private static final String FIRST_MANIFEST =
            "{\"tenants\":[{\"name\":\"office-zagreb-centre\",\"regions\":[\"zagreb\"]},{\"name\":\"metered\",\"quotaPerMinute\":2}]}";

    /** The same manifest with a trailing blank, so that its text differs. */
    private static final String SECOND_MANIFEST = FIRST_MANIFEST + " ";

    @Given("a journal in which every promise was kept")
    public void journalWithoutBrokenPromise() {
        for (var i = 0; i < 20; i++) {
            addRun("s" + i, i % 4 == 0 ? "k" + i : "", "runner-a", "zagreb-1", (i + 2) * MICROS_PER_SECOND);
            addReply("s" + i, "whole", (i + 2) * MICROS_PER_SECOND);
            journal.submissionTimes.add((i + 2) * MICROS_PER_SECOND);
        }
        journal.submissionCount = 20;
        journal.sentManifests.add(new Journal.SentManifest(
                FIRST_MANIFEST, 0, MICROS_PER_SECOND, MICROS_PER_SECOND, true, 1, new long[] {MICROS_PER_SECOND}));
        for (var node : List.of("router-1", "store-1")) {
            journal.seenManifests.add(new Journal.SeenManifest(MICROS_PER_SECOND, node, 1, 1, FIRST_MANIFEST));
            journal.finalStates.add(new Journal.FinalState(node, 1, FIRST_MANIFEST, Map.of(), Map.of("registry", 7L)));
        }
    }

    private Journal.Run addRun(String submission, String key, String runner, String zone, long startMicros) {
        var run = new Journal.Run();
        run.submissionId = submission;
        run.idempotencyKey = key;
        run.runner = runner;
        run.service = "registry";
        run.zone = zone;
        run.cell = zone.replace("-1", "-a");
        run.tenant = "office-zagreb-centre";
        run.manifestVersion = 1;
        run.tableVersion = 7;
        run.startedAt = startMicros;
        run.endedAt = startMicros + MICROS_PER_SECOND;
        run.complete = true;
        run.slots = 8;
        run.concurrentRuns = 1;
        journal.runs.add(run);
        return run;
    }

    private Journal.Reply addReply(String submission, String verdict, long askedMicros) {
        var reply = new Journal.Reply();
        reply.submissionId = submission;
        reply.workKey = submission;
        reply.verdict = verdict;
        reply.submittedAt = askedMicros;
        reply.receivedAt = askedMicros + MICROS_PER_SECOND;
        reply.tenant = "office-zagreb-centre";
        reply.deadlineMillis = 20_000;
        reply.retryAfterMicros = MICROS_PER_SECOND;
        journal.replies.add(reply);
        return reply;
    }

    private void acceptSecondManifest(long version, long acceptedMicros) {
        journal.sentManifests.add(new Journal.SentManifest(
                SECOND_MANIFEST, version - 1, acceptedMicros, acceptedMicros, true, version, new long[] {acceptedMicros
                }));
        for (var node : List.of("router-1", "store-1"))
            journal.seenManifests.add(new Journal.SeenManifest(acceptedMicros, node, 1, version, SECOND_MANIFEST));
        journal.finalStates.replaceAll(
                end -> new Journal.FinalState(end.node(), version, SECOND_MANIFEST, end.marks(), end.tableVersions()));
    }

    private void addColdRun(int slots, int running, double secondsSinceStart) {
        var run = addRun(
                "x",
                "",
                "runner-a",
                "zagreb-1",
                30 * MICROS_PER_SECOND + (long) (secondsSinceStart * MICROS_PER_SECOND));
        run.runnerCold = true;
        run.runnerStartedAt = 30 * MICROS_PER_SECOND;
        run.slots = slots;
        run.concurrentRuns = running;
    }

    @When("{string} is planted")
    public void plantFault(String fault) {
        switch (fault) {
            case "a key that ran twice" -> addRun("x", "k4", "runner-a", "zagreb-1", 30 * MICROS_PER_SECOND);
            case "a declined submission that ran" -> addReply("s3", "declined", 3 * MICROS_PER_SECOND);
            case "a cut stream that looked finished" -> addReply("s3", "false-end", 3 * MICROS_PER_SECOND);
            case "a whole stream that no runner ended" -> addReply("never", "whole", 3 * MICROS_PER_SECOND);
            case "work on a runner 3.4 s after its leave" -> {
                journal.leaves.add(new Journal.Leave("runner-a", 0, 30 * MICROS_PER_SECOND));
                addRun("x", "", "runner-a", "zagreb-1", 33_400_000);
            }
            case "work in a zone 5.3 s after its confirm" -> {
                journal.emptiedAreas.add(new Journal.EmptiedArea(
                        "zagreb-1", "", 30 * MICROS_PER_SECOND, new long[] {60 * MICROS_PER_SECOND}));
                addRun("x", "", "runner-a", "zagreb-1", 35_300_000);
            }
            case "work in a cell 5.3 s after its confirm" -> {
                journal.emptiedAreas.add(new Journal.EmptiedArea(
                        "", "zagreb-a", 30 * MICROS_PER_SECOND, new long[] {60 * MICROS_PER_SECOND}));
                addRun("x", "", "runner-a", "zagreb-1", 35_300_000);
            }
            case "a node that slipped back" -> {
                acceptSecondManifest(2, 8 * MICROS_PER_SECOND);
                journal.seenManifests.add(
                        new Journal.SeenManifest(9 * MICROS_PER_SECOND, "router-1", 1, 1, FIRST_MANIFEST));
            }
            case "a node that restarted with an older manifest" -> {
                acceptSecondManifest(2, 8 * MICROS_PER_SECOND);
                journal.seenManifests.add(
                        new Journal.SeenManifest(9 * MICROS_PER_SECOND, "router-1", 2, 1, FIRST_MANIFEST));
            }
            case "work by the old manifest 3.4 s after the new one was everywhere" -> {
                acceptSecondManifest(2, 24 * MICROS_PER_SECOND);
                addRun("x", "", "runner-a", "zagreb-1", 27_400_000);
            }
            case "such work by a node that was frozen and just woke" -> {
                journal.outages.add(
                        new Journal.Outage("router-1", 20 * MICROS_PER_SECOND, new long[] {27 * MICROS_PER_SECOND}));
                acceptSecondManifest(2, 24 * MICROS_PER_SECOND);
                addRun("x", "", "runner-a", "zagreb-1", 27_400_000);
            }
            case "a node that got a manifest 3.4 s late, soon followed by another" -> {
                journal.sentManifests.add(new Journal.SentManifest(
                        SECOND_MANIFEST, 1, 24 * MICROS_PER_SECOND, 24 * MICROS_PER_SECOND, true, 2, new long[] {
                            Long.MAX_VALUE
                        }));
                acceptSecondManifest(3, 27_400_000);
            }
            case "a declined manifest in force" -> {
                journal.sentManifests.add(new Journal.SentManifest(
                        "bad", 1, 10 * MICROS_PER_SECOND, 10 * MICROS_PER_SECOND, false, 0, new long[] {Long.MAX_VALUE
                        }));
                journal.seenManifests.add(new Journal.SeenManifest(11 * MICROS_PER_SECOND, "router-1", 1, 2, "bad"));
            }
            case "work by a manifest that nobody was told is taken" ->
                addRun("x", "", "runner-a", "zagreb-1", 30 * MICROS_PER_SECOND).manifestVersion = 2;
            case "a node that ends without the newest manifest" -> {
                acceptSecondManifest(2, 24 * MICROS_PER_SECOND);
                journal.finalStates.add(
                        new Journal.FinalState("router-2", 1, FIRST_MANIFEST, Map.of(), Map.of("registry", 7L)));
            }
            case "two manifests taken as one version" ->
                journal.sentManifests.add(new Journal.SentManifest(
                        SECOND_MANIFEST, 0, 10 * MICROS_PER_SECOND, 10 * MICROS_PER_SECOND, true, 1, new long[] {
                            10 * MICROS_PER_SECOND
                        }));
            case "a confirmed mark that is gone" ->
                journal.emptiedAreas.add(
                        new Journal.EmptiedArea("split-1", "", 30 * MICROS_PER_SECOND, new long[] {Long.MAX_VALUE}));
            case "a kept tenant that is released by itself" ->
                journal.keptTenants.add(
                        new Journal.KeptTenant("office-zagreb-centre", List.of("zagreb"), 30 * MICROS_PER_SECOND));
            case "a table step that is lost" ->
                addRun("x", "", "runner-a", "zagreb-1", 30 * MICROS_PER_SECOND).tableVersion = 8;
            case "a quota that is given out anew" -> {
                for (var i = 0; i < 5; i++)
                    addRun("q" + i, "", "runner-a", "zagreb-1", 30 * MICROS_PER_SECOND + i).tenant = "metered";
            }
            case "work run outside its home regions" -> addRun("x", "", "runner-b", "split-1", 30 * MICROS_PER_SECOND);
            case "work run outside the regions it asked for" -> {
                addRun("x", "", "runner-b", "split-1", 30 * MICROS_PER_SECOND).tenant = "t";
                addReply("x", "whole", 30 * MICROS_PER_SECOND).allowedRegions = "zagreb,osijek";
            }
            case "work of a kept tenant elsewhere" -> {
                journal.keptTenants.add(new Journal.KeptTenant("t", List.of("zagreb"), 30 * MICROS_PER_SECOND));
                addRun("x", "", "runner-b", "split-1", 35_300_000).tenant = "t";
            }
            case "a second stream on a cold runner of 2 slots after 2.4 s" -> addColdRun(2, 2, 2.4);
            case "a third stream on a cold runner of 8 slots after 1.8 s" -> addColdRun(8, 3, 1.8);
            case "eleven extra runs more than a fifth" -> {
                for (var i = 0; i < 15; i++)
                    addRun("s1", "", "runner-a", "zagreb-1", 3 * MICROS_PER_SECOND + i * MICROS_PER_SECOND);
            }
            case "eleven extra runs within 10 s of silence" -> {
                for (var i = 0; i < 11; i++) addRun("s1", "", "runner-a", "zagreb-1", 50 * MICROS_PER_SECOND + i);
            }
            case "fifteen forwards beyond the first hop" -> {
                for (var i = 0; i < 16; i++)
                    journal.forwards.add(new Journal.Forward(3 * MICROS_PER_SECOND + i * MICROS_PER_SECOND, "s1"));
            }
            case "a submission that lost its router in a planned restart" ->
                addReply("gone", "lost", 3 * MICROS_PER_SECOND);
            case "a submission that was declined and never served" ->
                addReply("gone", "declined", 3 * MICROS_PER_SECOND);
            case "a submission without a verdict" -> journal.submissionCount++;
            case "a decline after 0.51 of the deadline" ->
                addReply("late", "declined", 3 * MICROS_PER_SECOND).receivedAt = 13_200_000;
            default -> throw new IllegalArgumentException(fault);
        }
    }

    private List<String> brokenPromises() {
        journal.serviceName = "registry";
        var checks = new PromiseChecker(
                journal, Map.of("zagreb-1", "zagreb", "split-1", "split"), Map.of("registry", 5 * MICROS_PER_SECOND));
        var problems = new ArrayList<>(checks.checkAll());
        problems.addAll(checks.findLost());
        return problems;
    }

    @Then("the checker finds {string}")
    public void checkerFinds(String text) {
        var problems = brokenPromises();
        if (problems.stream().noneMatch(problem -> problem.contains(text)))
            throw new AssertionError("found " + problems);
    }

    @Then("the checker finds nothing")
    public void checkerFindsNothing() {
        var problems = brokenPromises();
        if (!problems.isEmpty()) throw new AssertionError("found " + problems);
    }

    @Given("a fleet whose disks lie about sync under seed {long}")
    public void fleetWithLyingDisks(long seed) {
        lyingDiskFleet = FleetShape.SMALL.createScenario(seed);
        lyingDiskFleet.world.machinesOfType(StoreMachine.class).forEach(store -> store.disk.setIgnoresSync(true));
    }

    @When("all stores lose power at once after manifest 2 was taken")
    public void losePowerAfterManifest() {
        lyingDiskFleet.perform("operator", "send v store-1 1");
        lyingDiskFleet.runUntilSecond(4);
        for (var i = 1; i <= 3; i++) lyingDiskFleet.perform("store-" + i, "power-loss");
        lyingDiskFleet.runUntilSecond(5);
        for (var i = 1; i <= 3; i++) lyingDiskFleet.perform("store-" + i, "start");
        for (var machine : List.copyOf(lyingDiskFleet.world.machines.keySet()))
            if (machine.startsWith("router")) lyingDiskFleet.perform(machine, "kill");
        lyingDiskFleet.runUntilSecond(6);
        for (var machine : List.copyOf(lyingDiskFleet.world.machines.keySet()))
            if (machine.startsWith("router")) lyingDiskFleet.perform(machine, "start");
        lyingDiskFleet.runUntilSecond(40);
    }

    @Then("the checkers find a broken promise")
    public void checkersFindBrokenPromise() {
        var problems = lyingDiskFleet.createChecker().checkAll();
        if (problems.isEmpty()) throw new AssertionError("nothing was found");
    }
}
