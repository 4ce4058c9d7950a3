package craneway.sim.model;

import craneway.state.part.StateMachine;
import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * A state machine whose state is a hash over all applied commands in order, so that two members that applied the same
 * commands hold the same state.
 */
final class Chain implements StateMachine {
    private final Ledger ledger;
    private final int memberSlot;
    private long lastIndex;
    private long hash;

    Chain(Ledger ledger, int memberSlot) {
        this.ledger = ledger;
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
    public byte[] snapshot() {
        return ByteBuffer.allocate(16).putLong(lastIndex).putLong(hash).array();
    }

    @Override
    public void load(byte[] image) {
        var buffer = image == null ? ByteBuffer.allocate(16) : ByteBuffer.wrap(image);
        lastIndex = buffer.getLong();
        hash = buffer.getLong();
        if (lastIndex > 0) ledger.checkLoaded(memberSlot, lastIndex, hash);
    }
}
