package craneway.sim.history;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.sim.history.Operation.Outcome;
import craneway.sim.history.OperatorEndpoint.Request;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Histories of production stores under faults must be linearizable. For a longer run set {@code
 * -Dcraneway.history.from=FIRST -Dcraneway.history.seeds=COUNT}, or use {@link HistorySweep}.
 */
class HistoryTest {
    private static final int RUN_SECONDS = 60;
    private static final int DEFAULT_SEEDS = 20;
    private static final long MICROS_PER_SECOND = 1_000_000;

    @Test
    void historiesUnderFaultsAreLinearizable() {
        var from = Long.getLong("craneway.history.from", 1);
        var count = Integer.getInteger("craneway.history.seeds", DEFAULT_SEEDS);
        var violations = new StringBuilder();
        var acknowledgedCount = 0L;
        var unclearCount = 0L;
        for (var seed = from; seed < from + count; seed++) {
            var run = HistoryRun.of(seed, RUN_SECONDS);
            violations.append(run.play());
            acknowledgedCount += run.count(Outcome.ACKNOWLEDGED);
            unclearCount += run.count(Outcome.UNCLEAR);
        }
        assertEquals("", violations.toString());
        assertTrue(
                acknowledgedCount > 200L * count && unclearCount > 10L * count,
                acknowledgedCount + " and " + unclearCount);
    }

    /**
     * A store forwards a command over a cut link. It must have no effect when it arrives after its operator gave up and
     * after a later command was acknowledged.
     */
    @Test
    void aZoneCommandDelayedByACutLinkDoesNotUndoALaterOne() {
        assertEquals("", checkDelayedCommand(true));
        assertEquals("", checkDelayedCommand(false));
    }

    private static String checkDelayedCommand(boolean emptied) {
        var fleet = new StoreFleet(1, 3);
        fleet.net.heldShare = 1;
        fleet.run(10 * MICROS_PER_SECOND);
        var leader = fleet.leader();
        var isolated = fleet.nodes().stream()
                .filter(node -> node != leader)
                .findFirst()
                .orElseThrow();
        var history = new ArrayList<Operation>();
        markZone(fleet, leader, !emptied, true, history);
        fleet.nodes().forEach(node -> fleet.net.cut(isolated.name, node.name));
        markZone(fleet, isolated, emptied, true, history);
        fleet.run(MICROS_PER_SECOND / 2);
        markZone(fleet, leader, !emptied, true, history);
        fleet.net.heal();
        fleet.run(3 * MICROS_PER_SECOND);
        read(fleet, leader, history);
        assertEquals(List.of(Outcome.ACKNOWLEDGED, Outcome.UNCLEAR, Outcome.ACKNOWLEDGED), outcomes(history));
        return HistoryChecker.check(history);
    }

    /** A frozen store reads a command after its operator gave up and after a later command was acknowledged. */
    @Test
    void aZoneCommandReadAfterItsCallerGaveUpHasNoEffect() {
        assertEquals("", checkFrozenStore(true));
    }

    @Test
    void withoutThePauseGuardALateZoneCommandIsDetected() {
        assertTrue(checkFrozenStore(false).contains("explains z1"));
    }

    private static String checkFrozenStore(boolean guarded) {
        var fleet = new StoreFleet(1, 3);
        fleet.run(10 * MICROS_PER_SECOND);
        var leader = fleet.leader();
        var frozen = fleet.nodes().stream()
                .filter(node -> node != leader)
                .findFirst()
                .orElseThrow();
        var history = new ArrayList<Operation>();
        frozen.freeze();
        markZone(fleet, frozen, true, guarded, history);
        fleet.run(MICROS_PER_SECOND);
        markZone(fleet, leader, false, guarded, history);
        frozen.thaw();
        fleet.run(3 * MICROS_PER_SECOND);
        read(fleet, leader, history);
        assertEquals(List.of(Outcome.UNCLEAR, Outcome.ACKNOWLEDGED), outcomes(history));
        return HistoryChecker.check(history);
    }

    private static void read(StoreFleet fleet, StoreNode node, List<Operation> history) {
        var net = new OperatorNetwork(fleet, new OperatorEndpoint());
        new OperatorClient("reader", fleet.sim, net, () -> List.of(node.name), history, 0, () -> {})
                .read(3 * MICROS_PER_SECOND);
        fleet.run(5 * MICROS_PER_SECOND);
    }

    private static void markZone(
            StoreFleet fleet, StoreNode node, boolean emptied, boolean guarded, List<Operation> history) {
        var net = new OperatorNetwork(fleet, new OperatorEndpoint());
        net.pauseGuardEnabled = guarded;
        net.maxReadDelayMicros = Long.MAX_VALUE;
        var sentAt = fleet.sim.now();
        var outcome = new ArrayList<Outcome>();
        net.call(node, Request.markZone("z1", emptied), answer -> {
            if (answer.isOk()) outcome.add(Outcome.ACKNOWLEDGED);
        });
        fleet.run(MICROS_PER_SECOND);
        if (outcome.isEmpty()) outcome.add(Outcome.UNCLEAR);
        history.add(Operation.markZone("operator", "z1", emptied, sentAt, fleet.sim.now(), outcome.get(0)));
    }

    private static List<Outcome> outcomes(List<Operation> history) {
        return history.stream()
                .filter(operation -> operation.type() == Operation.Type.MARK_ZONE)
                .map(Operation::outcome)
                .toList();
    }
}
