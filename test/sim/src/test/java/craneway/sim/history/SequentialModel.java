package craneway.sim.history;

import java.util.List;

/**
 * Describes how a single store without faults processes the operations on one object one after the other.
 *
 * @param <S> the state: immutable, with equals and hashCode
 */
interface SequentialModel<S> {
    /** The state before the first operation. */
    S initial();

    /** A state of which only the commands sent so far are known, for examining a history from its middle on. */
    S unknownAfter(List<Operation> sent);

    /**
     * The states that may follow if the operation takes effect now; empty if its outcome is impossible in this state.
     */
    List<S> apply(S state, Operation operation);

    /**
     * Whether an unclear operation can no longer take effect after an acknowledged command that was sent when it had
     * been given up. Where every command names its base, the base already ensures this.
     */
    boolean excludesLateEffects();
}
