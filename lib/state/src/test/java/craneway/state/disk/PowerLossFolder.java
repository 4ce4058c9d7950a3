package craneway.state.disk;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntSupplier;
import java.util.function.IntUnaryOperator;

/**
 * A folder in memory that keeps each write and each change of a name since the last sync separate, so that a loss of
 * power can keep, lose or tear each of them independently. It can end the process at any disk operation.
 */
final class PowerLossFolder implements Folder {
    /** Thrown when the simulated process ends in the middle of its work. */
    static final class Crash extends RuntimeException {}

    /**
     * What happens at one disk operation: it succeeds, the process ends, the operation is refused, or only half of a
     * write is done.
     */
    enum Fault {
        NONE,
        CRASH,
        REFUSED,
        SHORT
    }

    /** Decides what happens at each disk operation, given its number and its name. */
    interface Faults {
        /** Returns the fault at an operation. */
        Fault faultAt(int step, String what);
    }

    /** The number of ways in which a write can be torn. */
    private static final int TEAR_VARIANTS = 4;

    /** The content of a file, with what of it is durable and which writes are not. */
    private static final class Inode {
        byte[] durable = {};
        byte[] content = {};
        final List<Write> unsyncedWrites = new ArrayList<>();
        final Set<Write> failedWrites = new HashSet<>();

        void write(int offset, byte[] bytes) {
            content = overwritten(content, offset, bytes);
            unsyncedWrites.add(new Write(offset, bytes));
        }

        Inode copy() {
            var copy = new Inode();
            copy.durable = durable;
            copy.content = content;
            copy.unsyncedWrites.addAll(unsyncedWrites);
            copy.failedWrites.addAll(failedWrites);
            return copy;
        }

        /** Makes all writes durable except those that an earlier sync failed on: no later sync writes them to disk. */
        void sync() {
            for (var write : unsyncedWrites)
                if (!failedWrites.contains(write)) durable = overwritten(durable, write.offset, write.bytes);
            unsyncedWrites.retainAll(failedWrites);
        }

        void failSync() {
            failedWrites.addAll(unsyncedWrites);
        }
    }

    /** One write. Writes are compared by identity. */
    private static final class Write {
        final int offset;
        final byte[] bytes;

        Write(int offset, byte[] bytes) {
            this.offset = offset;
            this.bytes = bytes;
        }
    }

    /** A name that was bound to another file, or removed, and not synced yet; null stands for no file. */
    private record NameChange(String name, Inode before, Inode after) {}

    private final Map<String, Inode> inodesByName = new TreeMap<>();
    private final List<NameChange> unsyncedNameChanges = new ArrayList<>();
    private Faults faults = (step, what) -> Fault.NONE;
    private int steps;

    void setFaults(Faults newFaults) {
        faults = newFaults;
        steps = 0;
    }

    int steps() {
        return steps;
    }

    /** Returns the number of writes and name changes that a loss of power may lose. */
    int unsyncedCount() {
        return unsyncedNameChanges.size()
                + inodesByName.values().stream()
                        .mapToInt(inode -> inode.unsyncedWrites.size())
                        .sum();
    }

    /** Returns the number of possible outcomes of a loss of power. */
    long outcomeCount() {
        var writes = inodesByName.values().stream()
                .mapToInt(inode -> inode.unsyncedWrites.size())
                .sum();
        return (long) Math.pow(3, writes) << unsyncedNameChanges.size();
    }

    /** Returns the disk after a loss of power with one of the outcomes from 0 to {@link #outcomeCount()} - 1. */
    PowerLossFolder afterPowerLoss(long outcome) {
        var remaining = new long[] {outcome};
        var tearVariant = (int) (outcome % TEAR_VARIANTS);
        return afterPowerLoss(
                choices -> {
                    var fate = (int) (remaining[0] % choices);
                    remaining[0] /= choices;
                    return fate;
                },
                () -> tearVariant);
    }

    /** Returns the disk after a loss of power with a random outcome. */
    PowerLossFolder afterPowerLoss(Random random) {
        return afterPowerLoss(random::nextInt, () -> random.nextInt(TEAR_VARIANTS));
    }

    private PowerLossFolder afterPowerLoss(IntUnaryOperator fate, IntSupplier tearVariant) {
        var after = new PowerLossFolder();
        var kept = new TreeMap<>(inodesByName);
        for (var i = unsyncedNameChanges.size() - 1; i >= 0; i--) {
            var change = unsyncedNameChanges.get(i);
            if (fate.applyAsInt(2) == 1 && kept.get(change.name) == change.after)
                bind(kept, change.name, change.before);
        }
        for (var entry : kept.entrySet()) {
            var inode = new Inode();
            var bytes = entry.getValue().durable;
            for (var write : entry.getValue().unsyncedWrites)
                bytes = applyLostWrite(bytes, write, fate.applyAsInt(3), tearVariant);
            inode.content = bytes;
            inode.durable = bytes;
            after.inodesByName.put(entry.getKey(), inode);
        }
        return after;
    }

