package craneway.state.part;

/** The deterministic state machine that the committed commands of a part are applied to. */
public interface StateMachine {
    /** Applies the committed command at an index and returns its result. */
    Object apply(long index, byte[] command);

    /** Returns the encoded state. */
    byte[] encodeSnapshot();

    /** Replaces the state by an encoded one, or by the empty state if the snapshot is null. */
    void restoreSnapshot(byte[] snapshot);
}
