package craneway.sim.history;

import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.sim.Simulation;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

/** Simulated stores that each violate one rule: the random runs bring the fault about and the checker detects it. */
class FaultyStoreTest {
    private static final int MAX_SEEDS = 4;
    private static final int RUN_SECONDS = 60;

    private static void assertDetected(Supplier<OperatorEndpoint> faultyEndpoint, String subject) {
        var violations = new StringBuilder();
        for (var seed = 1; seed <= MAX_SEEDS; seed++) {
            var violation = new HistoryRun(seed, HistoryRun.storeCount(seed), RUN_SECONDS, faultyEndpoint.get()).play();
            if (violation.contains("explains " + subject)) return;
            violations.append(violation);
        }
        assertTrue(false, "not detected in " + MAX_SEEDS + " seeds; reported: " + violations);
    }

    @Test
    void detectsAReadWithoutContactWithAMajority() {
        assertDetected(FaultyEndpoints::readsWithoutMajority, Operation.CONFIGURATION);
    }

    @Test
    void detectsTwoAcknowledgedConfigurationsWithOneNumber() {
        assertDetected(FaultyEndpoints::confirmsByNumber, Operation.CONFIGURATION);
    }

    @Test
    void detectsARefusedResentConfiguration() {
        assertDetected(FaultyEndpoints::forgetsAcceptedConfigurations, Operation.CONFIGURATION);
    }

    @Test
    void detectsALostAcknowledgedConfiguration() {
        assertDetected(FaultyEndpoints::confirmsWithoutMajority, Operation.CONFIGURATION);
    }

    @Test
    void detectsAReadOfAnOlderConfiguration() {
        assertDetected(FaultyEndpoints::readsFromCache, Operation.CONFIGURATION);
    }

    @Test
    void detectsALateDuplicateOfAZoneCommand() {
        for (var seed = 1; seed <= MAX_SEEDS; seed++) {
            var sim = new Simulation[1];
            var run = new HistoryRun(
                    seed, HistoryRun.storeCount(seed), RUN_SECONDS, FaultyEndpoints.duplicatesZoneCommands(sim));
            sim[0] = run.fleet.sim;
            if (run.play().contains("explains z")) return;
        }
        assertTrue(false, "not detected in " + MAX_SEEDS + " seeds");
    }
}
