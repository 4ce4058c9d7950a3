package craneway.sim.history;

import craneway.sim.history.Operation.Outcome;
import craneway.sim.history.Operation.Type;
import java.util.List;

/**
 * Whether a zone is emptied. Zone commands name no base, so each call takes effect at most once, and a call that was
 * given up may no longer take effect once a command sent later was acknowledged. A valid command on a zone is never
 * refused.
 */
final class ZoneModel implements SequentialModel<String> {
    private static final String UNKNOWN = "?";

    @Override
    public String initial() {
        return Operation.OPEN;
    }

    @Override
    public String unknownAfter(List<Operation> commands) {
        return UNKNOWN;
    }

    @Override
    public List<String> apply(String state, Operation operation) {
        if (operation.outcome() == Outcome.REFUSED) return List.of();
        if (operation.type() == Type.READ && !state.equals(UNKNOWN) && !state.equals(operation.value()))
            return List.of();
        return List.of(operation.value());
    }

    @Override
    public boolean excludesLateEffects() {
        return true;
    }
}
