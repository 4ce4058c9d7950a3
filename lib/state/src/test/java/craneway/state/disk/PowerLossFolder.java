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
 * A folder in memory that keeps each write and each change of a name since the last sync apart, so that a loss of
 * power can keep, lose or tear every one of them by itself. It can end the process at any step on the disk.
 */
final class PowerLossFolder implements Folder {
    /** The process ends in the middle of its work. */
    static final class Crash extends RuntimeException {}

    /** What happens at one step on the disk. */
    enum Fault {
        NONE,
        CRASH,
        REFUSED,
        SHORT
    }

    /** Decides what happens at each step on the disk, given its number and its name. */
    interface Faults {
        Fault at(int step, String what);
    }

    private static final int TEARS = 4;

    private static final class Inode {
        byte[] durable = {};
        byte[] content = {};
        final List<Write> unsynced = new ArrayList<>();
        final Set<Write> failed = new HashSet<>();

        void write(int offset, byte[] bytes) {
            content = over(content, offset, bytes);
            unsynced.add(new Write(offset, bytes));
        }

        Inode copy() {
            var c = new Inode();
            c.durable = durable;
            c.content = content;
            c.unsynced.addAll(unsynced);
            c.failed.addAll(failed);
            return c;
        }

        /** Makes all writes last but those that an earlier sync failed on: they never reach the disk by a sync. */
        void sync() {
            for (var w : unsynced) if (!failed.contains(w)) durable = over(durable, w.offset, w.bytes);
            unsynced.retainAll(failed);
        }

        void failSync() {
            failed.addAll(unsynced);
        }
    }

    /** One write; no two are equal. */
    private static final class Write {
        final int offset;
        final byte[] bytes;

        Write(int offset, byte[] bytes) {
            this.offset = offset;
            this.bytes = bytes;
        }
    }

    private record NameChange(String name, Inode before, Inode after) {}

    private final Map<String, Inode> names = new TreeMap<>();
    private final List<NameChange> changes = new ArrayList<>();
    private Faults faults = (step, what) -> Fault.NONE;
    private int steps;

    void faults(Faults f) {
        faults = f;
        steps = 0;
    }

    int steps() {
        return steps;
    }

    /** The number of writes and changes of names that a loss of power may lose. */
    int unsynced() {
        return changes.size()
                + names.values().stream().mapToInt(i -> i.unsynced.size()).sum();
    }

    /** In how many ways a loss of power can end. */
    long outcomes() {
        var writes = names.values().stream().mapToInt(i -> i.unsynced.size()).sum();
        return (long) Math.pow(3, writes) << changes.size();
    }

    /** What the disk holds after a loss of power; each outcome from 0 to {@link #outcomes()} - 1 is another. */
    PowerLossFolder afterPowerLoss(long outcome) {
        var rest = new long[] {outcome};
        var tear = (int) (outcome % TEARS);
        return afterPowerLoss(
                n -> {
                    var fate = (int) (rest[0] % n);
                    rest[0] /= n;
                    return fate;
                },
                () -> tear);
    }

    /** What the disk holds after a loss of power whose outcome is drawn. */
    PowerLossFolder afterPowerLoss(Random random) {
        return afterPowerLoss(random::nextInt, () -> random.nextInt(TEARS));
    }

    private PowerLossFolder afterPowerLoss(IntUnaryOperator fate, IntSupplier tear) {
        var after = new PowerLossFolder();
        var kept = new TreeMap<>(names);
        for (var i = changes.size() - 1; i >= 0; i--) {
            var c = changes.get(i);
            if (fate.applyAsInt(2) == 1 && kept.get(c.name) == c.after) rename(kept, c.name, c.before);
        }
        for (var e : kept.entrySet()) {
            var inode = new Inode();
            var bytes = e.getValue().durable;
            for (var w : e.getValue().unsynced) bytes = lose(bytes, w, fate.applyAsInt(3), tear);
            inode.content = bytes;
            inode.durable = bytes;
            after.names.put(e.getKey(), inode);
        }
        return after;
    }

