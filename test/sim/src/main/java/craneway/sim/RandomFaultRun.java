package craneway.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Runs the simulator under a random schedule of faults that is drawn from a seed, and shortens a failing schedule. */
public final class RandomFaultRun {
    /**
     * One scheduled action: the second after the scenario's start, the machine, zone, {@code operator} or {@code net}
     * that it concerns, and the action with its arguments as {@link Scenario#perform} takes it.
     */
    public record Fault(double second, String target, String action) {
        /** The fault as one line of a schedule. */
        public String describe() {
            return String.format("%.2f %s %s", second, target, action);
        }
    }

    /** The outcome of a run: broken promises, the worst values measured and the timeline. */
    public record Result(
            long seed,
            List<Fault> faults,
            List<String> violations,
            PromiseChecker checks,
            String timeline,
            int submissions) {}

    /** The second at which all faults that are still active are healed. */
    private static final double HEAL_SECOND = 40;

    /** Seconds that a lost disk has for being restored before another disk may be lost. */
    private static final double DISK_REPAIR_SECONDS = 18;

    private RandomFaultRun() {}

    /**
     * Draws a schedule of two to seven faults with their repairs, and perhaps one late machine loss, sorted by time.
     */
    public static List<Fault> drawFaults(FleetShape shape, long seed) {
        var random = new Random(seed * 7919 + shape.name().hashCode());
        var faults = new ArrayList<Fault>();
        var faultCount = 2 + random.nextInt(6);
        for (var i = 0; i < faultCount; i++)
            addFault(shape, faults, random, 1 + random.nextDouble() * (HEAL_SECOND - 6));
        faults.sort((a, b) -> Double.compare(a.second, b.second));
        var schedule = separateDiskLosses(faults);
        addLateLoss(shape, schedule, random);
        return schedule;
    }

    /**
     * Turns a disk loss that comes before the previous one is repaired into a loss of power: the core tolerates one
     * lost disk at a time.
     */
    private static List<Fault> separateDiskLosses(List<Fault> faults) {
        var restoredAt = Double.NEGATIVE_INFINITY;
        for (var i = 0; i < faults.size(); i++) {
            var fault = faults.get(i);
            if (!fault.action.equals("disk-loss")) continue;
            if (fault.second < restoredAt + DISK_REPAIR_SECONDS)
                faults.set(i, new Fault(fault.second, fault.target, "power-loss"));
            else restoredAt = fault.second + 10;
        }
        return faults;
    }

    /** Perhaps adds one machine that stays down after the healing. A store only if no disk was lost recently. */
    private static void addLateLoss(FleetShape shape, List<Fault> faults, Random random) {
        var zoneIndex = random.nextInt(3);
        switch (random.nextInt(4)) {
            case 0 -> {
                var disksRestored = faults.stream()
                        .noneMatch(fault -> fault.action.equals("disk-loss")
                                && fault.second > HEAL_SECOND + 4 - DISK_REPAIR_SECONDS - 10);
                if (disksRestored) faults.add(new Fault(HEAL_SECOND + 4, "store-" + (1 + zoneIndex), "kill"));
            }
            case 1 -> faults.add(new Fault(HEAL_SECOND + 4, "router-" + (1 + zoneIndex) + "-1", "kill"));
            case 2 -> faults.add(new Fault(HEAL_SECOND + 4, shape.runnerName(0, 1), "kill"));
            default -> {}
        }
    }

