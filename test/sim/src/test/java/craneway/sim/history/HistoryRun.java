package craneway.sim.history;

import craneway.sim.history.Operation.Outcome;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * One simulated run from a seed: operators send commands to all stores while faults come and go; then everything is
 * repaired, and the newest state is read back at every store.
 */
final class HistoryRun {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long BOOTSTRAP_MICROS = 8 * MICROS_PER_SECOND;
    private static final long RECOVERY_MICROS = 8 * MICROS_PER_SECOND;
    private static final long READ_BACK_MICROS = 12 * MICROS_PER_SECOND;
    private static final long LIST_INTERVAL_MICROS = 500_000;
    private static final int LIST_LAG_INTERVALS = 6;
    private static final int MAX_CONCURRENT_CALLS = 8;
    private static final int LONG_CONFIGURATION_PADDING_BYTES = 60_000;

    final long seed;
    final StoreFleet fleet;
    final OperatorNetwork net;
    final List<Operation> history = new ArrayList<>();
    private final Deque<List<String>> recentLists = new ArrayDeque<>();
    private final FaultInjector faultInjector;
    private final long endTime;

    HistoryRun(long seed, int stores, int seconds) {
        this(seed, stores, seconds, new OperatorEndpoint(seed % 5 == 0 ? LONG_CONFIGURATION_PADDING_BYTES : 0));
    }

    HistoryRun(long seed, int stores, int seconds, OperatorEndpoint endpoint) {
        this.seed = seed;
        fleet = new StoreFleet(seed, stores);
        net = new OperatorNetwork(fleet, endpoint);
        endTime = fleet.sim.now() + BOOTSTRAP_MICROS + seconds * MICROS_PER_SECOND;
        faultInjector = new FaultInjector(fleet, endTime);
    }

    /**
     * A run as its seed determines: every third with six stores, every fifth with configurations so long that snapshots
     * are taken.
     */
    static HistoryRun of(long seed, int seconds) {
        return new HistoryRun(seed, storeCount(seed), seconds);
    }

    /** Every third seed has six stores, the others three. */
    static int storeCount(long seed) {
        return seed % 3 == 0 ? 6 : 3;
    }

    /**
     * The same run with stores that also read calls which were delayed for long or waited for a frozen store. Neither
     * the store nor the caller accounts for up to a second of that delay, in addition to the store's timeout for the
     * core.
     */
    HistoryRun withLateReads() {
        net.maxReadDelayMicros = Long.MAX_VALUE;
        return this;
    }

    /** Runs the simulation and returns what is wrong with its history; empty if nothing is. */
    String play() {
        updateList();
        fleet.run(BOOTSTRAP_MICROS);
        var operators = 2 + (int) Math.floorMod(seed, 3);
        for (var i = 1; i <= operators; i++) {
            var operator = new OperatorClient(
                    "operator-" + i,
                    fleet.sim,
                    net,
                    this::laggingNodeNames,
                    history,
                    endTime,
                    faultInjector::afterAcknowledgement);
            for (var callIndex = 0; callIndex < MAX_CONCURRENT_CALLS / operators; callIndex++) operator.scheduleNext();
        }
        net.lostCallShare = 0.01;
        net.lostAnswerShare = 0.05;
        net.lateCallShare = 0.01;
        faultInjector.setUsualLinkFaults();
        faultInjector.start();
        fleet.sim.runUntil(endTime);
        recover();
        var violations = readBack() + HistoryChecker.check(history);
        return violations.isEmpty() ? "" : "seed " + seed + ": " + violations;
    }

    private void recover() {
        net.lostCallShare = net.lostAnswerShare = net.lateCallShare = 0;
        faultInjector.endAll();
        fleet.run(RECOVERY_MICROS);
        faultInjector.endAll();
        fleet.run(RECOVERY_MICROS);
    }

    private String readBack() {
        var violations = new StringBuilder();
        for (var node : fleet.nodes()) {
            var operationsBefore = history.size();
            var reader =
                    new OperatorClient("read back", fleet.sim, net, () -> List.of(node.name), history, 0, () -> {});
            reader.read(READ_BACK_MICROS);
            fleet.run(READ_BACK_MICROS);
            if (history.size() == operationsBefore)
                violations
                        .append("no state was read back at ")
                        .append(node.name)
                        .append('\n');
        }
        return violations.toString();
    }

    /** Keeps the list of nodes of the last intervals, so that operators work with an outdated one. */
    private void updateList() {
        recentLists.add(fleet.nodes().stream()
                .filter(StoreNode::hasPower)
                .map(node -> node.name)
                .toList());
        if (recentLists.size() > LIST_LAG_INTERVALS) recentLists.poll();
        fleet.sim.scheduleAfter(LIST_INTERVAL_MICROS, this::updateList);
    }

    /** The list that operators know: it lags behind by {@link #LIST_LAG_INTERVALS} intervals. */
    private List<String> laggingNodeNames() {
        var outdated = recentLists.peek();
        return outdated.isEmpty()
                ? fleet.nodes().stream().map(node -> node.name).toList()
                : outdated;
    }

    int faultCount() {
        return faultInjector.faultCount;
    }

    long count(Outcome outcome) {
        return history.stream()
                .filter(operation -> operation.outcome() == outcome)
                .count();
    }
}