    private static void bind(Map<String, Inode> target, String name, Inode to) {
        if (to == null) target.remove(name);
        else target.put(name, to);
    }

    private static byte[] applyLostWrite(byte[] bytes, Write write, int fate, IntSupplier tearVariant) {
        if (fate == 0) return overwritten(bytes, write.offset, write.bytes);
        if (fate == 1) return bytes;
        var torn = write.bytes.clone();
        var middle = Math.max(1, torn.length / 2);
        switch (tearVariant.getAsInt()) {
            case 0 -> torn = Arrays.copyOf(torn, middle);
            case 1 -> Arrays.fill(torn, 0, middle, (byte) 0);
            case 2 -> Arrays.fill(torn, middle, torn.length, (byte) 0);
            default -> torn[torn.length - 1] ^= 0x55;
        }
        return overwritten(bytes, write.offset, torn);
    }

    /** Returns the folder as the next process finds it after a kill: nothing is lost, and nothing becomes durable. */
    PowerLossFolder afterKill() {
        var copies = new IdentityHashMap<Inode, Inode>();
        var after = new PowerLossFolder();
        inodesByName.forEach((name, inode) -> after.inodesByName.put(name, copy(inode, copies)));
        for (var change : unsyncedNameChanges)
            after.unsyncedNameChanges.add(
                    new NameChange(change.name, copy(change.before, copies), copy(change.after, copies)));
        return after;
    }

    private static Inode copy(Inode inode, Map<Inode, Inode> copies) {
        return inode == null ? null : copies.computeIfAbsent(inode, Inode::copy);
    }

    /** Sets the durable content of a file directly, bypassing faults and syncs. */
    void putDurably(String name, byte[] bytes) {
        var inode = new Inode();
        inode.content = bytes;
        inode.durable = bytes;
        inodesByName.put(name, inode);
    }

    private static byte[] overwritten(byte[] bytes, int offset, byte[] replacement) {
        var result = Arrays.copyOf(bytes, Math.max(bytes.length, offset + replacement.length));
        System.arraycopy(replacement, 0, result, offset, replacement.length);
        return result;
    }

    private void step(String operation) {
        step(operation, false);
    }

    private Fault step(String operation, boolean written) {
        var fault = faults.faultAt(steps++, operation);
        if (fault == Fault.CRASH) throw new Crash();
        if (fault == Fault.REFUSED || fault == Fault.SHORT && !written)
            throw new DiskException(true, operation + " refused");
        return fault;
    }

    private void changeName(String name, Inode to) {
        unsyncedNameChanges.add(new NameChange(name, inodesByName.get(name), to));
        bind(inodesByName, name, to);
    }

    private Inode openOrCreate(String name) {
        if (!inodesByName.containsKey(name)) changeName(name, new Inode());
        return inodesByName.get(name);
    }

    private void write(Inode inode, int offset, byte[] bytes, String operation) {
        var fault = step(operation, true);
        if (fault == Fault.NONE) {
            inode.write(offset, bytes);
            return;
        }
        inode.write(offset, Arrays.copyOf(bytes, bytes.length / 2));
        throw new DiskException(true, operation + " was short");
    }

    private void sync(Inode inode, String operation) {
        try {
            step(operation);
            inode.sync();
        } catch (DiskException e) {
            inode.failSync();
            throw e;
        }
    }

    @Override
    public List<String> fileNames() {
        return inodesByName.keySet().stream()
                .filter(name -> !name.endsWith(".tmp"))
                .toList();
    }

    @Override
    public byte[] read(String name) {
        var inode = inodesByName.get(name);
        return inode == null ? null : inode.content.clone();
    }

    @Override
    public void append(String name, byte[] bytes, int length) {
        var inode = openOrCreate(name);
        write(inode, inode.content.length, Arrays.copyOf(bytes, length), "append");
    }

    @Override
    public void sync(String name) {
        var inode = openOrCreate(name);
        sync(inode, "sync");
        unsyncedNameChanges.removeIf(
                change -> change.name.equals(name) && change.before == null && change.after == inode);
    }

    @Override
    public void overwrite(String name, byte[] bytes) {
        write(openOrCreate(name), 0, bytes.clone(), "overwrite");
    }

    @Override
    public void replace(String name, byte[] bytes) {
        var inode = new Inode();
        write(inode, 0, bytes.clone(), "replace: write");
        sync(inode, "replace: sync");
        step("replace: rename");
        changeName(name, inode);
        step("replace: sync of the folder");
        unsyncedNameChanges.clear();
    }

    @Override
    public void delete(String name) {
        step("delete");
        if (inodesByName.containsKey(name)) changeName(name, null);
    }
}
