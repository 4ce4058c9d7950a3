package craneway.sim.model;

import craneway.state.part.StateMachine;
import java.nio.ByteBuffer;
import java.util.Arrays;

/** A state machine whose state is a hash over all commands in their order. */
final class Chain implements StateMachine {
    private final Ledger ledger;
    private final int slot;
    private long last;
    private long hash;

    Chain(Ledger ledger, int slot) {
        this.ledger = ledger;
        this.slot = slot;
    }

    long hash() {
        return hash;
    }

    @Override
    public Object apply(long index, byte[] command) {
        hash = (hash * 1_000_003 + index) * 1_000_003 + Arrays.hashCode(command);
        last = index;
        return hash;
    }

    @Override
    public byte[] encodeSnapshot() {
        return ByteBuffer.allocate(16).putLong(last).putLong(hash).array();
    }

    @Override
    public void restoreSnapshot(byte[] image) {
        var b = image == null ? ByteBuffer.allocate(16) : ByteBuffer.wrap(image);
        last = b.getLong();
        hash = b.getLong();
        if (last > 0) ledger.loaded(slot, last, hash);
    }
}
