package craneway.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

public final class Scenario {
    private static final long SECOND = 1_000_000;

    public final World world;
    public final List<String> operatorAnswers = new ArrayList<>();
    public final long startTime;
    private final Random random;
    private long pause = 40_000;
    private boolean startTraffic;
    private int setTokenSpread = 20;

    public Scenario(long seed, String manifest, int[] routers, int slots, int wire) {
        world = new World(seed, manifest, routers, slots);
        world.wireVersion = wire;
        random = new Random(seed ^ 0x5eed);
        world.bootstrap();
        startTime = world.sim.now();
    }

    public void startTraffic(long pauseMicros) {
        pause = pauseMicros;
        if (startTraffic) return;
        startTraffic = true;
        for (var r : world.machinesOfType(ClientMachine.class)) next(r);
    }

    public void setTokenSpread(int tokens) {
        setTokenSpread = tokens;
    }

    public void stopTraffic() {
        startTraffic = false;
    }

    private record Once(ClientMachine.Work work, String key) {}

    private final List<Once> asked = new ArrayList<>();

    private void next(ClientMachine r) {
        if (!startTraffic) return;
        if (!asked.isEmpty() && random.nextInt(20) == 0) {
            var o = asked.get(random.nextInt(asked.size()));
            r.submit(o.work, o.key, 1);
        } else {
            var w = drawWork();
            var key = r.submit(w);
            if (w.runOnce()) asked.add(new Once(w, key));
            if (asked.size() > 30) asked.remove(0);
        }
        world.sim.scheduleAfter((long) (pause * (0.5 + random.nextDouble())), () -> next(r));
    }

    public ClientMachine.Work drawWork() {
        var n = random.nextInt(10);
        var named = List.copyOf(world.manifest.tenants().keySet());
        var tenant =
                n == 0 && !named.isEmpty() ? named.get(random.nextInt(named.size())) : "tenant-" + random.nextInt(300);
        var services = List.copyOf(world.manifest.services().values());
        var service = services.get(services.size() == 1 ? 0 : random.nextInt(services.size()));
        var kinds = service.work();
        var regions = random.nextInt(12) == 0
                ? world.manifest
                        .homeRegions(tenant)
                        .get(random.nextInt(world.manifest.homeRegions(tenant).size()))
                : "";
        var k = random.nextInt(10);
        var w = kinds.get(k < 5 ? 0 : k < 8 ? 1 % kinds.size() : 2 % kinds.size());
        return new ClientMachine.Work(
                service.name(), tenant, w.name(), w.runOnce(), regions, 3 + random.nextInt(Math.max(1, setTokenSpread)), 20_000);
    }

    public void runUntilSecond(double seconds) {
        world.sim.runUntil(startTime + (long) (seconds * SECOND));
    }

    public void runForSeconds(double seconds) {
        world.sim.runUntil(world.sim.now() + (long) (seconds * SECOND));
    }

    public void perform(String node, String what) {
        var w = world;
        w.timeline.add(w.sim.now(), node, "* " + what);
        var p = what.split(" ");
        if (node.equals("operator")) operate(p);
        else if (node.equals("net")) network(p);
        else if (node.equals("all"))
            w.machines.values().stream()
                    .filter(m -> !(m instanceof ClientMachine))
                    .toList()
                    .forEach(m -> one(m, p));
        else if (w.manifest.zones().containsKey(node)) zone(node, p);
        else one(w.machine(node), p);
    }

    private void operate(String[] p) {
        var at = p.length > 2 ? p[2] : "store-1";
        switch (p[0]) {
            case "empty" -> world.emptyZone(p[1], at, operatorAnswers::add);
            case "take-back" -> world.takeBackZone(p[1], at, operatorAnswers::add);
            case "empty-cell" -> world.emptyCell(p[1], at, operatorAnswers::add);
            case "take-back-cell" -> world.takeBackCell(p[1], at, operatorAnswers::add);
            case "keep" -> world.keepTenant(p[1], List.of(p[3].split(",")), at, operatorAnswers::add);
            case "accept-claims" -> world.acceptClaims(p[1], operatorAnswers::add);
            case "send" -> world.sendManifest(manifestVariant(p[1]), Long.parseLong(p[3]), at);
            default -> throw new IllegalArgumentException("an operator does not " + p[0]);
        }
    }

    private void network(String[] p) {
        var share = Double.parseDouble(p[1]);
        switch (p[0]) {
            case "drop" -> world.net.setDropShare(share);
            case "double" -> world.net.setDuplicateShare(share);
            case "delay" -> world.net.setDelayShare(share);
            default -> throw new IllegalArgumentException("a network does not " + p[0]);
        }
    }

    public String manifestVariant(String mark) {
        if (mark.equals("invalid"))
            return world.manifestText
                    .replace("\"regions\": [", "\"regions\": [\"nowhere\", ")
                    .replace("\"weight\"", "\"wait\"");
        if (mark.startsWith("big")) return big(mark);
        return world.manifestText.replaceFirst(
                "\"claimRetentionMs\": \\d+",
                "\"claimRetentionMs\": " + (3_600_000 + Math.abs(mark.hashCode() % 1_000_000)));
    }

    private String big(String mark) {
        var b = new StringBuilder();
        for (var i = 0; i < 60_000; i++)
            b.append(",{\"name\":\"").append(mark).append("-office-").append(i).append("-of-a-long-name\"}");
        var at = world.manifestText.lastIndexOf(']');
        return world.manifestText.substring(0, at) + b + world.manifestText.substring(at);
    }

