import java.nio.file.Path;
import java.util.ArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A runner runs out of memory and puts its newest request back for less than a second, while the other runner is full. */
final class Silence {
    /** Tokens of memory of each runner, also in the configuration. */
    private static final int MEMORY = 6_900;
    /** Tokens of the newest request's prompt, with and without the disruption; the site's largest is 3,310. */
    private static final int LONG = 2_500, USUAL = 628;

    public static void main(String[] args) throws Exception {
        try (var record = new Record(Path.of(args[0]))) {
            System.exit(run(record));
        }
    }

    static int run(Record record) throws Exception {
        var cut = new AtomicInteger();
        try (var f = new Fleet(Setup.root(), record, 2, 1, 1)) {
            f.startAll();
            Setup.configure(f, record, 0, Setup.config(3, Setup.route("extract", "/ex/", "streaming", 15_000, 600, 2, true))
                    .replace("\"cache_tokens\":175335", "\"cache_tokens\":" + MEMORY));
            try (var a = new Runner("i-7f3a91c2", Setup.DEPOT, Fleet.runnerAddress(f, 0), "zg-a", 8, Setup.offices(f), record);
                    var b = new Runner("i-7f3a91c3", Setup.DEPOT, Fleet.runnerAddress(f, 1), "st-a", 8, Setup.offices(f), record)) {
                Term.watch(a, record);
                Term.watch(b, record);
                a.memory = MEMORY;
                b.memory = MEMORY;
                f.awaitReady(20_000);
                Thread.sleep(5_000);
                var clients = new ArrayList<Thread>();
                // Clients in split take all places of the runner there, clients in zagreb some of the other's.
                for (var i = 0; i < 8; i++) clients.add(client(f, f.in("st-a").get(0), record, Setup.tryId(), 20 + i, 110, 200, cut));
                for (var i = 0; i < 4; i++) clients.add(client(f, f.in("zg-a").get(0), record, Setup.tryId(), 40 + i, i == 0 ? 34 : 90, 1_000, cut));
                Thread.sleep(300);
                record.say("runner " + b.id + ": has " + b.running + " of its " + b.slots + " places taken; runner " + a.id + ": "
                        + a.running + " of " + a.slots);
                if (b.running.get() < b.slots || a.running.get() >= a.slots)
                    throw new IllegalStateException("the other runner is not full");
                var hupped = f.in("zg-a").get(1);
                f.signal(hupped, "router", "HUP");
                var newest = Setup.tryId();
                clients.add(client(f, hupped, record, newest, 60, 60, Setup.TROUBLE ? LONG : USUAL, cut));
                record.say("the newest request at " + a.id + " is to be " + newest);
                for (var t : clients) t.join(16_000);
                Thread.sleep(500);
            }
        } catch (Exception e) {
            Setup.cannot(record, e);
        }
        record.say(cut + " answers were cut");
        return cut.get() > 0 ? 1 : 0;
    }

    private static Thread client(
            Fleet f, Fleet.Machine m, Record record, String id, int no, int pieces, int in, AtomicInteger cut) throws InterruptedException {
        var t = Runner.thread(() -> ask(f, m, record, id, no, pieces, in, cut), "client");
        Thread.sleep(50);
        return t;
    }

    private static void ask(Fleet f, Fleet.Machine m, Record record, String id, int no, int pieces, int in, AtomicInteger cut) {
        var target = "/ex/" + pieces + "/50";
        record.say("client: " + id + " sends POST " + target + " with " + in + " tokens to " + m.name());
        var t = record.now();
        var r = Http.call(f.counter(m), "POST", target, Setup.headers(id, 15_000, "a1:119,b" + no + ":79,c" + no + ":" + (Math.max(1, in - 198)), in, 5 * pieces), new byte[1_700], 16_000);
        record.say(String.format("client: %s has %s after %.0f ms", id, r, record.now() - t));
        if (r.status != 0 && !r.whole) cut.incrementAndGet();
    }
}
