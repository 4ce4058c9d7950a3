package craneway.sim;

import craneway.state.disk.DiskException;
import craneway.state.disk.Folder;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * A simulated disk. On a loss of power each write since the last sync of its file is kept, lost or torn independently
 * of the others, and each deleted name may reappear; one loss of power in four discards all unsynced writes and
 * deletions.
 */
public final class SimulatedDisk implements Folder {
    /** One loss of power in this many discards everything that was not synced. */
    private static final int POWER_LOSSES_PER_TOTAL_LOSS = 4;

    /** One file: its content as the process sees it, and what a loss of power may do to it. */
    private static final class SimulatedFile {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

        /** Start offsets of the appends since the last sync. */
        final List<Integer> writes = new ArrayList<>();

        /** Number of bytes that the last sync covers. */
        int syncedLength;

        /** The synced content that an unsynced overwrite replaced, or null. */
        byte[] previousContent;

        /** Whether the directory entry is synced, so that the file survives a loss of power. */
        boolean nameSynced;

        void set(byte[] content) {
            bytes.reset();
            bytes.writeBytes(content);
        }

        void sync() {
            syncedLength = bytes.size();
            writes.clear();
            nameSynced = true;
        }
    }

    private final Map<String, SimulatedFile> files = new TreeMap<>();
    private final Map<String, SimulatedFile> deleted = new TreeMap<>();
    private boolean rejectsWrites;
    private boolean ignoresSync;

    /** Sets whether the disk rejects every write. */
    public void setFull(boolean value) {
        rejectsWrites = value;
    }

    /** Sets whether a sync reports success without doing anything. */
    public void setIgnoresSync(boolean value) {
        ignoresSync = value;
    }

    /** Discards all files. */
    public void wipe() {
        files.clear();
        deleted.clear();
    }

    /** Simulates a loss of power: each unsynced write is kept, lost or torn, drawn from {@code random}. */
    public void losePower(Random random) {
        var losesAll = random.nextInt(POWER_LOSSES_PER_TOTAL_LOSS) == 0;
        deleted.forEach((name, file) -> {
            if (losesAll || random.nextBoolean()) files.putIfAbsent(name, file);
        });
        deleted.clear();
        files.values()
                .removeIf(
                        file -> !file.nameSynced && file.previousContent == null && (losesAll || random.nextBoolean()));
        for (var file : files.values()) {
            if (file.previousContent != null) loseOverwrite(file, random, losesAll);
            else loseAppends(file, random, losesAll);
            file.sync();
        }
    }

    /** The previous content returns, the new one is torn, or the new one is kept. */
    private static void loseOverwrite(SimulatedFile file, Random random, boolean losesAll) {
        var outcome = losesAll ? 0 : random.nextInt(3);
        if (outcome == 0) file.set(file.previousContent);
        if (outcome == 1) file.set(tear(file.bytes.toByteArray(), 0, file.bytes.size(), random));
        file.previousContent = null;
    }

    /** Each append since the last sync reads as zeros, is torn or is kept. */
    private static void loseAppends(SimulatedFile file, Random random, boolean losesAll) {
        var bytes = file.bytes.toByteArray();
        var keptLength = file.syncedLength;
        for (var i = 0; i < file.writes.size() && !losesAll; i++) {
            var start = file.writes.get(i);
            var writeEnd = i + 1 < file.writes.size() ? file.writes.get(i + 1) : bytes.length;
            var outcome = random.nextInt(3);
            if (outcome == 0) Arrays.fill(bytes, start, writeEnd, (byte) 0);
            else keptLength = writeEnd;
            if (outcome == 1) bytes = tear(bytes, start, writeEnd, random);
        }
        file.set(Arrays.copyOf(bytes, keptLength));
    }

    /** Zeroes the range from a random position on, or flips bits of one byte in it. */
    private static byte[] tear(byte[] bytes, int from, int to, Random random) {
        if (to == from) return bytes;
        var cut = from + random.nextInt(to - from);
        if (random.nextBoolean()) Arrays.fill(bytes, cut, to, (byte) 0);
        else bytes[cut] ^= 0x55;
        return bytes;
    }

    /**
     * Changes one byte of a file.
     *
     * @param offset the position; the last byte is changed if the file is shorter
     */
    public void corruptByte(String name, int offset) {
        var file = files.get(name);
        var content = file.bytes.toByteArray();
        content[Math.min(offset, content.length - 1)] ^= 0x7f;
        file.set(content);
    }

    private void rejectIfFull() {
        if (rejectsWrites) throw new DiskException(true, "the disk is full");
    }

    @Override
    public List<String> fileNames() {
        return List.copyOf(files.keySet());
    }

    @Override
    public byte[] read(String name) {
        var file = files.get(name);
        return file == null ? null : file.bytes.toByteArray();
    }

    @Override
    public void append(String name, byte[] bytes, int length) {
        rejectIfFull();
        var file = files.computeIfAbsent(name, missing -> new SimulatedFile());
        file.writes.add(file.bytes.size());
        file.bytes.write(bytes, 0, length);
    }

    @Override
    public void sync(String name) {
        var file = files.get(name);
        if (file != null && !ignoresSync) file.sync();
    }

    @Override
    public void overwrite(String name, byte[] bytes) {
        rejectIfFull();
        var file = new SimulatedFile();
        var existing = files.get(name);
        if (existing != null)
            file.previousContent =
                    existing.previousContent != null ? existing.previousContent : existing.bytes.toByteArray();
        file.nameSynced = existing != null && existing.nameSynced;
        file.set(bytes);
        file.syncedLength = bytes.length;
        files.put(name, file);
    }

    @Override
    public void replace(String name, byte[] bytes) {
        rejectIfFull();
        var file = new SimulatedFile();
        file.set(bytes);
        file.sync();
        files.put(name, file);
        syncNames();
    }

    @Override
    public void rename(String from, String to) {
        files.put(to, files.remove(from));
        syncNames();
    }

    /** Makes all directory entries durable, including deletions. */
    private void syncNames() {
        deleted.clear();
        files.values().forEach(file -> file.nameSynced = true);
    }

    @Override
    public void delete(String name) {
        var file = files.remove(name);
        if (file != null) deleted.put(name, file);
    }
}
