import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** One of the two processes of a runner is killed in the middle of its streams; its answers have no length. */
final class Short {
    private static final int PIECES = 40, CLIENTS = 12;
    private static final String ID = "i-7f3a91c2";
    private static final List<Process> WORKERS = new ArrayList<>();

    public static void main(String[] args) throws Exception {
        try (var record = new Record(Path.of(args[0]))) {
            System.exit(run(record));
        }
    }

    static int run(Record record) throws Exception {
        var shortened = new AtomicInteger();
        Runtime.getRuntime().addShutdownHook(new Thread(Short::endWorkers));
        try (var f = new Fleet(Setup.root(), record, 1, 1, 1)) {
            f.startAll();
            Setup.configure(f, record, 0, Setup.config(3, Setup.route("extract", "/ex/", "streaming", 15_000, 600, 2, true)));
            var address = Fleet.runnerAddress(f, 0);
            for (var i = 0; i < 2; i++) WORKERS.add(worker(address, i, record));
            var beats = Runner.thread(() -> beats(f, address), "beats");
            var others = new ArrayList<Runner>();
            for (var i = 1; i <= 5; i++)
                others.add(new Runner("i-7f3a91d" + i, Setup.DEPOT, Fleet.runnerAddress(f, i), i % 2 == 0 ? "st-a" : "os-a", 128, Setup.offices(f), record));
            for (var r : others) Term.watch(r, record);
            f.awaitReady(20_000);
            Thread.sleep(5_000);
            var clients = new ArrayList<Thread>();
            for (var i = 0; i < CLIENTS; i++) {
                clients.add(Runner.thread(() -> ask(f, f.in("zg-a").get(0), record, shortened), "client"));
                Thread.sleep(30);
            }
            Thread.sleep(1_500);
            if (Setup.TROUBLE) {
                record.say("platform: SIGKILL to worker 0 of runner " + ID);
                WORKERS.get(0).destroyForcibly();
            } else record.say("platform: kills nothing");
            for (var c : clients) c.join(16_000);
            beats.interrupt();
            others.forEach(Runner::close);
        } catch (Exception e) {
            Setup.cannot(record, e);
        }
        endWorkers();
        record.say(shortened + " streams were ended as complete before their last piece");
        return shortened.get() > 0 ? 1 : 0;
    }

    private static void endWorkers() {
        for (var w : WORKERS) w.destroyForcibly();
    }

    private static Process worker(String address, int no, Record record) throws IOException, InterruptedException {
        var at = address.lastIndexOf(':');
        var p = new ProcessBuilder(
                        "java", "-Xmx64m", "-cp", System.getProperty("java.class.path"), "Worker",
                        address.substring(0, at), address.substring(at + 1), ID)
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        var out = new BufferedReader(new InputStreamReader(p.getInputStream(), StandardCharsets.UTF_8));
        if (!"listens".equals(out.readLine())) throw new IOException("worker " + no + " does not listen");
        Runner.thread(() -> {
            try {
                for (var l = out.readLine(); l != null; l = out.readLine())
                    record.say("worker " + no + " of runner " + ID + ": " + l);
            } catch (IOException e) {
                // the worker has ended
            }
        }, "worker");
        return p;
    }

    private static void beats(Fleet f, String address) {
        var calls = new AtomicLong();
        try {
            while (true) {
                var body = String.format(
                        Locale.ROOT,
                        "{\"depot\":\"%s\",\"address\":\"%s\",\"zone\":\"zg-a\",\"edition\":\"v1\",\"slots\":128,"
                                + "\"state\":\"in_service\",\"warmup_ms\":0,\"call_count\":%d}",
                        Setup.DEPOT, address, calls.incrementAndGet());
                for (var o : Setup.offices(f))
                    if (Http.call(o, "PUT", "/runners/" + ID, Map.of("Content-Type", "application/json"),
                                    body.getBytes(StandardCharsets.UTF_8), 1_000).status == 200) break;
                TimeUnit.MILLISECONDS.sleep(1_200);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void ask(Fleet f, Fleet.Machine m, Record record, AtomicInteger shortened) {
        var id = Setup.tryId();
        var target = "/ex/" + PIECES + "/100";
        record.say("client: " + id + " sends POST " + target + " to " + m.name());
        var r = Http.call(f.counter(m), "POST", target, Setup.headers(id, 15_000, "a1:119,b2:79,c3:430", 628, 5 * PIECES), new byte[1_700], 16_000);
        var pieces = r.text().split("id: ", -1).length - 1;
        record.say("client: " + id + " has " + r + ", " + pieces + " of " + PIECES + " pieces");
        if (r.status == 200 && r.whole && pieces < PIECES) shortened.incrementAndGet();
    }
}
