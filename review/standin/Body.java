import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients send bodies inside the configuration's limit of 4 MiB. */
final class Body {
    private static final int REQUESTS = 40, LONG = 3_000_000, USUAL = 18_000;

    public static void main(String[] args) throws Exception {
        try (var record = new Record(Path.of(args[0]))) {
            System.exit(run(record));
        }
    }

    static int run(Record record) throws Exception {
        var denied = new AtomicInteger();
        var served = new AtomicInteger();
        var other = new AtomicInteger();
        try (var f = new Fleet(Setup.root(), record, 1, 1, 1)) {
            f.startAll();
            Setup.configure(f, record, 0, Setup.config(3, Setup.route("summary", "/su/", "streaming", 5_000, 1_000, 1, false)));
            var runners = new ArrayList<Runner>();
            for (var z : Fleet.ZONES.keySet())
                runners.add(new Runner("i-7f3a91c" + runners.size(), Setup.DEPOT, Fleet.runnerAddress(f, runners.size()), z, 128, Setup.offices(f), record));
            for (var r : runners) Term.watch(r, record);
            f.awaitReady(20_000);
            Thread.sleep(5_000);
            var size = Setup.TROUBLE ? LONG : USUAL;
            for (var i = 0; i < REQUESTS; i++) {
                ask(f, f.machines.get(i % 3), size, record, denied, served, other);
                Thread.sleep(50);
            }
            runners.forEach(Runner::close);
        } catch (Exception e) {
            Setup.cannot(record, e);
        }
        var allowed = 5 + REQUESTS / 500;
        record.say(served + " served, " + denied + " ended with a 4xx of the router's own, " + other
                + " neither; the rule allows " + allowed + " with such a 4xx");
        return denied.get() > allowed ? 1 : 0;
    }

    private static void ask(
            Fleet f, Fleet.Machine m, int size, Record record, AtomicInteger denied, AtomicInteger served, AtomicInteger other) {
        var id = Setup.tryId();
        record.say("client: " + id + " sends POST /su/3/20 to " + m.name() + " with a body of " + size + " bytes");
        var r = new Http.Reply();
        try (var s = Http.connect(f.counter(m), 1_000)) {
            s.setSoTimeout(6_000);
            try {
                s.getOutputStream().write(Http.request("POST", "/su/3/20", Setup.headers(id, 5_000, "a1:2520,b2:3780,c" + id.substring(0, 6) + ":2890", 9_190, 15), new byte[size]));
            } catch (IOException e) {
                record.say("client: " + id + ": while sending: " + e.getMessage());
            }
            r = Http.read(s.getInputStream(), "POST");
        } catch (IOException e) {
            r.problem = e.toString();
        }
        record.say("client: " + id + " has " + r);
        if (r.status == 200 && r.whole) served.incrementAndGet();
        else if (r.status / 100 == 4 && r.status != 408 && r.status != 421 && r.status != 429 && !r.headers.containsKey("craneway-postmark"))
            denied.incrementAndGet();
        else other.incrementAndGet();
    }
}
