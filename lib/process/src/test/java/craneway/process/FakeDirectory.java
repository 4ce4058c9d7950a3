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
 * A directory in memory that simulates crashes, power losses and I/O errors at any step.
 *
 * <p>In a power loss, each write since the last sync of its file, and each name created, changed or deleted since the
 * last sync of the directory, is kept or lost independently. The sync of a new file also makes its name durable.
 */
final class FakeDirectory implements DataDirectory {
    /** Simulates that the process is killed in the middle of its work. */
    static final class Crash extends RuntimeException {}

    /** Decides what fails: called before each step with the step's number. */
    interface FaultInjector {
        /** Returns normally to let the step happen; throws to make it fail or to kill the process. */
        void beforeStep(int step) throws IOException;
    }

    private record Write(long position, byte[] bytes) {}

    /** One change of a name: the file it referred to before and after, and the earlier name if a file was renamed. */
    private record NameChange(String name, String renamedFrom, Inode before, Inode after, boolean created) {}

    private static final class Inode {
        /** The content that survives any power loss. */
        byte[] durable = {};

        /** The content that a reader sees. */
        byte[] content = {};

        /** The writes that make up the difference. */
        final List<Write> unsynced = new ArrayList<>();

        Inode copy() {
            var copy = new Inode();
            copy.durable = durable;
            copy.content = content;
            copy.unsynced.addAll(unsynced);
            return copy;
        }
    }

    private final Map<String, Inode> files = new TreeMap<>();
    private final List<NameChange> unsyncedChanges = new ArrayList<>();
    private final List<String> completedSteps = new ArrayList<>();
    private FaultInjector faultInjector = step -> {};
    private boolean shortWrites;
    private int stepCount;

    /** Sets the faults to inject and restarts the count of steps at 0. */
    void injectFaults(FaultInjector injector) {
        faultInjector = injector;
        stepCount = 0;
    }

    /** Sets whether each write is split, as a file system may do. */
    void setShortWrites(boolean enabled) {
        shortWrites = enabled;
    }

    /** Returns the number of steps since the faults were set. */
    int stepCount() {
        return stepCount;
    }

    /** Returns the descriptions of the steps completed so far. */
    List<String> completedSteps() {
        return completedSteps;
    }

    /** Returns how many outcomes a power loss at this moment can have. */
    long outcomeCount() {
        var writes = files.values().stream().mapToInt(i -> i.unsynced.size()).sum();
        return 1L << writes + unsyncedChanges.size();
    }

    /** Returns the content of the disk after a power loss; each bit set in the outcome loses one change or write. */
    FakeDirectory afterPowerLoss(long outcome) {
        var remainingBits = outcome;
        var keptFiles = new TreeMap<>(files);
        for (var i = unsyncedChanges.size() - 1; i >= 0; i--, remainingBits >>= 1) {
            var change = unsyncedChanges.get(i);
            if (remainingBits % 2 == 1) undo(keptFiles, change);
        }
        var after = new FakeDirectory();
        after.shortWrites = shortWrites;
        for (var entry : keptFiles.entrySet()) {
            var inode = new Inode();
            inode.durable = entry.getValue().durable;
            for (var write : entry.getValue().unsynced) {
                if (remainingBits % 2 == 0) inode.durable = applyWrite(inode.durable, write);
                remainingBits >>= 1;
            }
            inode.content = inode.durable;
            after.files.put(entry.getKey(), inode);
        }
        return after;
    }

    private static void undo(Map<String, Inode> files, NameChange change) {
        if (files.get(change.name) != change.after) return;
        set(files, change.name, change.before);
        if (change.renamedFrom != null && !files.containsKey(change.renamedFrom))
            files.put(change.renamedFrom, change.after);
    }

    /** Returns the directory as the next process finds it after this one was killed; unsynced changes stay unsynced. */
    FakeDirectory afterKill() {
        var copies = new IdentityHashMap<Inode, Inode>();
        var after = new FakeDirectory();
        after.shortWrites = shortWrites;
        files.forEach((name, inode) -> after.files.put(name, copy(inode, copies)));
        for (var change : unsyncedChanges)
            after.unsyncedChanges.add(new NameChange(
                    change.name,
                    change.renamedFrom,
                    copy(change.before, copies),
                    copy(change.after, copies),
                    change.created));
        return after;
    }

    private static Inode copy(Inode inode, Map<Inode, Inode> copies) {
        return inode == null ? null : copies.computeIfAbsent(inode, Inode::copy);
    }

    private static void set(Map<String, Inode> files, String name, Inode target) {
        if (target == null) files.remove(name);
        else files.put(name, target);
    }

    private static byte[] applyWrite(byte[] bytes, Write write) {
        var result = Arrays.copyOf(bytes, Math.max(bytes.length, (int) write.position + write.bytes.length));
        System.arraycopy(write.bytes, 0, result, (int) write.position, write.bytes.length);
        return result;
    }

    private void step(String description) throws IOException {
        faultInjector.beforeStep(stepCount++);
        completedSteps.add(description);
    }

    private void recordChange(String name, String renamedFrom, Inode target, boolean created) {
        unsyncedChanges.add(new NameChange(name, renamedFrom, files.get(name), target, created));
        set(files, name, target);
    }

    @Override
    public List<String> fileNames() {
        return List.copyOf(files.keySet());
    }

    @Override
    public byte[] read(String name, int maxBytes) {
        var inode = files.get(name);
        return inode == null ? null : Arrays.copyOf(inode.content, Math.min(maxBytes, inode.content.length));
    }

    @Override
    public OpenFile open(String name) throws IOException {
        if (!files.containsKey(name)) {
            step("make " + name);
            recordChange(name, null, new Inode(), true);
        }
        return new FakeFile(name, files.get(name));
    }

    private final class FakeFile implements OpenFile {
        private final String name;
        private final Inode inode;

        FakeFile(String name, Inode inode) {
            this.name = name;
            this.inode = inode;
        }

        /** With short writes enabled, the first call writes half of the bytes. */
        @Override
        public void write(ByteBuffer bytes, long position) throws IOException {
            step("write " + name);
            var isShort = shortWrites && bytes.position() == 0 && bytes.remaining() > 1;
            var written = new byte[isShort ? bytes.remaining() / 2 : bytes.remaining()];
            bytes.get(written);
            var write = new Write(position, written);
            inode.content = applyWrite(inode.content, write);
            inode.unsynced.add(write);
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
            unsyncedChanges.removeIf(change -> change.created && change.after == inode);
        }

        @Override
        public void close() {}
    }

    @Override
    public void rename(String from, String to) throws IOException {
        step("rename " + from + " to " + to);
        var inode = files.get(from);
        recordChange(to, from, inode, false);
        files.remove(from);
    }

    @Override
    public void delete(String name) throws IOException {
        if (!files.containsKey(name)) return;
        step("delete " + name);
        recordChange(name, null, null, false);
    }

    @Override
    public void sync() throws IOException {
        step("sync the directory");
        unsyncedChanges.clear();
    }

    @Override
    public long usableBytes() {
        return 0;
    }
}
