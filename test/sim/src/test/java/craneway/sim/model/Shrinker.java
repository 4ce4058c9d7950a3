package craneway.sim.model;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Shortens a failing history: removes choices, many at once and then one by one, as long as the rest still fails. */
final class Shrinker {
    private static final int MAX_ATTEMPTS = 4_000;
    private static final int MAX_MERGED_ROUND_MILLIS = 110;

    private Shrinker() {}

    /**
     * Returns a short failing history. After the maximum number of attempts it stops and returns the best one found.
     */
    static List<Choice> shrink(List<Choice> failing, Predicate<List<Choice>> stillFails) {
        var attempts = new int[1];
        Predicate<List<Choice>> fails = candidate -> attempts[0]++ < MAX_ATTEMPTS && stillFails.test(candidate);
        var best = failing;
        for (var blockSize = Math.max(1, failing.size() / 2); blockSize >= 1; blockSize /= 2) {
            var previousSize = Integer.MAX_VALUE;
            while (best.size() < previousSize) {
                previousSize = best.size();
                best = removeBlocks(best, blockSize, fails);
            }
        }
        return mergeRounds(best, fails);
    }

    /** Merges consecutive rounds where the history still fails. */
    private static List<Choice> mergeRounds(List<Choice> failing, Predicate<List<Choice>> fails) {
        var choices = failing;
        for (var i = 0; i + 1 < choices.size(); ) {
            var first = choices.get(i);
            var second = choices.get(i + 1);
            var mergeable = first.kind() == Choice.Kind.ROUND
                    && second.kind() == Choice.Kind.ROUND
                    && first.argument() + second.argument() <= MAX_MERGED_ROUND_MILLIS;
            var candidate = new ArrayList<>(choices);
            if (mergeable) candidate.subList(i, i + 2).clear();
            if (mergeable) candidate.add(i, Choice.of(Choice.Kind.ROUND, first.argument() + second.argument()));
            if (mergeable && fails.test(candidate)) choices = candidate;
            else i++;
        }
        return choices;
    }

    /** Removes each block of the given size without which the history still fails. */
    private static List<Choice> removeBlocks(List<Choice> failing, int blockSize, Predicate<List<Choice>> fails) {
        var choices = failing;
        for (var i = 0; i < choices.size(); ) {
            var candidate = new ArrayList<>(choices.subList(0, i));
            candidate.addAll(choices.subList(Math.min(choices.size(), i + blockSize), choices.size()));
            if (fails.test(candidate)) choices = candidate;
            else i += blockSize;
        }
        return choices;
    }
}
