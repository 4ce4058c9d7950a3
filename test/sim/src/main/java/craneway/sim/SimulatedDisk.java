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
 * A simulated disk. In a loss of power each write since its file's sync is kept, lost or torn by itself, and each removed
 * name may come back; some losses of power take all of them.
 */
public final class SimulatedDisk implements Folder {
    private static final int LOSES_ALL = 4;

    private static final class Pages {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        final List<Integer> writes = new ArrayList<>();
        int synced;
        byte[] before;
        boolean named;

        void set(byte[] all) {
            bytes.reset();
            bytes.writeBytes(all);
        }

        void sync() {
            synced = bytes.size();
            writes.clear();
            named = true;
        }
    }

    private final Map<String, Pages> files = new TreeMap<>();
    private final Map<String, Pages> removed = new TreeMap<>();
    private boolean setFull;
    private boolean setIgnoresSync;

    /** Whether the disk refuses every write. */
    public void setFull(boolean is) {
        setFull = is;
    }

    /** Whether a sync does nothing and says that it did. */
    public void setIgnoresSync(boolean lies) {
        setIgnoresSync = lies;
    }

    /** Empties the disk. */
    public void wipe() {
        files.clear();
        removed.clear();
    }

    /** Loses power: what no sync covered is kept, lost or torn, as is drawn. */
    public void losePower(Random r) {
        var all = r.nextInt(LOSES_ALL) == 0;
        removed.forEach((name, p) -> {
            if (all || r.nextBoolean()) files.putIfAbsent(name, p);
        });
        removed.clear();
        files.values().removeIf(p -> !p.named && p.before == null && (all || r.nextBoolean()));
        for (var p : files.values()) {
            if (p.before != null) loseJot(p, r, all);
            else loseWrites(p, r, all);
            p.sync();
        }
    }

    private static void loseJot(Pages p, Random r, boolean all) {
        var fate = all ? 0 : r.nextInt(3);
        if (fate == 0) p.set(p.before);
        if (fate == 1) p.set(torn(p.bytes.toByteArray(), 0, p.bytes.size(), r));
        p.before = null;
    }

    private static void loseWrites(Pages p, Random r, boolean all) {
        var bytes = p.bytes.toByteArray();
        var end = p.synced;
        for (var i = 0; i < p.writes.size() && !all; i++) {
            var from = p.writes.get(i);
            var to = i + 1 < p.writes.size() ? p.writes.get(i + 1) : bytes.length;
            var fate = r.nextInt(3);
            if (fate == 0) Arrays.fill(bytes, from, to, (byte) 0);
            else end = to;
            if (fate == 1) bytes = torn(bytes, from, to, r);
        }
        p.set(Arrays.copyOf(bytes, end));
    }

    private static byte[] torn(byte[] all, int from, int to, Random r) {
        if (to == from) return all;
        var cut = from + r.nextInt(to - from);
        if (r.nextBoolean()) Arrays.fill(all, cut, to, (byte) 0);
        else all[cut] ^= 0x55;
        return all;
    }

    /** Changes one byte of a file. */
    public void corruptByte(String name, int at) {
        var p = files.get(name);
        var all = p.bytes.toByteArray();
        all[Math.min(at, all.length - 1)] ^= 0x7f;
        p.set(all);
    }

    private void refuseIfFull() {
        if (setFull) throw new DiskException(true, "the disk is full");
    }

    @Override
    public List<String> fileNames() {
        return List.copyOf(files.keySet());
    }

    @Override
    public byte[] read(String name) {
        var p = files.get(name);
        return p == null ? null : p.bytes.toByteArray();
    }

    @Override
    public void append(String name, byte[] b, int len) {
        refuseIfFull();
        var p = files.computeIfAbsent(name, k -> new Pages());
        p.writes.add(p.bytes.size());
        p.bytes.write(b, 0, len);
    }

    @Override
    public void sync(String name) {
        var p = files.get(name);
        if (p != null && !setIgnoresSync) p.sync();
    }

    @Override
    public void overwrite(String name, byte[] b) {
        refuseIfFull();
        var p = new Pages();
        var had = files.get(name);
        if (had != null) p.before = had.before != null ? had.before : had.bytes.toByteArray();
        p.named = had != null && had.named;
        p.set(b);
        p.synced = b.length;
        files.put(name, p);
    }

    @Override
    public void replace(String name, byte[] b) {
        refuseIfFull();
        var p = new Pages();
        p.set(b);
        p.sync();
        files.put(name, p);
        syncNames();
    }

    @Override
    public void rename(String from, String to) {
        files.put(to, files.remove(from));
        syncNames();
    }

    private void syncNames() {
        removed.clear();
        files.values().forEach(p -> p.named = true);
    }

    @Override
    public void delete(String name) {
        var p = files.remove(name);
        if (p != null) removed.put(name, p);
    }
}
