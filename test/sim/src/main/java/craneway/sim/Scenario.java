package craneway.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Drives a simulated fleet: bootstraps it, generates traffic and performs the actions of operators and faults by name.
 */
public final class Scenario {
    private static final long MICROS_PER_SECOND = 1_000_000;

    public final World world;

    /** The responses to the operators' commands, in order. */
    public final List<String> operatorAnswers = new ArrayList<>();

    /** When the bootstrapped fleet was ready, in microseconds of simulated time. */
    public final long startTime;

    /**
     * Draws the traffic; separate from the fleet's source, so that the traffic does not depend on the fleet's draws.
     */
    private final Random random;

    private long meanPauseMicros = 40_000;
    private boolean trafficOn;
    private int tokenSpread = 20;

    /**
     * Builds and bootstraps the fleet.
     *
     * @param routers the number of routers in each zone
     * @param slots the number of slots of each runner
     * @param wireVersion the wire version that the nodes speak
     */
    public Scenario(long seed, String manifest, int[] routers, int slots, int wireVersion) {
        world = new World(seed, manifest, routers, slots);
        world.wireVersion = wireVersion;
        random = new Random(seed ^ 0x5eed);
        world.bootstrap();
        startTime = world.sim.now();
    }

    /** Starts the traffic, or changes its rate: each client submits once per pause on average. */
    public void startTraffic(long newMeanPauseMicros) {
        meanPauseMicros = newMeanPauseMicros;
        if (trafficOn) return;
        trafficOn = true;
        for (var client : world.machinesOfType(ClientMachine.class)) submitNext(client);
    }

    /** Sets the spread of response lengths: each has 3 tokens plus a random number below this. */
    public void setTokenSpread(int tokens) {
        tokenSpread = tokens;
    }

    /** Ends the traffic. */
    public void stopTraffic() {
        trafficOn = false;
    }

    /** Work with an idempotency key that was submitted before. */
    private record RunOnceWork(ClientMachine.Work work, String key) {}

    private final List<RunOnceWork> recentRunOnceWork = new ArrayList<>();

    /** Submits once and schedules the next submission; one in twenty repeats earlier work under its key. */
    private void submitNext(ClientMachine client) {
        if (!trafficOn) return;
        if (!recentRunOnceWork.isEmpty() && random.nextInt(20) == 0) {
            var earlier = recentRunOnceWork.get(random.nextInt(recentRunOnceWork.size()));
            client.submit(earlier.work, earlier.key, 1);
        } else {
            var work = drawWork();
            var key = client.submit(work);
            if (work.runOnce()) recentRunOnceWork.add(new RunOnceWork(work, key));
            if (recentRunOnceWork.size() > 30) recentRunOnceWork.remove(0);
        }
        world.sim.scheduleAfter((long) (meanPauseMicros * (0.5 + random.nextDouble())), () -> submitNext(client));
    }

    /** Draws a piece of work with its tenant, service, class of work and regions. */
    public ClientMachine.Work drawWork() {
        var tenantDraw = random.nextInt(10);
        var namedTenants = List.copyOf(world.manifest.tenants().keySet());
        var tenant = tenantDraw == 0 && !namedTenants.isEmpty()
                ? namedTenants.get(random.nextInt(namedTenants.size()))
                : "tenant-" + random.nextInt(300);
        var services = List.copyOf(world.manifest.services().values());
        var service = services.get(services.size() == 1 ? 0 : random.nextInt(services.size()));
        var workClasses = service.work();
        var regions = random.nextInt(12) == 0
                ? world.manifest
                        .homeRegions(tenant)
                        .get(random.nextInt(world.manifest.homeRegions(tenant).size()))
                : "";
        var classDraw = random.nextInt(10);
        var workClass =
                workClasses.get(classDraw < 5 ? 0 : classDraw < 8 ? 1 % workClasses.size() : 2 % workClasses.size());
        return new ClientMachine.Work(
                service.name(),
                tenant,
                workClass.name(),
                workClass.runOnce(),
                regions,
                3 + random.nextInt(Math.max(1, tokenSpread)),
                20_000);
    }

    /** Runs the simulation up to the given second after {@link #startTime}. */
    public void runUntilSecond(double seconds) {
        world.sim.runUntil(startTime + (long) (seconds * MICROS_PER_SECOND));
    }

    /** Runs the simulation for the given number of seconds. */
    public void runForSeconds(double seconds) {
        world.sim.runUntil(world.sim.now() + (long) (seconds * MICROS_PER_SECOND));
    }

