package craneway.sim.model;

import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Explores all short histories of three members, up to {@code -Dmodel.states} states from each start. */
class ExhaustiveTest {
    private static final int MAX_STATES = Integer.getInteger("model.states", 2_500);
    private static final int MAX_FAULTS = Integer.getInteger("model.troubles", 3);

    @TestFactory
    Stream<DynamicTest> everyShortHistoryKeepsTheInvariants() {
        return StartStates.all()
                .filter(start -> start.advanceMillis().length > 0)
                .map(start -> DynamicTest.dynamicTest(start.name(), () -> explore(start)));
    }

    @TestFactory
    Stream<DynamicTest> everyHistoryWithFewFaultsKeepsTheInvariants() {
        return StartStates.all().map(start -> DynamicTest.dynamicTest(start.name(), () -> exploreFaults(start)));
    }

    private static void exploreFaults(Explorer.Start start) {
        var startedAt = System.nanoTime();
        var result = new FaultExplorer(start, MAX_FAULTS, MAX_STATES * 8).run();
        System.out.printf(
                "model: start %s, %d states, all with up to %d faults, %.1f s%n",
                start.name(), result.states(), result.depth(), (System.nanoTime() - startedAt) / 1e9);
        assertNull(result.violation(), () -> result.violation().getMessage() + " after " + result.trace());
    }

    private static void explore(Explorer.Start start) {
        var startedAt = System.nanoTime();
        var result = new Explorer(start, MAX_STATES).run();
        System.out.printf(
                "model: start %s, %d states, depth %d, all of them: %s, %.1f s%n",
                start.name(),
                result.states(),
                result.depth(),
                result.complete(),
                (System.nanoTime() - startedAt) / 1e9);
        assertNull(result.violation(), () -> result.violation().getMessage() + " after " + result.trace());
    }
}
