import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A router gets SIGTERM and serves on for a while; a configuration that is acknowledged meanwhile does not reach it. */
final class Leave {
    private static final int APPLY = 3_000;

    public static void main(String[] args) throws Exception {
        try (var record = new Record(Path.of(args[0]))) {
            System.exit(run(record));
        }
    }

    static int run(Record record) throws Exception {
        var broken = new AtomicInteger();
        try (var f = new Fleet(Setup.root(), record, 2, 1, 1)) {
            f.startAll();
            var kept = Setup.route("extract", "/ex/", "streaming", 15_000, 600, 2, true);
            var old = Setup.route("old", "/old/", "streaming", 15_000, 600, 2, true);
            var added = Setup.route("new", "/new/", "streaming", 15_000, 600, 2, true);
            Setup.configure(f, record, 0, Setup.config(3, kept, old));
            try (var a = new Runner("i-7f3a91c2", Setup.DEPOT, Fleet.runnerAddress(f, 0), "zg-a", 128, Setup.offices(f), record);
                    var b = new Runner("i-7f3a91c3", Setup.DEPOT, Fleet.runnerAddress(f, 1), "st-a", 128, Setup.offices(f), record)) {
                Term.watch(a, record);
                Term.watch(b, record);
                f.awaitReady(20_000);
                Thread.sleep(5_000);
                var m = f.in("zg-a").get(1);
                var where = Http.call(f.registry(f.core().get(0)), "GET", "/lookup?name=" + Setup.HOST + "&region=zagreb&zone=zg-a", Map.of(), null, 1_000);
                record.say("client: /lookup -> " + where.status + " " + where.text().trim());
                if (!where.text().contains(f.counter(m))) throw new IllegalStateException("the router is not listed");
                try (var one = Http.connect(f.counter(m), 1_000);
                        var two = Http.connect(f.counter(m), 1_000)) {
                    if (ask(one, "/old/1/0", record) != 200 || ask(two, "/ex/1/0", record) != 200)
                        throw new IllegalStateException("not served in calm");
                    var long_ = Runner.thread(() -> stream(f, m, record), "long");
                    Thread.sleep(100);
                    var t0 = record.now();
                    if (Setup.TROUBLE) f.signal(m, "router", "TERM");
                    else record.say("platform: no SIGTERM");
                    Thread.sleep((long) Math.max(0, t0 + 2_350 - record.now()));
                    Setup.configure(f, record, 3, Setup.config(5, kept, added));
                    var acked = record.now();
                    Thread.sleep((long) Math.max(0, acked + APPLY + 100 - record.now()));
                    record.say(String.format("%.0f ms after the SIGTERM, %.0f ms after the acknowledgement of edition 5:", record.now() - t0, record.now() - acked));
                    if (ask(one, "/old/1/0", record) == 200) broken.incrementAndGet();
                    if (ask(two, "/new/1/0", record) == 404) broken.incrementAndGet();
                    long_.join(10_000);
                }
            }
        } catch (Exception e) {
            Setup.cannot(record, e);
        }
        return broken.get() > 0 ? 1 : 0;
    }

    /** A request on a connection that is kept; 0 where the connection has ended. */
    private static int ask(Socket s, String target, Record record) {
        var id = Setup.tryId();
        record.say("client: " + id + " sends POST " + target + " on a kept connection");
        try {
            s.setSoTimeout(5_000);
            s.getOutputStream().write(Http.request("POST", target, Setup.headers(id, 5_000, "a1:119,b2:79,c1:430", 628, 5), new byte[1_700]));
            var r = Http.read(s.getInputStream(), "POST");
            record.say("client: " + id + " has " + r);
            return r.status;
        } catch (IOException e) {
            record.say("client: " + id + ": " + e);
            return 0;
        }
    }

    private static void stream(Fleet f, Fleet.Machine m, Record record) {
        var id = Setup.tryId();
        record.say("client: " + id + " sends POST /ex/65/100");
        var r = Http.call(f.counter(m), "POST", "/ex/65/100", Setup.headers(id, 15_000, "a1:119,b2:79,c2:430", 628, 325), new byte[1_700], 16_000);
        record.say("client: " + id + " has " + r);
    }
}