    /**
     * Performs an action.
     *
     * @param node a machine, a zone, {@code all}, {@code operator} or {@code net}
     * @param action the name and its arguments, separated by blanks
     */
    public void perform(String node, String action) {
        var fleet = world;
        fleet.timeline.add(fleet.sim.now(), node, "* " + action);
        var words = action.split(" ");
        if (node.equals("operator")) performAsOperator(words);
        else if (node.equals("net")) performOnNetwork(words);
        else if (node.equals("all"))
            fleet.machines.values().stream()
                    .filter(machine -> !(machine instanceof ClientMachine))
                    .toList()
                    .forEach(machine -> performOnMachine(machine, words));
        else if (fleet.manifest.zones().containsKey(node)) performOnZone(node, words);
        else performOnMachine(fleet.machine(node), words);
    }

    private void performAsOperator(String[] words) {
        var node = words.length > 2 ? words[2] : "store-1";
        switch (words[0]) {
            case "empty" -> world.emptyZone(words[1], node, operatorAnswers::add);
            case "take-back" -> world.takeBackZone(words[1], node, operatorAnswers::add);
            case "empty-cell" -> world.emptyCell(words[1], node, operatorAnswers::add);
            case "take-back-cell" -> world.takeBackCell(words[1], node, operatorAnswers::add);
            case "keep" -> world.keepTenant(words[1], List.of(words[3].split(",")), node, operatorAnswers::add);
            case "accept-claims" -> world.acceptClaims(words[1], operatorAnswers::add);
            case "send" -> world.sendManifest(manifestVariant(words[1]), Long.parseLong(words[3]), node);
            default -> throw new IllegalArgumentException("unknown operator action " + words[0]);
        }
    }

    private void performOnNetwork(String[] words) {
        var share = Double.parseDouble(words[1]);
        switch (words[0]) {
            case "drop" -> world.net.setDropShare(share);
            case "double" -> world.net.setDuplicateShare(share);
            case "delay" -> world.net.setDelayShare(share);
            default -> throw new IllegalArgumentException("unknown network action " + words[0]);
        }
    }

    /**
     * A different text of the fleet's manifest for each name; {@code invalid} yields one that must be declined, a name
     * that starts with {@code big} one of several megabytes.
     */
    public String manifestVariant(String name) {
        if (name.equals("invalid"))
            return world.manifestText
                    .replace("\"regions\": [", "\"regions\": [\"nowhere\", ")
                    .replace("\"weight\"", "\"wait\"");
        if (name.startsWith("big")) return largeManifest(name);
        return world.manifestText.replaceFirst(
                "\"claimRetentionMs\": \\d+",
                "\"claimRetentionMs\": " + (3_600_000 + Math.abs(name.hashCode() % 1_000_000)));
    }

    private String largeManifest(String name) {
        var tenants = new StringBuilder();
        for (var i = 0; i < 60_000; i++)
            tenants.append(",{\"name\":\"")
                    .append(name)
                    .append("-office-")
                    .append(i)
                    .append("-of-a-long-name\"}");
        var end = world.manifestText.lastIndexOf(']');
        return world.manifestText.substring(0, end) + tenants + world.manifestText.substring(end);
    }

    private void performOnZone(String zone, String[] words) {
        var inside = world.machines.values().stream()
                .filter(machine -> machine.zone.equals(zone))
                .toList();
        var outside = world.machines.values().stream()
                .filter(machine -> !machine.zone.equals(zone))
                .toList();
        switch (words[0]) {
            case "cut" -> {
                for (var inner : inside)
                    for (var outer : outside) {
                        world.net.cut(inner, outer);
                        world.net.cut(outer, inner);
                    }
                inside.forEach(machine -> beginOutage(machine.name));
            }
            case "cut-out" -> {
                for (var inner : inside) for (var outer : outside) world.net.cut(inner, outer);
                inside.forEach(machine -> beginOutage(machine.name));
            }
            case "heal" -> {
                for (var inner : inside) for (var outer : outside) world.net.heal(inner, outer);
                inside.forEach(machine -> endOutage(machine.name));
            }
            default ->
                inside.stream()
                        .filter(machine -> !(machine instanceof ClientMachine))
                        .forEach(machine -> performOnMachine(machine, words));
        }
    }

    /** The open outage of each hindered node. */
    private final Map<String, Journal.Outage> openOutages = new HashMap<>();

    /** Records that time limits do not apply to a node from now on. */
    private void beginOutage(String node) {
        if (openOutages.containsKey(node)) return;
        var outage = new Journal.Outage(node, world.sim.now(), new long[] {Long.MAX_VALUE});
        openOutages.put(node, outage);
        world.journal.outages.add(outage);
    }

