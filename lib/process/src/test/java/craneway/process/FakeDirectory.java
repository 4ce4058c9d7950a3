package craneway.process;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A directory in memory. Each write since its file's sync, and each name made, changed or removed since the directory's,
 * can be kept or lost by itself in a loss of power; a new file lasts through its own sync. It can fail or end the process
 * at any step.
 */
final class FakeDirectory implements DataDirectory {
    /** The process ends in the middle of its work. */
    static final class Crash extends RuntimeException {}

    /** What happens at one step, given its number. */
    interface FaultInjector {
        void beforeStep(int step) throws IOException;
    }

    private record Write(long at, byte[] bytes) {}

    /** One change of a name, with the earlier name if a file was renamed. */
    private record NameChange(String name, String from, Inode before, Inode after, boolean made) {}

    private static final class Inode {
        byte[] durable = {};
        byte[] content = {};
        final List<Write> unsynced = new ArrayList<>();

        Inode copy() {
            var c = new Inode();
            c.durable = durable;
            c.content = content;
            c.unsynced.addAll(unsynced);
            return c;
        }
    }

    private final Map<String, Inode> names = new TreeMap<>();
    private final List<NameChange> changes = new ArrayList<>();
    private final List<String> completedSteps = new ArrayList<>();
    private FaultInjector injectFaults = step -> {};
    private boolean shortWrites;
    private int stepCount;

    void injectFaults(FaultInjector f) {
        injectFaults = f;
        stepCount = 0;
    }

    void shortWrites(boolean are) {
        shortWrites = are;
    }

    int stepCount() {
        return stepCount;
    }

    /** The steps done so far, by name. */
    List<String> completedSteps() {
        return completedSteps;
    }

    long outcomeCount() {
        var writes = names.values().stream().mapToInt(i -> i.unsynced.size()).sum();
        return 1L << writes + changes.size();
    }

    /** What the disk holds after a loss of power; a set bit of the outcome loses one thing. */
    FakeDirectory afterPowerLoss(long outcome) {
        var rest = outcome;
        var kept = new TreeMap<>(names);
        for (var i = changes.size() - 1; i >= 0; i--, rest >>= 1) {
            var c = changes.get(i);
            if (rest % 2 == 1) undo(kept, c);
        }
        var after = new FakeDirectory();
        after.shortWrites = shortWrites;
        for (var e : kept.entrySet()) {
            var inode = new Inode();
            inode.durable = e.getValue().durable;
            for (var w : e.getValue().unsynced) {
                if (rest % 2 == 0) inode.durable = over(inode.durable, w);
                rest >>= 1;
            }
            inode.content = inode.durable;
            after.names.put(e.getKey(), inode);
        }
        return after;
    }

    private static void undo(Map<String, Inode> names, NameChange c) {
        if (names.get(c.name) != c.after) return;
        set(names, c.name, c.before);
        if (c.from != null && !names.containsKey(c.from)) names.put(c.from, c.after);
    }

    /** The directory as the next process finds it after a kill. */
    FakeDirectory afterKill() {
        var copies = new IdentityHashMap<Inode, Inode>();
        var after = new FakeDirectory();
        after.shortWrites = shortWrites;
        names.forEach((n, i) -> after.names.put(n, copy(i, copies)));
        for (var c : changes)
            after.changes.add(new NameChange(c.name, c.from, copy(c.before, copies), copy(c.after, copies), c.made));
        return after;
    }

    private static Inode copy(Inode inode, Map<Inode, Inode> copies) {
        return inode == null ? null : copies.computeIfAbsent(inode, Inode::copy);
    }

    private static void set(Map<String, Inode> names, String name, Inode to) {
        if (to == null) names.remove(name);
        else names.put(name, to);
    }

    private static byte[] over(byte[] bytes, Write w) {
        var all = Arrays.copyOf(bytes, Math.max(bytes.length, (int) w.at + w.bytes.length));
        System.arraycopy(w.bytes, 0, all, (int) w.at, w.bytes.length);
        return all;
    }

    private void step(String what) throws IOException {
        injectFaults.beforeStep(stepCount++);
        completedSteps.add(what);
    }

    private void change(String name, String from, Inode to, boolean made) {
        changes.add(new NameChange(name, from, names.get(name), to, made));
        set(names, name, to);
    }

    @Override
    public List<String> fileNames() {
        return List.copyOf(names.keySet());
    }

    @Override
    public byte[] read(String name, int most) {
        var i = names.get(name);
        return i == null ? null : Arrays.copyOf(i.content, Math.min(most, i.content.length));
    }

    @Override
    public OpenFile open(String name) throws IOException {
        if (!names.containsKey(name)) {
            step("make " + name);
            change(name, null, new Inode(), true);
        }
        return new Open(name, names.get(name));
    }

    private final class Open implements OpenFile {
        private final String name;
        private final Inode inode;

        Open(String name, Inode inode) {
            this.name = name;
            this.inode = inode;
        }

        /** With short writes, writes half of the bytes at first. */
        @Override
        public void write(ByteBuffer bytes, long at) throws IOException {
            step("write " + name);
            var half = shortWrites && bytes.position() == 0 && bytes.remaining() > 1;
            var part = new byte[half ? bytes.remaining() / 2 : bytes.remaining()];
            bytes.get(part);
            var w = new Write(at, part);
            inode.content = over(inode.content, w);
            inode.unsynced.add(w);
        }

        @Override
        public long length() {
            return inode.content.length;
        }

        @Override
        public void sync() throws IOException {
            step("sync " + name);
            inode.durable = inode.content;
            inode.unsynced.clear();
            changes.removeIf(c -> c.made && c.after == inode);
        }

        @Override
        public void close() {}
    }

    @Override
    public void rename(String from, String to) throws IOException {
        step("rename " + from + " to " + to);
        var i = names.get(from);
        change(to, from, i, false);
        names.remove(from);
    }

    @Override
    public void delete(String name) throws IOException {
        if (!names.containsKey(name)) return;
        step("delete " + name);
        change(name, null, null, false);
    }

    @Override
    public void sync() throws IOException {
        step("sync the directory");
        changes.clear();
    }

    @Override
    public long usableBytes() {
        return 0;
    }
}
