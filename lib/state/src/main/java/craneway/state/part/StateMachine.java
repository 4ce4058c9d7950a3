package craneway.state.part;

public interface StateMachine {
    Object apply(long index, byte[] command);

    byte[] encodeSnapshot();

    void restoreSnapshot(byte[] snapshot);
}
