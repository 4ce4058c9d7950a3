package craneway.sim.model;

import static org.junit.jupiter.api.Assertions.fail;

import org.junit.jupiter.api.Test;

/**
 * Plays long random histories, {@code -Dmodel.seeds} of each size from seed {@code -Dmodel.first} on, and shrinks a
 * failing one.
 */
class RandomHistoriesTest {
    private static final int SEED_COUNT = Integer.getInteger("model.seeds", 40);
    private static final int FIRST_SEED = Integer.getInteger("model.first", 1);

    @Test
    void fiveVotersOfSixStores() {
        play(History.Size.FIVE, SEED_COUNT);
    }

    @Test
    void threeVotersOfFourStores() {
        play(History.Size.THREE, SEED_COUNT);
    }

    @Test
    void threeVotersWithSnapshots() {
        play(History.Size.SNAPSHOTS, SEED_COUNT / 6);
    }

    private static void play(History.Size size, int seedCount) {
        var startedAt = System.nanoTime();
        var entryCount = 0L;
        var acknowledgedCount = 0L;
        for (var seed = FIRST_SEED; seed < FIRST_SEED + seedCount; seed++) {
            var history = History.of(size, seed);
            var choices = history.draw();
            try {
                var world = history.play(choices);
                entryCount += world.ledger().committedIndex();
                acknowledgedCount += world.ledger().acknowledged();
            } catch (Violation violation) {
                System.out.println("model: seed " + seed + " breaks " + violation.getMessage());
                var shortest = Shrinker.shrink(choices, candidate -> {
                    var found = history.breach(candidate);
                    return found != null && found.invariant() == violation.invariant();
                });
                fail("seed " + seed + " of " + size + ": "
                        + history.breach(shortest).getMessage() + " after " + Choice.readable(shortest));
            }
        }
        System.out.printf(
                "model: %s, %d seeds, %d entries, %d of them acknowledged, %.1f s%n",
                size, seedCount, entryCount, acknowledgedCount, (System.nanoTime() - startedAt) / 1e9);
    }
}
