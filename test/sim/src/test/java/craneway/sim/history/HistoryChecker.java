package craneway.sim.history;

import craneway.sim.history.Operation.Outcome;
import craneway.sim.history.Operation.Type;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;

/**
 * Checks a whole history. The configuration and each zone are checked separately: linearizability is local (a history
 * is linearizable if and only if its restriction to each object is), and no operation here reads two objects: a
 * configuration names only the configuration's base, a zone command names nothing, and a read of both counts as one
 * read of each. The interface does not promise that the two come from one moment, and this is not checked.
 */
final class HistoryChecker {
    private HistoryChecker() {}

    /**
     * Returns the shortest failing part that was found as a timeline, or an empty text if the history is linearizable.
     */
    static String check(List<Operation> history) {
        var partBySubject = new TreeMap<String, List<Operation>>();
        history.forEach(operation -> partBySubject
                .computeIfAbsent(operation.subject(), subject -> new ArrayList<>())
                .add(operation));
        var text = new StringBuilder();
        partBySubject.forEach((subject, part) -> text.append(
                subject.equals(Operation.CONFIGURATION)
                        ? checkObject(new ConfigurationModel(), part, subject)
                        : checkObject(new ZoneModel(), part, subject)));
        return text.toString();
    }

    private static <S> String checkObject(SequentialModel<S> model, List<Operation> operations, String subject) {
        if (LinearizabilityChecker.isLinearizable(model, model.initial(), operations)) return "";
        var shortest = dropIrrelevant(model, dropStart(model, cutAtEarliestFailure(model, operations)));
        return "no order of these calls explains " + subject + ":\n"
                + HistoryTimeline.of(dropObsoleteZoneCommands(shortest.operations()));
    }

    /** Part of a history and the state before it. */
    private record Part<S>(S initialState, List<Operation> operations) {}

    /**
     * Cuts the history at the earliest end at which it still fails; operations that are open there may take effect or
     * not.
     */
    private static <S> Part<S> cutAtEarliestFailure(SequentialModel<S> model, List<Operation> operations) {
        var endTimes = operations.stream()
                .filter(Operation::isDefinite)
                .map(Operation::endedAt)
                .sorted()
                .toList();
        var low = 0;
        var high = endTimes.size() - 1;
        while (low < high) {
            var middle = (low + high) / 2;
            if (LinearizabilityChecker.isLinearizable(
                    model, model.initial(), operationsUntil(operations, endTimes.get(middle)))) low = middle + 1;
            else high = middle;
        }
        return new Part<>(model.initial(), operationsUntil(operations, endTimes.get(low)));
    }

    private static List<Operation> operationsUntil(List<Operation> operations, long end) {
        return operations.stream()
                .filter(operation ->
                        operation.calledAt() <= end && (operation.endedAt() <= end || operation.type() != Type.READ))
                .map(operation -> operation.endedAt() <= end ? operation : operation.asUnclear(end))
                .toList();
    }

    /**
     * Drops what ended before the latest moment from which the rest still fails, whatever the state was at that moment.
     */
    private static <S> Part<S> dropStart(SequentialModel<S> model, Part<S> part) {
        var starts = part.operations.stream()
                .filter(Operation::isDefinite)
                .map(Operation::endedAt)
                .sorted(Comparator.reverseOrder())
                .toList();
        for (var start : starts) {
            var rest = operationsFrom(part.operations, start);
            var sent = part.operations.stream()
                    .filter(operation -> operation.calledAt() <= start)
                    .toList();
            if (!LinearizabilityChecker.isLinearizable(model, model.unknownAfter(sent), rest))
                return new Part<>(model.unknownAfter(sent), rest);
        }
        return part;
    }

    private static List<Operation> operationsFrom(List<Operation> operations, long start) {
        return operations.stream()
                .filter(operation -> !operation.isDefinite()
                        || operation.endedAt() > start
                                && (operation.calledAt() > start || operation.type() != Type.READ))
                .map(operation -> operation.calledAt() > start ? operation : operation.asUnclear(operation.endedAt()))
                .toList();
    }

    /** Drops reads that the failure does not need, and unclear configurations that nothing could have followed. */
    private static <S> Part<S> dropIrrelevant(SequentialModel<S> model, Part<S> part) {
        var result = part;
        for (var operation : part.operations) {
            var fewer = new ArrayList<>(result.operations);
            fewer.remove(operation);
            var needless = operation.isDefinite()
                    ? operation.type() == Type.READ
                            && !LinearizabilityChecker.isLinearizable(model, result.initialState, fewer)
                    : isIrrelevant(operation, fewer);
            if (needless) result = new Part<>(result.initialState, fewer);
        }
        return result;
    }

    /** An unclear configuration is irrelevant if none builds on it, none reads it and it explains no refusal. */
    private static boolean isIrrelevant(Operation operation, List<Operation> others) {
        return operation.type() == Type.CONFIGURE
                && others.stream()
                        .noneMatch(other -> other.outcome() == Outcome.REFUSED
                                || other.baseVersion() == operation.version()
                                || other.value().equals(operation.value()));
    }

    /**
     * Drops unclear zone commands that were given up before the first acknowledged one was sent, if every read comes
     * after that one: they may not take effect after it. The last one that commanded what was read stays, as the likely
     * cause.
     */
    private static List<Operation> dropObsoleteZoneCommands(List<Operation> operations) {
        var firstAcknowledged = operations.stream()
                .filter(operation -> operation.type() == Type.MARK_ZONE && operation.isDefinite())
                .min(Comparator.comparingLong(Operation::calledAt));
        var reads = operations.stream()
                .filter(operation -> operation.type() == Type.READ)
                .toList();
        if (firstAcknowledged.isEmpty()
                || reads.stream()
                        .anyMatch(read ->
                                read.calledAt() < firstAcknowledged.get().endedAt())) return operations;
        var obsolete = operations.stream()
                .filter(operation -> operation.type() == Type.MARK_ZONE && !operation.isDefinite())
                .filter(operation ->
                        operation.endedAt() <= firstAcknowledged.get().calledAt())
                .sorted(Comparator.comparingLong(Operation::endedAt).reversed())
                .toList();
        var likelyCause = obsolete.stream()
                .filter(operation ->
                        reads.stream().anyMatch(read -> read.value().equals(operation.value())))
                .findFirst();
        return operations.stream()
                .filter(operation ->
                        !obsolete.contains(operation) || likelyCause.isPresent() && likelyCause.get() == operation)
                .toList();
    }
}