    private static void rename(Map<String, Inode> names, String name, Inode to) {
        if (to == null) names.remove(name);
        else names.put(name, to);
    }

    private static byte[] lose(byte[] bytes, Write w, int fate, IntSupplier tear) {
        if (fate == 0) return over(bytes, w.offset, w.bytes);
        if (fate == 1) return bytes;
        var part = w.bytes.clone();
        var cut = Math.max(1, part.length / 2);
        switch (tear.getAsInt()) {
            case 0 -> part = Arrays.copyOf(part, cut);
            case 1 -> Arrays.fill(part, 0, cut, (byte) 0);
            case 2 -> Arrays.fill(part, cut, part.length, (byte) 0);
            default -> part[part.length - 1] ^= 0x55;
        }
        return over(bytes, w.offset, part);
    }

    /** The folder as the next process finds it after a kill: nothing is lost, and nothing is made durable. */
    PowerLossFolder afterKill() {
        var copies = new IdentityHashMap<Inode, Inode>();
        var after = new PowerLossFolder();
        names.forEach((n, i) -> after.names.put(n, copy(i, copies)));
        for (var c : changes) after.changes.add(new NameChange(c.name, copy(c.before, copies), copy(c.after, copies)));
        return after;
    }

    private static Inode copy(Inode inode, Map<Inode, Inode> copies) {
        return inode == null ? null : copies.computeIfAbsent(inode, Inode::copy);
    }

    /** Changes bytes behind the back of everyone. */
    void put(String name, byte[] bytes) {
        var i = new Inode();
        i.content = bytes;
        i.durable = bytes;
        names.put(name, i);
    }

    private static byte[] over(byte[] bytes, int offset, byte[] with) {
        var all = Arrays.copyOf(bytes, Math.max(bytes.length, offset + with.length));
        System.arraycopy(with, 0, all, offset, with.length);
        return all;
    }

    private void step(String what) {
        step(what, false);
    }

    private Fault step(String what, boolean written) {
        var f = faults.at(steps++, what);
        if (f == Fault.CRASH) throw new Crash();
        if (f == Fault.REFUSED || f == Fault.SHORT && !written) throw new DiskException(true, what + " refused");
        return f;
    }

    private void name(String name, Inode to) {
        changes.add(new NameChange(name, names.get(name), to));
        rename(names, name, to);
    }

    private Inode open(String name) {
        if (!names.containsKey(name)) name(name, new Inode());
        return names.get(name);
    }

    private void write(Inode inode, int offset, byte[] bytes, String what) {
        var f = step(what, true);
        if (f == Fault.NONE) {
            inode.write(offset, bytes);
            return;
        }
        inode.write(offset, Arrays.copyOf(bytes, bytes.length / 2));
        throw new DiskException(true, what + " was short");
    }

    private void sync(Inode inode, String what) {
        try {
            step(what);
            inode.sync();
        } catch (DiskException e) {
            inode.failSync();
            throw e;
        }
    }

    @Override
    public List<String> fileNames() {
        return names.keySet().stream().filter(n -> !n.endsWith(".tmp")).toList();
    }

    @Override
    public byte[] read(String name) {
        var i = names.get(name);
        return i == null ? null : i.content.clone();
    }

    @Override
    public void append(String name, byte[] b, int len) {
        var i = open(name);
        write(i, i.content.length, Arrays.copyOf(b, len), "append");
    }

    @Override
    public void sync(String name) {
        var i = open(name);
        sync(i, "sync");
        changes.removeIf(c -> c.name.equals(name) && c.before == null && c.after == i);
    }

    @Override
    public void overwrite(String name, byte[] b) {
        write(open(name), 0, b.clone(), "overwrite");
    }

    @Override
    public void replace(String name, byte[] b) {
        var i = new Inode();
        write(i, 0, b.clone(), "replace: write");
        sync(i, "replace: sync");
        step("replace: rename");
        name(name, i);
        step("replace: sync of the folder");
        changes.clear();
    }

    @Override
    public void delete(String name) {
        step("delete");
        if (names.containsKey(name)) name(name, null);
    }
}
