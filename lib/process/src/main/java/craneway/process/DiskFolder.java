package craneway.process;

import craneway.state.disk.DiskException;
import craneway.state.disk.Folder;
import craneway.state.disk.SegmentLog;
import craneway.state.disk.UnknownFormatException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The data folder of a store on the platform. One process at a time holds it. New bytes of a file are written under a
 * temporary name, synced, renamed, and the directory synced; left-over temporary files are removed at the next start.
 */
public final class DiskFolder implements Folder {
    private static final long RESERVE = 16L << 20;
    private static final long LOOK = 64 << 10;
    private static final String LOCK = "lock";
    private static final String TEMPORARY = ".tmp";

    /** A file that is appended to or jotted into, and how long it is. */
    private static final class Appended {
        final DataDirectory.OpenFile file;
        long length;

        Appended(DataDirectory.OpenFile file) throws IOException {
            this.file = file;
            length = file.length();
        }
    }

    private interface Work<T> {
        T run() throws IOException;
    }

    private final DataDirectory directory;
    private final long reserve;
    private final FileLock lock;
    private final AtomicLong unseen = new AtomicLong(LOOK);
    private final Map<String, Appended> open = new ConcurrentHashMap<>();
    private final Set<String> failed = ConcurrentHashMap.newKeySet();

    /** A folder with the usual reserve. */
    public DiskFolder(Path root) {
        this(root, RESERVE);
    }

    /**
     * A folder that takes no more entries once fewer bytes than the reserve are free. Where another process holds it, or
     * its segments are of a newer format, it is refused with nothing changed.
     */
    public DiskFolder(Path root, long reserve) {
        this.reserve = reserve;
        lock = guard(() -> take(root.resolve(LOCK)));
        if (lock == null)
            throw new InvalidSettingsException(List.of("data folder " + root + " is in use by another process"));
        directory = new NioDirectory(root);
        refuseNewerFormat(root);
        removeTemporary();
    }

    private void refuseNewerFormat(Path root) {
        try {
            SegmentLog.checkFormats(this);
        } catch (UnknownFormatException e) {
            release();
            throw new InvalidSettingsException(List.of("data folder " + root + ": " + e.getMessage()));
        }
    }

    DiskFolder(DataDirectory directory, long reserve) {
        this.directory = directory;
        this.reserve = reserve;
        lock = null;
        removeTemporary();
    }

    private static FileLock take(Path p) throws IOException {
        try {
            return FileChannel.open(p, StandardOpenOption.WRITE, StandardOpenOption.CREATE)
                    .tryLock();
        } catch (OverlappingFileLockException e) {
            return null;
        }
    }

    private static <T> T guard(Work<T> w) {
        try {
            return w.run();
        } catch (IOException e) {
            var text = String.valueOf(e.getMessage());
            throw new DiskException(text.contains("No space left"), text);
        }
    }

    private void removeTemporary() {
        guard(() -> {
            for (var n : directory.names()) if (n.endsWith(TEMPORARY)) removeQuietly(n);
            return null;
        });
    }

    private void removeQuietly(String name) {
        try {
            directory.delete(name);
        } catch (IOException e) {
            // A left-over file only takes space; it is tried again at the next start.
        }
    }

    @Override
    public List<String> fileNames() {
        return guard(() -> directory.names().stream()
                .filter(n -> !n.endsWith(TEMPORARY) && !n.equals(LOCK))
                .sorted()
                .toList());
    }

    @Override
    public byte[] read(String name) {
        return readHead(name, Integer.MAX_VALUE);
    }

    @Override
    public byte[] readHead(String name, int most) {
        return guard(() -> directory.read(name, most));
    }

    @Override
    public void append(String name, byte[] b, int len) {
        if (unseen.addAndGet(len) >= LOOK) look(len);
        attempt(name, () -> {
            var a = opened(name);
            writeAll(a.file, ByteBuffer.wrap(b, 0, len), a.length);
            a.length += len;
            return null;
        });
    }

    private void look(int len) {
        var free = directory.usable();
        if (free > 0 && free < reserve + len) throw new DiskException(true, "the disk is full but for its reserve");
        unseen.set(0);
    }

    private Appended opened(String name) throws IOException {
        var a = open.get(name);
        if (a != null) return a;
        a = new Appended(directory.open(name));
        open.put(name, a);
        return a;
    }

    private static void writeAll(DataDirectory.OpenFile file, ByteBuffer b, long at) throws IOException {
        while (b.hasRemaining()) file.write(b, at + b.position());
    }

    @Override
    public void sync(String name) {
        attempt(name, () -> {
            opened(name).file.sync();
            return null;
        });
    }

    /**
     * After a failed write or sync the platform may call bytes synced that are not on the disk, so the file takes
     * nothing more until all its bytes are replaced.
     */
    private void attempt(String name, Work<Void> w) {
        if (failed.contains(name)) throw new DiskException(false, name + " failed before and has to be written anew");
        try {
            guard(w);
        } catch (DiskException e) {
            failed.add(name);
            throw e;
        }
    }

    @Override
    public void overwrite(String name, byte[] b) {
        guard(() -> {
            writeAll(opened(name).file, ByteBuffer.wrap(b), 0);
            return null;
        });
    }

    @Override
    public void replace(String name, byte[] b) {
        var temporary = name + TEMPORARY;
        try {
            guard(() -> {
                close(name);
                directory.delete(temporary);
                writeAndSync(temporary, b);
                directory.rename(temporary, name);
                directory.sync();
                return null;
            });
        } catch (DiskException e) {
            removeQuietly(temporary);
            throw e;
        }
        failed.remove(name);
    }

    private void writeAndSync(String name, byte[] b) throws IOException {
        try (var file = directory.open(name)) {
            writeAll(file, ByteBuffer.wrap(b), 0);
            file.sync();
        }
    }

    @Override
    public void rename(String from, String to) {
        guard(() -> {
            close(from);
            close(to);
            directory.rename(from, to);
            directory.sync();
            return null;
        });
    }

    @Override
    public void delete(String name) {
        guard(() -> {
            close(name);
            directory.delete(name);
            return null;
        });
        failed.remove(name);
    }

    /** Closes all files and gives the folder up to another process. */
    public void release() {
        guard(() -> {
            for (var n : List.copyOf(open.keySet())) close(n);
            if (lock == null) return null;
            lock.release();
            lock.channel().close();
            return null;
        });
    }

    private void close(String name) throws IOException {
        var a = open.remove(name);
        if (a != null) a.file.close();
    }
}
