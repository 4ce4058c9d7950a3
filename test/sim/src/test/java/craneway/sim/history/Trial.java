package craneway.sim.history;

import craneway.sim.history.Operation.Outcome;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * One simulated run from a seed: operators work at all stores while faults come and go; then all is mended, and the newest state is
 * read back at every store.
 */
final class Trial {
    private static final long SECOND = 1_000_000;
    private static final long FOUNDING = 8 * SECOND;
    private static final long CALM = 8 * SECOND;
    private static final long READ_BACK = 12 * SECOND;
    private static final long LIST = 500_000;
    private static final int LIST_LAG = 6;
    private static final int MOST_UNDER_WAY = 8;
    private static final int LONG = 60_000;

    final long seed;
    final Fleet fleet;
    final OperatorNet net;
    final List<Operation> history = new ArrayList<>();
    private final Deque<List<String>> lists = new ArrayDeque<>();
    private final Faults faults;
    private final long stop;

    Trial(long seed, int stores, int seconds) {
        this(seed, stores, seconds, new Office(seed % 5 == 0 ? LONG : 0));
    }

    Trial(long seed, int stores, int seconds, Office office) {
        this.seed = seed;
        fleet = new Fleet(seed, stores);
        net = new OperatorNet(fleet, office);
        stop = fleet.sim.now() + FOUNDING + seconds * SECOND;
        faults = new Faults(fleet, stop);
    }

    /** As a seed has it: every third with six stores, every fifth with configurations so long that snapshots are taken. */
    static Trial of(long seed, int seconds) {
        return new Trial(seed, stores(seed), seconds);
    }

    /** Every third seed has six stores, the others three. */
    static int stores(long seed) {
        return seed % 3 == 0 ? 6 : 3;
    }

    /**
     * The same with stores that also read calls that were long on their way or waited for a frozen store: up to a second of it
     * goes unseen by store and caller, beside the store's patience with the core.
     */
    Trial readingLate() {
        net.latestRead = Long.MAX_VALUE;
        return this;
    }

    /** Plays it and tells what is wrong with its history; empty if nothing is. */
    String play() {
        keepList();
        fleet.run(FOUNDING);
        var operators = 2 + (int) Math.floorMod(seed, 3);
        for (var i = 1; i <= operators; i++) {
            var o = new OperatorClient(
                    "operator-" + i, fleet.sim, net, this::list, history, stop, faults::acknowledged);
            for (var n = 0; n < MOST_UNDER_WAY / operators; n++) o.work();
        }
        net.lostCalls = 0.01;
        net.lostAnswers = 0.05;
        net.lateCalls = 0.01;
        faults.usualLinks();
        faults.begin();
        fleet.sim.runUntil(stop);
        calm();
        var wrong = readBack() + HistoryChecker.check(history);
        return wrong.isEmpty() ? "" : "seed " + seed + ": " + wrong;
    }

    private void calm() {
        net.lostCalls = net.lostAnswers = net.lateCalls = 0;
        faults.over();
        fleet.run(CALM);
        faults.over();
        fleet.run(CALM);
    }

    private String readBack() {
        var wrong = new StringBuilder();
        for (var n : fleet.nodes()) {
            var before = history.size();
            var reader = new OperatorClient("read back", fleet.sim, net, () -> List.of(n.name), history, 0, () -> {});
            reader.read(READ_BACK);
            fleet.run(READ_BACK);
            if (history.size() == before)
                wrong.append("no read back at ").append(n.name).append('\n');
        }
        return wrong.toString();
    }

    private void keepList() {
        lists.add(fleet.nodes().stream().filter(StoreNode::lit).map(n -> n.name).toList());
        if (lists.size() > LIST_LAG) lists.poll();
        fleet.sim.scheduleAfter(LIST, this::keepList);
    }

    private List<String> list() {
        var lagging = lists.peek();
        return lagging.isEmpty() ? fleet.nodes().stream().map(n -> n.name).toList() : lagging;
    }

    int faults() {
        return faults.count;
    }

    long count(Outcome outcome) {
        return history.stream().filter(o -> o.outcome() == outcome).count();
    }
}
