import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/** The project's own programs, started by the run lines of the deploy file, each machine with a loopback address of its own. */
final class Fleet implements AutoCloseable {
    /** A machine; those of the core have a disk and run both roles. */
    record Machine(String name, String ip, String zone, boolean core) {}

    static final Map<String, String> ZONES = new LinkedHashMap<>();

    static {
        ZONES.put("zg-a", "zagreb");
        ZONES.put("st-a", "split");
        ZONES.put("os-a", "osijek");
    }

    private static final int REGISTRY = 0, OFFICE = 2, COUNTER = 3, READY = 8, SPARE = 40, SPAN = 56;

    final List<Machine> machines = new ArrayList<>();
    final int base;
    final Path folder;
    private final Path root;
    private final Record record;
    private final Map<String, Process> processes = new LinkedHashMap<>();

    /** As many machines in each zone as told; the first one of each zone is of the core. */
    Fleet(Path root, Record record, int... perZone) throws IOException {
        this.root = root;
        this.record = record;
        folder = Files.createTempDirectory("review");
        var random = new Random();
        var net = "127." + (10 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
        var z = 0;
        var n = 10;
        for (var zone : ZONES.keySet()) {
            for (var i = 0; i < perZone[z]; i++)
                machines.add(new Machine("counter-" + zone + "-" + (i + 1), net + n++, zone, i == 0));
            z++;
        }
        base = freeBase(random);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        Runner.thread(Fleet::giveUpInTime, "time");
    }

    /** A case that takes too long could not run. */
    private static void giveUpInTime() {
        try {
            Thread.sleep(110_000);
        } catch (InterruptedException e) {
            return;
        }
        System.exit(2);
    }

    private int freeBase(Random random) throws IOException {
        for (var i = 0; i < 50; i++) {
            var b = 15_000 + random.nextInt(150) * 100;
            if (allFree(b)) return b;
        }
        throw new IOException("no free ports");
    }

    private boolean allFree(int b) {
        for (var m : machines)
            for (var p : new int[] {REGISTRY, OFFICE, COUNTER, READY, SPARE, SPARE + 1})
                try (var s = new ServerSocket(b + p, 1, InetAddress.getByName(m.ip))) {
                    s.setReuseAddress(true);
                } catch (IOException e) {
                    return false;
                }
        return true;
    }

    List<Machine> core() {
        return machines.stream().filter(Machine::core).toList();
    }

    List<Machine> in(String zone) {
        return machines.stream().filter(m -> m.zone.equals(zone)).toList();
    }

    String office(Machine m) {
        return m.ip + ":" + (base + OFFICE);
    }

    String registry(Machine m) {
        return m.ip + ":" + (base + REGISTRY);
    }

    String counter(Machine m) {
        return m.ip + ":" + (base + COUNTER);
    }

    String readiness(Machine m) {
        return m.ip + ":" + (base + READY);
    }

    /** A free loopback address with a port for a stand-in runner. */
    static String runnerAddress(Fleet f, int no) {
        var ip = f.machines.get(0).ip;
        return ip.substring(0, ip.lastIndexOf('.') + 1) + (100 + no) + ":" + (f.base + 90);
    }

    private String settings(Machine m, String role, boolean first) {
        var seeds = new ArrayList<String>();
        core().forEach(c -> seeds.add('"' + office(c) + '"'));
        var s = new StringBuilder();
        s.append("node = \"").append(m.name).append("\"\n");
        s.append("role = \"").append(role).append("\"\n");
        s.append("machine_class = \"counter\"\n");
        s.append("serves_roles = ").append(role.equals("store") ? "[\"office\",\"registry\"]" : "[\"counter\"]").append("\n");
        s.append("ip = \"").append(m.ip).append("\"\n");
        s.append("zone = \"").append(m.zone).append("\"\n");
        s.append("region = \"").append(ZONES.get(m.zone)).append("\"\n");
        s.append("spare_ports = [").append(base + SPARE).append(",").append(base + SPARE + 15).append("]\n");
        s.append("seed_hosts = [").append(String.join(",", seeds)).append("]\n");
        s.append("first_boot = ").append(first).append("\n");
        s.append("quorum_member = ").append(m.core).append("\n");
        if (role.equals("store")) s.append("store_dir = \"").append(folder.resolve(m.name + "-data")).append("\"\n");
        s.append("discovery_source = \"roster\"\nentry_kind = \"registry\"\nheartbeat_ms = 1200\n");
        s.append("terms_in_force = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"places\"]\n");
        s.append("[zones]\n");
        ZONES.forEach((k, v) -> s.append(k).append(" = \"").append(v).append("\"\n"));
        s.append("[listen]\n");
        if (role.equals("store")) {
            s.append("office = \"").append(office(m)).append("\"\n");
            s.append("registry = \"").append(registry(m)).append("\"\n");
        } else {
            s.append("counter = \"").append(counter(m)).append("\"\n");
            s.append("readiness = \"").append(readiness(m)).append("\"\n");
        }
        s.append("[limits]\ncpu_fraction = 0.675\ncpus = 2\nram_mb = 430\nfile_handles = 4100\nline_mbps = 1000.0\nstorage_mb = 64\n");
        s.append("[withstand]\nmachine_losses = 1\nzones = 1\nregion_losses = 1\n");
        s.append("[tolerances]\nlist_lag_s = 3\nreaddress_s = 2\ncontact_ms = 4000\nreceipt_ms = 5000\nsync_s = 4\ndrain_ms = 3000\n");
        s.append("grace_s = 8\nloss_slack_ms = 200\napply_ms = 3000\nrevert_slack_ms = 250\nstretch_ms = 6000\nretry_ratio = 0.2\n");
        s.append("retry_window_s = 10\nretry_slack = 60\ncold_excess = 1.5\ncold_slack = 5\nevacuate_ms = 5000\nrecovery_s = 12\n");
        s.append("transit_ms = 400\nttl_max_s = 5\n");
        return s.toString();
    }

    private String[] runLine(String role) throws IOException {
        var text = Files.readString(root.resolve("deploy/system.toml"));
        var m = Pattern.compile("(?s)\\[roles\\." + role + "\\].*?run = \"([^\"]*)\"").matcher(text);
        if (!m.find()) throw new IOException("no run line of " + role);
        return m.group(1).split(" +");
    }

    /** Starts one process of a machine. */
    synchronized void start(Machine m, String role, boolean first) throws IOException {
        var file = folder.resolve(m.name + "-" + role + ".toml");
        Files.writeString(file, settings(m, role, first));
        var b = new ProcessBuilder(runLine(role)).directory(root.toFile());
        var path = System.getenv("PATH");
        var home = System.getenv("HOME");
        var java = System.getenv("JAVA_HOME");
        b.environment().clear();
        if (path != null) b.environment().put("PATH", path);
        if (home != null) b.environment().put("HOME", home);
        if (java != null) b.environment().put("JAVA_HOME", java);
        b.environment().put("CRANEWAY_NODE_FILE", file.toString());
        var log = folder.resolve(m.name + "-" + role + ".log").toFile();
        b.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        processes.put(m.name + " " + role, b.start());
        record.say("platform: starts " + role + " of " + m.name + " at " + m.ip);
    }

    void startAll() throws IOException {
        for (var m : core()) start(m, "store", true);
        for (var m : machines) start(m, "router", true);
    }

    Process process(Machine m, String role) {
        return processes.get(m.name + " " + role);
    }

    /** Sends a signal, by name, to a process that this fleet started. */
    void signal(Machine m, String role, String name) throws IOException, InterruptedException {
        record.say("platform: SIG" + name + " to " + role + " of " + m.name);
        new ProcessBuilder("kill", "-" + name, Long.toString(process(m, role).pid())).start().waitFor();
    }

    String log(Machine m, String role) throws IOException {
        return Files.readString(folder.resolve(m.name + "-" + role + ".log"));
    }

    /** Waits until every router is ready. */
    void awaitReady(long withinMillis) throws InterruptedException, IOException {
        var until = System.nanoTime() + withinMillis * 1_000_000;
        for (var m : machines) {
            while (Http.call(readiness(m), "GET", "/ready", Map.of(), null, 1_000).status != 200) {
                if (System.nanoTime() > until) throw new IOException(m.name + " does not become ready");
                Thread.sleep(50);
            }
        }
        record.say("platform: all routers are ready");
    }

    @Override
    public synchronized void close() {
        for (var p : processes.values()) p.destroyForcibly();
        for (var p : processes.values())
            try {
                p.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        processes.clear();
        try (var all = Files.walk(folder)) {
            all.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
        } catch (IOException e) {
            // gone already
        }
    }
}
