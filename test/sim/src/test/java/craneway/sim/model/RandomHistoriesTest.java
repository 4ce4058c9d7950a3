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
        play(RandomHistory.Size.FIVE_VOTERS, SEED_COUNT);
    }

    @Test
    void threeVotersOfFourStores() {
        play(RandomHistory.Size.THREE_VOTERS, SEED_COUNT);
    }

    @Test
    void threeVotersWithSnapshots() {
        play(RandomHistory.Size.SNAPSHOTS, SEED_COUNT / 6);
    }

    private static void play(RandomHistory.Size size, int seedCount) {
        var startedAt = System.nanoTime();
        var entryCount = 0L;
        var acknowledgedCount = 0L;
        for (var seed = FIRST_SEED; seed < FIRST_SEED + seedCount; seed++) {
            var history = RandomHistory.of(size, seed);
            var choices = history.draw();
            try {
                var world = history.play(choices);
                entryCount += world.checker().committedIndex();
                acknowledgedCount += world.checker().acknowledgedCount();
            } catch (Violation violation) {
                System.out.println("model: seed " + seed + " breaks " + violation.getMessage());
                var shortest = Shrinker.shrink(choices, candidate -> {
                    var found = history.findViolation(candidate);
                    return found != null && found.invariant() == violation.invariant();
                });
                fail("seed " + seed + " of " + size + ": "
                        + history.findViolation(shortest).getMessage() + " after " + Choice.describe(shortest));
            }
        }
        System.out.printf(
                "model: %s, %d seeds, %d entries, %d of them acknowledged, %.1f s%n",
                size, seedCount, entryCount, acknowledgedCount, (System.nanoTime() - startedAt) / 1e9);
    }
}