    private void zone(String zone, String[] p) {
        var inside = world.machines.values().stream()
                .filter(m -> m.zone.equals(zone))
                .toList();
        var outside = world.machines.values().stream()
                .filter(m -> !m.zone.equals(zone))
                .toList();
        switch (p[0]) {
            case "cut" -> {
                for (var a : inside)
                    for (var b : outside) {
                        world.net.cut(a, b);
                        world.net.cut(b, a);
                    }
                inside.forEach(m -> trouble(m.name));
            }
            case "cut-out" -> {
                for (var a : inside) for (var b : outside) world.net.cut(a, b);
                inside.forEach(m -> trouble(m.name));
            }
            case "heal" -> {
                for (var a : inside) for (var b : outside) world.net.heal(a, b);
                inside.forEach(m -> calm(m.name));
            }
            default ->
                inside.stream().filter(m -> !(m instanceof ClientMachine)).forEach(m -> one(m, p));
        }
    }

    private final Map<String, Journal.Outage> troubles = new HashMap<>();

    private void trouble(String node) {
        if (troubles.containsKey(node)) return;
        var d = new Journal.Outage(node, world.sim.now(), new long[] {Long.MAX_VALUE});
        troubles.put(node, d);
        world.journal.outages.add(d);
    }

    private void calm(String node) {
        var d = troubles.remove(node);
        if (d != null) d.endedAt()[0] = world.sim.now();
    }

    void endAllOutages() {
        List.copyOf(troubles.keySet()).forEach(this::calm);
    }

    private void one(Machine m, String[] p) {
        switch (p[0]) {
            case "kill" -> {
                trouble(m.name);
                m.crash();
            }
            case "start" -> {
                m.start();
                calm(m.name);
            }
            case "freeze" -> {
                trouble(m.name);
                m.freeze();
            }
            case "wake" -> {
                m.resume();
                calm(m.name);
            }
            case "power-loss" -> {
                trouble(m.name);
                m.crash();
                if (m instanceof StoreMachine s) s.disk.losePower(world.sim.random);
            }
            case "disk-loss" -> {
                trouble(m.name);
                m.crash();
                ((StoreMachine) m).disk.wipe();
            }
            case "disk-damage" -> damage((StoreMachine) m);
            case "disk-full" -> ((StoreMachine) m).disk.setFull(true);
            case "disk-free" -> ((StoreMachine) m).disk.setFull(false);
            case "disk-stall" -> {
                trouble(m.name);
                ((StoreMachine) m).setDiskStalled(true);
            }
            case "disk-go-on" -> {
                ((StoreMachine) m).setDiskStalled(false);
                calm(m.name);
            }
            case "slow" -> ((StoreMachine) m).setDiskDelay(Long.parseLong(p[1]));
            case "clock-jump" -> world.wallClockOffsets.put(m.name, Long.parseLong(p[1]) * SECOND);
            case "move-to" -> {
                m.address = p[1];
                world.net.register(m);
            }
            case "cut-from" -> {
                var o = world.machine(p[1]);
                world.net.cut(m, o);
                world.net.cut(o, m);
                trouble(m.name);
            }
            case "heal-with" -> {
                world.net.heal(m, world.machine(p[1]));
                calm(m.name);
            }
            case "cut-from-core" -> {
                for (var s : world.machinesOfType(StoreMachine.class)) {
                    world.net.cut(m, s);
                    world.net.cut(s, m);
                }
                trouble(m.name);
            }
            case "heal-with-core" -> {
                for (var s : world.machinesOfType(StoreMachine.class)) world.net.heal(m, s);
                calm(m.name);
            }
            case "stop-gently" -> {
                trouble(m.name);
                ((RouterMachine) m).stopGracefully();
            }
            case "rebuild" -> world.rebuildCore((StoreMachine) m, operatorAnswers::add);
            case "hand-over" -> ((StoreMachine) m).store.transferLeadership();
            case "leave" -> ((RunnerMachine) m).leave();
            case "go-dark" -> ((RunnerMachine) m).setSilent(true);
            case "ail" -> ((RunnerMachine) m).setFailing(true);
            case "recover" -> ((RunnerMachine) m).setFailing(false);
            case "come-back" -> ((RunnerMachine) m).setSilent(false);
            default -> throw new IllegalArgumentException("a machine does not " + p[0]);
        }
    }

    private void damage(StoreMachine s) {
        for (var n : s.disk.fileNames()) if (n.matches("p\\d\\.log\\.\\d+")) s.disk.corruptByte(n, 40);
    }

    public PromiseChecker createChecker() {
        world.recordFinalStates();
        var zr = new HashMap<String, String>();
        world.manifest.zones().values().forEach(z -> zr.put(z.name(), z.region()));
        var warmUp = new HashMap<String, Long>();
        world.manifest.services().values().forEach(s -> warmUp.put(s.name(), s.warmUpTime()));
        return new PromiseChecker(world.journal, zr, warmUp);
    }

    public long countCompleteSince(double seconds) {
        var from = startTime + (long) (seconds * SECOND);
        return world.journal.replies.stream()
                .filter(t -> t.verdict.equals("whole") && t.submittedAt >= from)
                .count();
    }
}
