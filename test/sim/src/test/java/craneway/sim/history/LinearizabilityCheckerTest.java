package craneway.sim.history;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.sim.history.Operation.Outcome;
import craneway.sim.history.Operation.Type;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Compares the search with one that tries every order on short random histories, and runs it on long ones. */
class LinearizabilityCheckerTest {
    private static final int CASE_COUNT = 20_000;
    private static final int MAX_OPERATIONS = 6;
    private static final int LONG_HISTORY_LENGTH = 400;

    @Test
    void agreesWithTryingEveryOrderOfConfigurations() {
        var random = new Random(1);
        var linearizable = 0;
        for (var i = 0; i < CASE_COUNT; i++) {
            var history = randomHistory(random, LinearizabilityCheckerTest::configuration);
            var holds = LinearizabilityChecker.isLinearizable(
                    new ConfigurationModel(), new ConfigurationModel().initial(), history);
            assertEquals(someOrderHolds(new ConfigurationModel(), history), holds, () -> HistoryTimeline.of(history));
            if (holds) linearizable++;
        }
        assertTrue(
                linearizable > CASE_COUNT / 20 && linearizable < CASE_COUNT * 19 / 20, "linearizable: " + linearizable);
    }

    @Test
    void agreesWithTryingEveryOrderOfAZone() {
        var random = new Random(2);
        var linearizable = 0;
        for (var i = 0; i < CASE_COUNT; i++) {
            var history = randomHistory(random, LinearizabilityCheckerTest::zone);
            var holds = LinearizabilityChecker.isLinearizable(new ZoneModel(), Operation.OPEN, history);
            assertEquals(someOrderHolds(new ZoneModel(), history), holds, () -> HistoryTimeline.of(history));
            if (holds) linearizable++;
        }
        assertTrue(
                linearizable > CASE_COUNT / 20 && linearizable < CASE_COUNT * 19 / 20, "linearizable: " + linearizable);
    }

    @Test
    void acceptsALongHistoryOfOneStore() {
        for (var seed = 0; seed < 20; seed++) {
            var random = new Random(seed);
            var history = new ArrayList<Operation>();
            var emptied = false;
            for (var i = 0; i < LONG_HISTORY_LENGTH; i++) {
                var point = i * 10L;
                var from = point - random.nextInt(80);
                var until = point + random.nextInt(80);
                var isCommand = random.nextBoolean();
                if (isCommand) emptied = random.nextBoolean();
                var isAcknowledged = random.nextInt(5) > 0;
                if (!isCommand) history.add(Operation.readZone("c", "z1", emptied, from, until));
                else
                    history.add(Operation.markZone(
                            "c", "z1", emptied, from, until, isAcknowledged ? Outcome.ACKNOWLEDGED : Outcome.UNCLEAR));
            }
            assertTrue(LinearizabilityChecker.isLinearizable(new ZoneModel(), Operation.OPEN, history));
        }
    }

    private interface OperationSource {
        Operation draw(Random random, long call, long end);
    }

    private static List<Operation> randomHistory(Random random, OperationSource source) {
        var history = new ArrayList<Operation>();
        var length = 2 + random.nextInt(MAX_OPERATIONS - 1);
        for (var i = 0; i < length; i++) {
            var call = (long) random.nextInt(30);
            history.add(source.draw(random, call, call + 1 + random.nextInt(15)));
        }
        return history;
    }

    private static Outcome outcome(Random random) {
        return random.nextInt(3) == 0 ? Outcome.UNCLEAR : Outcome.ACKNOWLEDGED;
    }

    private static Operation zone(Random random, long call, long end) {
        var emptied = random.nextBoolean();
        return random.nextBoolean()
                ? Operation.readZone("c", "z1", emptied, call, end)
                : Operation.markZone("c", "z1", emptied, call, end, outcome(random));
    }

    private static Operation configuration(Random random, long call, long end) {
        var number = random.nextInt(4);
        var value = number == 0 ? Operation.NO_CONFIGURATION : random.nextInt(4) > 0 ? "a" : "b";
        if (number == 0 || random.nextInt(3) == 0) return Operation.readConfiguration("c", number, value, call, end);
        var outcome = random.nextInt(4) == 0 ? Outcome.REFUSED : outcome(random);
        return Operation.configure("c", Math.max(0, number - 1 - random.nextInt(2)), number, value, call, end, outcome);
    }

    private static <S> boolean someOrderHolds(SequentialModel<S> model, List<Operation> operations) {
        return someOrderHolds(model, model.initial(), operations, Long.MIN_VALUE);
    }

    /** Tries every order: any operation whose call is not after the end of a remaining required one may be next. */
    private static <S> boolean someOrderHolds(
            SequentialModel<S> model, S state, List<Operation> remaining, long lastCall) {
        if (remaining.stream().noneMatch(Operation::isDefinite)) return true;
        for (var operation : remaining) {
            var tooLate =
                    remaining.stream().anyMatch(other -> other.isDefinite() && other.endedAt() < operation.calledAt());
            if (tooLate || !operation.isDefinite() && model.excludesLateEffects() && lastCall >= operation.endedAt())
                continue;
            var rest = new ArrayList<>(remaining);
            rest.remove(operation);
            var acknowledgedCommand = operation.type() != Type.READ && operation.outcome() == Outcome.ACKNOWLEDGED;
            for (var next : model.apply(state, operation))
                if (someOrderHolds(
                        model, next, rest, acknowledgedCommand ? Math.max(lastCall, operation.calledAt()) : lastCall))
                    return true;
        }
        return false;
    }
}
