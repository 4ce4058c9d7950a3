package craneway.sim.history;

import craneway.sim.history.Operation.Outcome;
import craneway.sim.history.Operation.Type;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Searches for a linearization with the algorithm of Wing and Gong and Lowe's memoization: it places the operations on
 * one object one after the other, each between its call and its end, and never tries the same set of placed operations
 * in the same state twice. Three rules keep the search tree small without losing an order:
 *
 * <ul>
 *   <li>A required operation that leaves the state unchanged and excludes none is placed as soon as possible: any order
 *       that places it later remains valid with it placed here.
 *   <li>An unclear one is placed only where it makes a candidate possible that was impossible before; elsewhere it can
 *       wait or be left out.
 *   <li>Of equal unclear ones, the one that is excluded first goes first; the other can take its later place.
 * </ul>
 *
 * <p>Unclear operations may be placed at any time after their call. In a model with
 * {@link SequentialModel#excludesLateEffects} this ends once a command takes effect that was sent after they were given
 * up.
 */
final class LinearizabilityChecker<S> {
    /** A node of the search tree: the operations that are placed or excluded, and the state after them. */
    private record Node<S>(BitSet placed, S state) {}

    private final SequentialModel<S> model;
    private final List<Operation> operations;
    private final Set<Node<S>> visited = new HashSet<>();
    private int requiredLeft;

    private LinearizabilityChecker(SequentialModel<S> model, List<Operation> history) {
        this.model = model;
        operations = history.stream()
                .sorted(Comparator.comparingLong(Operation::calledAt))
                .toList();
        requiredLeft = (int) operations.stream().filter(Operation::isDefinite).count();
    }

    /** Whether some order of the operations, all on one object, is possible in the model from the given state on. */
    static <S> boolean isLinearizable(SequentialModel<S> model, S initialState, List<Operation> history) {
        var search = new LinearizabilityChecker<>(model, history);
        return search.search(new BitSet(), initialState, Long.MIN_VALUE);
    }

    /**
     * Searches for an order of the operations that are left.
     *
     * @param lastCall when the latest of the acknowledged commands placed so far was sent
     */
    private boolean search(BitSet placed, S state, long lastCall) {
        if (requiredLeft == 0) return true;
        if (!visited.add(new Node<>(placedOrExcluded(placed, lastCall), state))) return false;
        var earliestEnd = earliestRequiredEnd(placed);
        var neutral = findNeutral(placed, state, earliestEnd);
        if (neutral >= 0) return searchWith(neutral, placed, state, lastCall);
        for (var i : candidates(placed, earliestEnd)) {
            var operation = operations.get(i);
            if (!operation.isDefinite()
                    && (isExcluded(operation, lastCall)
                            || !isFirstOfEquals(operation, candidates(placed, earliestEnd), lastCall))) continue;
            for (var next : model.apply(state, operation)) {
                if (!operation.isDefinite() && !enablesAnother(i, state, next, candidates(placed, earliestEnd)))
                    continue;
                if (searchWith(i, placed, next, lastCall)) return true;
            }
        }
        return false;
    }

    /** The operations that are placed or cannot be placed any more. */
    private BitSet placedOrExcluded(BitSet placed, long lastCall) {
        var excluded = (BitSet) placed.clone();
        for (var i = 0; i < operations.size(); i++) if (isExcluded(operations.get(i), lastCall)) excluded.set(i);
        return excluded;
    }

    private boolean isExcluded(Operation operation, long lastCall) {
        return !operation.isDefinite() && model.excludesLateEffects() && lastCall >= operation.endedAt();
    }

    /** The operations that may come next: those called before the earliest end of a required one that is left. */
    private List<Integer> candidates(BitSet placed, long earliestEnd) {
        var candidates = new ArrayList<Integer>();
        var i = placed.nextClearBit(0);
        while (i < operations.size() && operations.get(i).calledAt() <= earliestEnd) {
            candidates.add(i);
            i = placed.nextClearBit(i + 1);
        }
        return candidates;
    }

    /** Of equal unclear operations only the one that is excluded first needs to be tried here. */
    private boolean isFirstOfEquals(Operation operation, List<Integer> candidates, long lastCall) {
        for (var i : candidates) {
            var other = operations.get(i);
            if (other == operation) return true;
            var same = other.type() == operation.type()
                    && other.baseVersion() == operation.baseVersion()
                    && other.version() == operation.version()
                    && other.value().equals(operation.value());
            if (same && !other.isDefinite() && !isExcluded(other, lastCall) && other.endedAt() <= operation.endedAt())
                return false;
        }
        return true;
    }

    /** Whether some candidate is possible after the operation but not before it. */
    private boolean enablesAnother(int unclearIndex, S before, S after, List<Integer> candidates) {
        if (before.equals(after)) return false;
        for (var i : candidates) {
            var operation = operations.get(i);
            if (i == unclearIndex || !model.apply(before, operation).isEmpty()) continue;
            if (!model.apply(after, operation).isEmpty()) return true;
        }
        return false;
    }

    /** Places an operation and searches on from there. */
    private boolean searchWith(int index, BitSet placed, S next, long lastCall) {
        var operation = operations.get(index);
        var acknowledgedCommand = operation.type() != Type.READ && operation.outcome() == Outcome.ACKNOWLEDGED;
        placed.set(index);
        if (operation.isDefinite()) requiredLeft--;
        var found = search(placed, next, acknowledgedCommand ? Math.max(lastCall, operation.calledAt()) : lastCall);
        if (operation.isDefinite()) requiredLeft++;
        placed.clear(index);
        return found;
    }

    private long earliestRequiredEnd(BitSet placed) {
        var earliest = Long.MAX_VALUE;
        for (var i = placed.nextClearBit(0); i < operations.size(); i = placed.nextClearBit(i + 1)) {
            var operation = operations.get(i);
            if (operation.calledAt() > earliest) break;
            if (operation.isDefinite()) earliest = Math.min(earliest, operation.endedAt());
        }
        return earliest;
    }

    /** The index of a required operation that can be placed here, changes nothing and excludes none, or -1. */
    private int findNeutral(BitSet placed, S state, long earliestEnd) {
        for (var i : candidates(placed, earliestEnd)) {
            var operation = operations.get(i);
            if (!operation.isDefinite() || model.excludesLateEffects() && operation.type() != Type.READ) continue;
            if (model.apply(state, operation).equals(List.of(state))) return i;
        }
        return -1;
    }
}
