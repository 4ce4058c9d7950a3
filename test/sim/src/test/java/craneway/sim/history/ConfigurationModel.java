package craneway.sim.history;

import craneway.sim.history.Operation.Outcome;
import craneway.sim.history.Operation.Type;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The configuration in force. A configuration takes effect only if its base is the version in force and its own number
 * is higher. One that was accepted is acknowledged whenever it is sent again, even after later changes, and is never
 * refused; one is refused only where it could not have taken effect.
 */
final class ConfigurationModel implements SequentialModel<ConfigurationModel.State> {
    /**
     * The newest configuration and the accepted ones.
     *
     * @param known whether version and value are known
     * @param accepted the configurations that certainly were accepted
     * @param possiblyAccepted the configurations that may have been accepted before the examined part of the history
     */
    record State(boolean known, long version, String value, Set<String> accepted, Set<String> possiblyAccepted) {
        boolean matches(Operation operation) {
            return version == operation.version() && value.equals(operation.value());
        }

        State withConfiguration(Operation operation, Set<String> newAccepted) {
            return new State(true, operation.version(), operation.value(), newAccepted, possiblyAccepted);
        }
    }

    @Override
    public State initial() {
        return new State(true, 0, Operation.NO_CONFIGURATION, Set.of(), Set.of());
    }

    @Override
    public State unknownAfter(List<Operation> sent) {
        var possiblyAccepted = sent.stream()
                .filter(operation -> operation.type() == Type.CONFIGURE)
                .map(ConfigurationModel::key)
                .collect(Collectors.toUnmodifiableSet());
        return new State(false, 0, "?", Set.of(), possiblyAccepted);
    }

    @Override
    public List<State> apply(State state, Operation operation) {
        if (operation.type() == Type.READ) return afterRead(state, operation);
        return operation.outcome() == Outcome.REFUSED
                ? afterRefusal(state, operation)
                : afterAcceptance(state, operation);
    }

    private static List<State> afterRead(State state, Operation operation) {
        if (!state.known) return List.of(state.withConfiguration(operation, state.accepted));
        return state.matches(operation) ? List.of(state) : List.of();
    }

    private static List<State> afterRefusal(State state, Operation operation) {
        if (state.accepted.contains(key(operation))) return List.of();
        var mustBeAccepted =
                state.known && state.version == operation.baseVersion() && state.version < operation.version();
        return mustBeAccepted ? List.of() : List.of(state);
    }

    private static List<State> afterAcceptance(State state, Operation operation) {
        if (state.accepted.contains(key(operation))) return List.of(state);
        var successors = new ArrayList<State>();
        if (state.possiblyAccepted.contains(key(operation))) successors.add(state);
        if (operation.version() <= operation.baseVersion() || state.known && state.version != operation.baseVersion())
            return successors;
        var newAccepted = new HashSet<>(state.accepted);
        newAccepted.add(key(operation));
        successors.add(state.withConfiguration(operation, Set.copyOf(newAccepted)));
        return successors;
    }

    private static String key(Operation operation) {
        return operation.version() + "/" + operation.value();
    }

    @Override
    public boolean excludesLateEffects() {
        return false;
    }
}
