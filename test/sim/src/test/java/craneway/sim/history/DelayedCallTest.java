package craneway.sim.history;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.sim.history.Operation.Outcome;
import craneway.sim.history.OperatorEndpoint.Request;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A delayed call: its store reads it while the caller still waits and then allows the core 0.8 s, although the caller
 * gives up one second after it sent the call.
 */
class DelayedCallTest {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long CALL_DELAY_MICROS = 400_000;
    private static final long POLL_INTERVAL_MICROS = 5_000;

    private final StoreFleet fleet = new StoreFleet(1, 3);
    private final OperatorNetwork net = new OperatorNetwork(fleet, new OperatorEndpoint());
    private final List<Operation> history = new ArrayList<>();

    @Test
    void aZoneCommandThatReachesItsStoreLateDoesNotUndoALaterOne() {
        net.maxReadDelayMicros = Long.MAX_VALUE;
        fleet.net.heldShare = 1;
        fleet.run(10 * MICROS_PER_SECOND);
        var leader = fleet.leader();
        var isolated = fleet.nodes().stream()
                .filter(node -> node != leader)
                .findFirst()
                .orElseThrow();
        markZone(isolated, false);
        var sentAt = fleet.sim.now();
        fleet.sim.scheduleAfter(CALL_DELAY_MICROS, () -> {
            fleet.nodes().forEach(node -> fleet.net.cut(isolated.name, node.name));
            net.call(isolated, Request.markZone("z1", true), answer -> {});
        });
        fleet.run(MICROS_PER_SECOND);
        history.add(Operation.markZone("operator", "z1", true, sentAt, fleet.sim.now(), Outcome.UNCLEAR));
        markZone(leader, false);
        fleet.net.heal();
        fleet.run(4 * MICROS_PER_SECOND);
        var nodeNames = List.of(leader.name);
        new OperatorClient("reader", fleet.sim, net, () -> nodeNames, history, 0, () -> {}).read(MICROS_PER_SECOND);
        fleet.run(MICROS_PER_SECOND);
        assertEquals("", HistoryChecker.check(history));
    }

    private void markZone(StoreNode node, boolean emptied) {
        var sentAt = fleet.sim.now();
        var acknowledged = new ArrayList<Boolean>();
        net.call(node, Request.markZone("z1", emptied), answer -> acknowledged.add(answer.isOk()));
        while (acknowledged.isEmpty() && fleet.sim.now() < sentAt + MICROS_PER_SECOND) fleet.run(POLL_INTERVAL_MICROS);
        assertTrue(acknowledged.equals(List.of(true)));
        history.add(Operation.markZone("operator", "z1", emptied, sentAt, fleet.sim.now(), Outcome.ACKNOWLEDGED));
    }
}
