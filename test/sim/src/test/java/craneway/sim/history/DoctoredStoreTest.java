package craneway.sim.history;

import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.sim.Simulation;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

/** Stores in the simulator that break one rule each: the driver brings it about and the checker finds it. */
class DoctoredStoreTest {
    private static final int MOST_SEEDS = 4;
    private static final int SECONDS = 60;

    private static void caught(Supplier<Office> office, String subject) {
        var seen = new StringBuilder();
        for (var seed = 1; seed <= MOST_SEEDS; seed++) {
            var wrong = new Trial(seed, Trial.stores(seed), SECONDS, office.get()).play();
            if (wrong.contains("explains " + subject)) return;
            seen.append(wrong);
        }
        assertTrue(false, "not found in " + MOST_SEEDS + " seeds; found: " + seen);
    }

    @Test
    void aReadWithoutContactWithAMajority() {
        caught(DoctoredOffice::readsWithoutContact, Operation.CONFIGURATION);
    }

    @Test
    void twoConfirmedUnderOneNumber() {
        caught(DoctoredOffice::confirmsByNumber, Operation.CONFIGURATION);
    }

    @Test
    void aResentOrderRefused() {
        caught(DoctoredOffice::knowsNoneAgain, Operation.CONFIGURATION);
    }

    @Test
    void anAcknowledgedOrderLost() {
        caught(DoctoredOffice::confirmsAlone, Operation.CONFIGURATION);
    }

    @Test
    void anOlderConfigurationRead() {
        caught(DoctoredOffice::readsFromMemory, Operation.CONFIGURATION);
    }

    @Test
    void aLateCopyOfAZoneOrder() {
        for (var seed = 1; seed <= MOST_SEEDS; seed++) {
            var sim = new Simulation[1];
            var t = new Trial(seed, Trial.stores(seed), SECONDS, DoctoredOffice.copiesZoneOrders(sim));
            sim[0] = t.fleet.sim;
            if (t.play().contains("explains z")) return;
        }
        assertTrue(false, "not found in " + MOST_SEEDS + " seeds");
    }
}