    private void endOutage(String node) {
        var outage = openOutages.remove(node);
        if (outage != null) outage.endedAt()[0] = world.sim.now();
    }

    /** Ends all open outages. */
    void endAllOutages() {
        List.copyOf(openOutages.keySet()).forEach(this::endOutage);
    }

    private void performOnMachine(Machine machine, String[] words) {
        switch (words[0]) {
            case "kill" -> {
                beginOutage(machine.name);
                machine.crash();
            }
            case "start" -> {
                machine.start();
                endOutage(machine.name);
            }
            case "freeze" -> {
                beginOutage(machine.name);
                machine.freeze();
            }
            case "wake" -> {
                machine.resume();
                endOutage(machine.name);
            }
            case "power-loss" -> {
                beginOutage(machine.name);
                machine.crash();
                if (machine instanceof StoreMachine store) store.disk.losePower(world.sim.random);
            }
            case "disk-loss" -> {
                beginOutage(machine.name);
                machine.crash();
                ((StoreMachine) machine).disk.wipe();
            }
            case "disk-damage" -> damageLogs((StoreMachine) machine);
            case "disk-full" -> ((StoreMachine) machine).disk.setFull(true);
            case "disk-free" -> ((StoreMachine) machine).disk.setFull(false);
            case "disk-stall" -> {
                beginOutage(machine.name);
                ((StoreMachine) machine).setDiskStalled(true);
            }
            case "disk-go-on" -> {
                ((StoreMachine) machine).setDiskStalled(false);
                endOutage(machine.name);
            }
            case "slow" -> ((StoreMachine) machine).setDiskDelay(Long.parseLong(words[1]));
            case "clock-jump" -> world.wallClockOffsets.put(machine.name, Long.parseLong(words[1]) * MICROS_PER_SECOND);
            case "move-to" -> {
                machine.address = words[1];
                world.net.register(machine);
            }
            case "cut-from" -> {
                var other = world.machine(words[1]);
                world.net.cut(machine, other);
                world.net.cut(other, machine);
                beginOutage(machine.name);
            }
            case "heal-with" -> {
                world.net.heal(machine, world.machine(words[1]));
                endOutage(machine.name);
            }
            case "cut-from-core" -> {
                for (var store : world.machinesOfType(StoreMachine.class)) {
                    world.net.cut(machine, store);
                    world.net.cut(store, machine);
                }
                beginOutage(machine.name);
            }
            case "heal-with-core" -> {
                for (var store : world.machinesOfType(StoreMachine.class)) world.net.heal(machine, store);
                endOutage(machine.name);
            }
            case "stop-gently" -> {
                beginOutage(machine.name);
                ((RouterMachine) machine).stopGracefully();
            }
            case "rebuild" -> world.rebuildCore((StoreMachine) machine, operatorAnswers::add);
            case "hand-over" -> ((StoreMachine) machine).store.transferLeadership();
            case "leave" -> ((RunnerMachine) machine).leave();
            case "go-dark" -> ((RunnerMachine) machine).setSilent(true);
            case "ail" -> ((RunnerMachine) machine).setFailing(true);
            case "recover" -> ((RunnerMachine) machine).setFailing(false);
            case "come-back" -> ((RunnerMachine) machine).setSilent(false);
            default -> throw new IllegalArgumentException("unknown machine action " + words[0]);
        }
    }

    /** Changes the byte at offset 40 of each log file on the machine's disk. */
    private void damageLogs(StoreMachine machine) {
        for (var fileName : machine.disk.fileNames())
            if (fileName.matches("p\\d\\.log\\.\\d+")) machine.disk.corruptByte(fileName, 40);
    }

    /** Records the final states and returns the checks over the journal. */
    public PromiseChecker createChecker() {
        world.recordFinalStates();
        var zoneRegion = new HashMap<String, String>();
        world.manifest.zones().values().forEach(zone -> zoneRegion.put(zone.name(), zone.region()));
        var warmUpMicros = new HashMap<String, Long>();
        world.manifest.services().values().forEach(service -> warmUpMicros.put(service.name(), service.warmUpTime()));
        return new PromiseChecker(world.journal, zoneRegion, warmUpMicros);
    }

    /** Counts complete replies to submissions sent at or after the given second. */
    public long countCompleteSince(double seconds) {
        var from = startTime + (long) (seconds * MICROS_PER_SECOND);
        return world.journal.replies.stream()
                .filter(reply -> reply.verdict.equals("whole") && reply.submittedAt >= from)
                .count();
    }
}
