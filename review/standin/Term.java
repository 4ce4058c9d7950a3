import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A router gets SIGTERM; a client that holds an earlier answer of the directory sends it a request more than 3 s later. */
final class Term {
    public static void main(String[] args) throws Exception {
        try (var record = new Record(Path.of(args[0]))) {
            System.exit(run(record));
        }
    }

    static int run(Record record) throws Exception {
        var broken = new AtomicInteger();
        try (var f = new Fleet(Setup.root(), record, 2, 1, 1)) {
            f.startAll();
            Setup.configure(f, record, 0, Setup.config(3, Setup.route("extract", "/ex/", "streaming", 15_000, 600, 2, true)));
            try (var r = new Runner("i-7f3a91c2", Setup.DEPOT, Fleet.runnerAddress(f, 0), "zg-a", 128, Setup.offices(f), record);
                    var r2 = new Runner("i-7f3a91c3", Setup.DEPOT, Fleet.runnerAddress(f, 1), "st-a", 128, Setup.offices(f), record)) {
                watch(r, record);
                watch(r2, record);
                f.awaitReady(20_000);
                Thread.sleep(5_000);
                var leaving = f.in("zg-a").get(1);
                var where = Http.call(f.registry(f.core().get(0)), "GET", "/lookup?name=" + Setup.HOST + "&region=zagreb&zone=zg-a", Map.of(), null, 1_000);
                record.say("client: /lookup -> " + where.status + " " + where.text());
                if (!where.text().contains(f.counter(leaving))) throw new IllegalStateException("not listed");
                var t0 = record.now();
                if (Setup.TROUBLE) f.signal(leaving, "router", "TERM");
                else record.say("platform: no SIGTERM");
                for (var at : new int[] {1_000, 3_300, 3_700, 4_100, 4_500}) {
                    Thread.sleep((long) Math.max(0, t0 + at - record.now()));
                    Runner.thread(() -> ask(f, leaving, record, t0, broken), "client");
                }
                Thread.sleep(10_000);
            }
        } catch (Exception e) {
            Setup.cannot(record, e);
        }
        return broken.get() > 0 ? 1 : 0;
    }

    static void ask(Fleet f, Fleet.Machine m, Record record, double t0, AtomicInteger broken) {
        var id = Setup.tryId();
        var at = record.now() - t0;
        record.say(String.format("client: %s sends POST /ex/50/100 to %s, %.0f ms after the SIGTERM", id, m.name(), at));
        var r = Http.call(f.counter(m), "POST", "/ex/50/100", Setup.headers(id, 15_000, "a1:119,b2:79,c" + id.substring(0, 4) + ":430", 628, 250), new byte[1_700], 16_000);
        record.say(String.format("client: %s has %s, %.0f ms after the SIGTERM", id, r, record.now() - t0));
        if (at > 3_000 && r.status != 0 && !r.whole) broken.incrementAndGet();
    }

    static void watch(Runner r, Record record) {
        r.watcher = new Runner.Watcher() {
            @Override
            public void arrived(Runner x, Runner.Asked a) {
                record.say("runner " + x.id + ": runs " + a.tryId() + " " + a.target());
            }

            @Override
            public void ended(Runner x, Runner.Asked a, boolean whole) {
                record.say("runner " + x.id + ": " + a.tryId() + (whole ? " is done" : " broke off: its caller closed"));
            }
        };
    }
}
