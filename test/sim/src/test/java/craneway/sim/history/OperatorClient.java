package craneway.sim.history;

import craneway.sim.Simulation;
import craneway.sim.history.Office.Answer;
import craneway.sim.history.Office.Request;
import craneway.sim.history.Operation.Outcome;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;

/**
 * An operator with several orders under way: sends configurations on the version it knows as the newest, sends taken ones again,
 * empties zones and takes them back, and reads back. Writes down what it saw.
 */
final class OperatorClient {
    private static final long CONFIGURATION_PATIENCE = 10_000_000;
    private static final long RECEIPT = 6_000_000;
    private static final long READ_PATIENCE = 3_000_000;
    private static final long THINK = 900_000;
    private static final int STEPS = 3;

    private final String name;
    private final Simulation sim;
    private final Random random;
    private final OperatorNet net;
    private final Supplier<List<String>> list;
    private final List<Operation> history;
    private final List<Request> taken = new ArrayList<>();
    private final long stop;
    private final Runnable acknowledged;
    private long known;
    private int count;

    /** Hears of each acknowledged order of its own through {@code acknowledged}. */
    OperatorClient(
            String name,
            Simulation sim,
            OperatorNet net,
            Supplier<List<String>> list,
            List<Operation> history,
            long stop,
            Runnable acknowledged) {
        this.acknowledged = acknowledged;
        this.name = name;
        this.sim = sim;
        this.net = net;
        this.list = list;
        this.history = history;
        this.stop = stop;
        random = new Random(sim.random.nextLong());
    }

    /** One order after the other until the end. */
    void work() {
        sim.scheduleAfter((long) (random.nextDouble() * THINK), () -> {
            if (sim.now() < stop) next();
        });
    }

    private void next() {
        var dice = random.nextDouble();
        if (known == 0 || dice < 0.35) configure();
        else if (dice < 0.45 && !taken.isEmpty()) again(taken.get(random.nextInt(taken.size())));
        else if (dice < 0.75) mark("z" + (1 + random.nextInt(2)), random.nextBoolean());
        else read(READ_PATIENCE);
    }

    private void configure() {
        var value = name + "-" + ++count;
        again(Request.configure(known, known + 1 + random.nextInt(STEPS), value));
    }

    private void again(Request q) {
        call(q, CONFIGURATION_PATIENCE, new OperatorCall.Listener() {
            @Override
            public void tried(long from, Answer a) {}

            @Override
            public void over(long from, Answer a) {
                history.add(Operation.configure(name, q.base(), q.number(), q.value(), from, sim.now(), outcome(a)));
                if (a != null && a.ok()) took(q);
                else read(READ_PATIENCE);
                if (a != null && a.ok()) work();
            }
        });
    }

    private void took(Request q) {
        if (!taken.contains(q)) taken.add(q);
        known = Math.max(known, q.number());
        acknowledged.run();
    }

    private static Outcome outcome(Answer a) {
        if (a == null) return Outcome.UNCLEAR;
        return a.ok() ? Outcome.ACKNOWLEDGED : Outcome.REFUSED;
    }

    /** A zone's order is written down try by try: nothing tells one try from the next, so each may count. */
    private void mark(String zone, boolean emptied) {
        call(Request.mark(zone, emptied), RECEIPT, new OperatorCall.Listener() {
            @Override
            public void tried(long from, Answer a) {
                var outcome = a != null && a.status() >= 500 || a == Answer.BROKEN ? Outcome.UNCLEAR : outcome(a);
                history.add(Operation.mark(name, zone, emptied, from, sim.now(), outcome));
                if (outcome == Outcome.ACKNOWLEDGED) acknowledged.run();
            }

            @Override
            public void over(long from, Answer a) {
                work();
            }
        });
    }

    /** Reads back, and goes on. */
    void read(long patience) {
        call(Request.read(), patience, new OperatorCall.Listener() {
            @Override
            public void tried(long from, Answer a) {
                if (a != null && a.ok()) heard(from, a);
            }

            @Override
            public void over(long from, Answer a) {
                work();
            }
        });
    }

    private void heard(long from, Answer a) {
        var m = a.manifest();
        known = Math.max(known, m.version);
        var value = m.version == 0 ? Operation.NOTHING : Office.value(m.sourceText);
        history.add(Operation.readConfiguration(name, m.version, value, from, sim.now()));
        for (var z : List.of("z1", "z2"))
            history.add(Operation.readZone(name, z, m.marks.containsKey("zone:" + z), from, sim.now()));
    }

    private void call(Request q, long patience, OperatorCall.Listener l) {
        new OperatorCall(sim, net, list, q, patience, l).begin();
    }
}
