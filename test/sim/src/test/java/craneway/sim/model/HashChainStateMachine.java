package craneway.sim.model;

import craneway.state.part.StateMachine;
import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * A state machine whose state is a hash over all applied commands in order, so that two members that applied the same
 * commands hold the same state.
 */
final class HashChainStateMachine implements StateMachine {
    private final InvariantChecker checker;
    private final int memberSlot;
    private long lastIndex;
    private long hash;

    HashChainStateMachine(InvariantChecker checker, int memberSlot) {
        this.checker = checker;
        this.memberSlot = memberSlot;
    }

    /** The hash over all commands applied so far. */
    long hash() {
        return hash;
    }

    @Override
    public Object apply(long index, byte[] command) {
        hash = (hash * 1_000_003 + index) * 1_000_003 + Arrays.hashCode(command);
        lastIndex = index;
        return hash;
    }

    @Override
    public byte[] encodeSnapshot() {
        return ByteBuffer.allocate(16).putLong(lastIndex).putLong(hash).array();
    }

    @Override
    public void restoreSnapshot(byte[] snapshot) {
        var buffer = snapshot == null ? ByteBuffer.allocate(16) : ByteBuffer.wrap(snapshot);
        lastIndex = buffer.getLong();
        hash = buffer.getLong();
        if (lastIndex > 0) checker.checkLoaded(memberSlot, lastIndex, hash);
    }
}
