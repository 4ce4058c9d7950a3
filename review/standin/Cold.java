import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A zone is emptied and taken back; its runner has become cold shortly before, and says so in its next beat. */
final class Cold {
    private static final double BOUND = 9.2 * 1.5 + 5;
    private static final String EMPTIED = "os-a";

    public static void main(String[] args) throws Exception {
        try (var record = new Record(Path.of(args[0]))) {
            System.exit(run(record));
        }
    }

    static int run(Record record) throws Exception {
        var worst = new AtomicInteger();
        var served = new AtomicInteger();
        var failed = new AtomicInteger();
        try (var f = new Fleet(Setup.root(), record, 2, 2, 2)) {
            f.startAll();
            Setup.configure(f, record, 0, Setup.config(3, Setup.route("extract", "/ex/", "streaming", 15_000, 600, 2, true)));
            var runners = new ArrayList<Runner>();
            var no = 0;
            for (var z : Fleet.ZONES.keySet())
                runners.add(new Runner("i-7f3a91c" + no, Setup.DEPOT, Fleet.runnerAddress(f, no++), z, 128, Setup.offices(f), record));
            var it = runners.get(2);
            var since = new ArrayDeque<Double>();
            it.watcher = new Runner.Watcher() {
                @Override
                public void arrived(Runner r, Runner.Asked a) {
                    synchronized (since) {
                        var now = record.now();
                        var cold = r.cold();
                        record.say("runner " + r.id + ": runs " + a.tryId() + (cold ? ", cold" : ""));
                        if (!cold) return;
                        since.add(now);
                        while (since.peek() < now - 1_000) since.poll();
                        worst.accumulateAndGet(since.size(), Math::max);
                    }
                }
            };
            f.awaitReady(20_000);
            Thread.sleep(5_000);
            var stop = new AtomicBoolean();
            var clients = new ArrayList<Thread>();
            for (var i = 0; i < 30; i++) {
                var c = i;
                clients.add(Runner.thread(() -> client(f, f.machines.get(c % f.machines.size()), c, stop, served, failed), "client"));
            }
            Thread.sleep(5_000);
            if (Setup.TROUBLE) {
                Setup.order(f, record, "POST", "/clearance/" + EMPTIED, Map.of(), null);
                Thread.sleep(7_000);
                while (it.nextBeat - System.nanoTime() < 1_100_000_000L) Thread.sleep(1);
                it.coldUntil = System.nanoTime() + 3_000_000_000L;
                record.say("runner " + it.id + ": has become cold for 3 s");
                Thread.sleep(100);
                Setup.order(f, record, "DELETE", "/clearance/" + EMPTIED, Map.of(), null);
            } else record.say("operator: no clearance, and nothing becomes cold");
            Thread.sleep(5_000);
            stop.set(true);
            for (var c : clients) c.join(3_000);
            runners.forEach(Runner::close);
        } catch (Exception e) {
            Setup.cannot(record, e);
        }
        record.say("clients: " + served + " served, " + failed + " not");
        record.say("the cold runner received at most " + worst + " requests in one second; the rule allows 18.8");
        return worst.get() > BOUND ? 1 : 0;
    }

    private static void client(
            Fleet f, Fleet.Machine m, int no, AtomicBoolean stop, AtomicInteger served, AtomicInteger failed) {
        var random = new Random(no);
        try {
            while (!stop.get()) {
                var id = Setup.tryId();
                var part = random.nextInt(281);
                var r = Http.call(f.counter(m), "POST", "/ex/3/20",
                        Setup.headers(id, 15_000, "a" + part % 40 + ":119,b" + part + ":79,c" + id.substring(0, 6) + ":430", 628, 15),
                        new byte[1_700], 16_000);
                (r.status == 200 && r.whole ? served : failed).incrementAndGet();
                Thread.sleep(150 + random.nextInt(250));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