    /**
     * Draws one fault that starts at the given second together with its end. The draws must keep their order: seeds are
     * replayed.
     */
    private static void addFault(FleetShape shape, List<Fault> faults, Random random, double at) {
        var until = Math.min(HEAL_SECOND - 1, at + 0.5 + random.nextDouble() * 10);
        var zoneIndex = random.nextInt(3);
        var zone = shape.zoneNames().get(zoneIndex);
        var otherZone = shape.zoneNames().get((zoneIndex + 1) % 3);
        var store = "store-" + (zoneIndex + 1);
        var router = "router-" + (zoneIndex + 1) + "-" + (1 + random.nextInt(shape.routersPerZone()[zoneIndex]));
        var runner = shape.runnerName(zoneIndex, random.nextInt(2));
        var node = List.of(store, router, runner).get(random.nextInt(3));
        switch (random.nextInt(22)) {
            case 0 -> addActions(faults, at, node, "kill", until, "start");
            case 1 -> addActions(faults, at, node, "freeze", until, "wake");
            case 2 -> addActions(faults, at, store, "power-loss", until, "start");
            case 3, 20 -> addActions(faults, at, store, "disk-loss", until, "start");
            case 4 -> addActions(faults, at, store, "disk-full", until, "disk-free");
            case 5 -> addActions(faults, at, zone, "cut", until, "heal");
            case 6 -> addActions(faults, at, zone, "kill", until, "start");
            case 7 -> addActions(faults, at, runner, "leave", until, "kill", until + 0.1, "start");
            case 8 -> addActions(faults, at, runner, "go-dark", until, "come-back");
            case 9 -> addActions(faults, at, router, "stop-gently", Math.max(until, at + 8), "start");
            case 10 -> addActions(faults, at, router, "cut-from-core", until, "heal-with-core");
            case 11 -> addActions(faults, at, "operator", "empty " + zone, until, "take-back " + zone);
            case 12 -> {
                faults.add(new Fault(at, "operator", "send v" + random.nextInt(1000) + " store-1 1"));
                faults.add(new Fault(at, "operator", "send w" + random.nextInt(1000) + " store-2 1"));
            }
            case 13 ->
                addActions(
                        faults,
                        at,
                        store,
                        "cut-from store-" + ((zoneIndex + 1) % 3 + 1),
                        until,
                        "heal-with store-" + ((zoneIndex + 1) % 3 + 1));
            case 14 -> addActions(faults, at, zone, "cut-out", until, "heal");
            case 15 -> addActions(faults, at, store, "disk-stall", until, "disk-go-on");
            case 16 -> addActions(faults, at, "net", "drop 0.05", until, "drop 0");
            case 17 -> addActions(faults, at, "net", "double 0.2", until, "double 0");
            case 18 -> addActions(faults, at, "net", "delay 0.1", until, "delay 0");
            case 19 -> {
                addActions(faults, at, "operator", "empty " + zone, until, "take-back " + zone);
                addActions(
                        faults,
                        at + 0.01,
                        "operator",
                        "empty " + otherZone + " store-2",
                        until + 0.01,
                        "take-back " + otherZone + " store-2");
            }
            default -> {
                faults.add(new Fault(at, node, "clock-jump " + (random.nextInt(7200) - 3600)));
                addActions(faults, at, node, "kill", until, "start");
            }
        }
    }

    /**
     * Adds the action {@code args[2]} at the second {@code args[0]} for the node {@code args[1]}, then further actions
     * of the node, each given by its second and the action.
     */
    private static void addActions(List<Fault> faults, Object... args) {
        var node = (String) args[1];
        faults.add(new Fault((Double) args[0], node, (String) args[2]));
        for (var i = 3; i < args.length; i += 2) faults.add(new Fault((Double) args[i], node, (String) args[i + 1]));
    }

    /**
     * Runs the schedule on a fleet of the given shape; heals everything at {@link #HEAL_SECOND} and then checks that
     * submissions are served.
     */
    public static Result run(FleetShape shape, long seed, List<Fault> faults) {
        var scenario = shape.createScenario(seed);
        scenario.world.runnersStartWarm = false;
        scenario.startTraffic(120_000);
        for (var fault : faults) {
            if (fault.second >= HEAL_SECOND) continue;
            scenario.runUntilSecond(fault.second);
            scenario.perform(fault.target, fault.action);
        }
        scenario.runUntilSecond(HEAL_SECOND);
        heal(scenario);
        for (var fault : faults) {
            if (fault.second < HEAL_SECOND) continue;
            scenario.runUntilSecond(fault.second);
            scenario.perform(fault.target, fault.action);
        }
        var recoveryCheckedFrom = HEAL_SECOND + 17;
        scenario.runUntilSecond(recoveryCheckedFrom + 10);
        scenario.stopTraffic();
        scenario.runUntilSecond(recoveryCheckedFrom + 50);
        var checks = scenario.createChecker();
        var violations = new ArrayList<>(checks.checkAll());
        violations.addAll(checks.findUnserved(scenario.startTime + (long) (recoveryCheckedFrom * 1e6)));
        return new Result(
                seed,
                faults,
                violations,
                checks,
                scenario.world.timeline.render(),
                scenario.world.journal.submissionCount);
    }

    /** Ends all faults, starts every machine that is down, and closes all recorded outages. */
    private static void heal(Scenario scenario) {
        scenario.world.net.heal();
        for (var machine : scenario.world.machines.values()) {
            if (machine instanceof StoreMachine storeMachine) {
                storeMachine.disk.setFull(false);
                storeMachine.setDiskStalled(false);
            }
            if (machine instanceof RunnerMachine runnerMachine) runnerMachine.setSilent(false);
            machine.resume();
            if (!machine.isRunning()) machine.start();
        }
        scenario.endAllOutages();
        scenario.world.timeline.add(scenario.world.sim.now(), "all", "* healed");
    }

    /** Removes faults one by one as long as the run still breaks a promise. */
    public static List<Fault> minimize(FleetShape shape, long seed, List<Fault> faults) {
        var schedule = faults;
        for (var shortened = true; shortened; ) {
            shortened = false;
            for (var i = 0; i < schedule.size() && !shortened; i++) {
                var candidate = new ArrayList<>(schedule);
                candidate.remove(i);
                if (run(shape, seed, candidate).violations.isEmpty()) continue;
                schedule = candidate;
                shortened = true;
            }
        }
        return schedule;
    }
}
