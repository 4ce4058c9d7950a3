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
 * The data directory of a store, as a {@link Folder}. A lock file ensures that one process at a time uses it.
 *
 * <p>To replace a file, its new bytes are written to a temporary file, which is synced and renamed, and then the
 * directory is synced. Temporary files that a crash left behind are deleted at the next start. Safe for several threads
 * as long as each file is used by one thread at a time.
 */
public final class DiskFolder implements Folder {
    /** The free disk space below which appends fail. Other writes ignore it, so files can still be replaced. */
    private static final long DEFAULT_RESERVE_BYTES = 16L << 20;

    /** The free disk space is checked each time that this many bytes have been appended, not on every append. */
    private static final long SPACE_CHECK_INTERVAL_BYTES = 64 << 10;

    private static final String LOCK_FILE = "lock";
    private static final String TEMPORARY_SUFFIX = ".tmp";

    /** A file that is open for writing, and its length. */
    private static final class WritableFile {
        final DataDirectory.OpenFile file;
        long length;

        WritableFile(DataDirectory.OpenFile file) throws IOException {
            this.file = file;
            length = file.length();
        }
    }

    private interface DiskOperation<T> {
        T run() throws IOException;
    }

    private final DataDirectory directory;
    private final long reserveBytes;
    private final FileLock lock;
    private final AtomicLong appendedSinceSpaceCheck = new AtomicLong(SPACE_CHECK_INTERVAL_BYTES);
    private final Map<String, WritableFile> openFiles = new ConcurrentHashMap<>();
    private final Set<String> failedFiles = ConcurrentHashMap.newKeySet();

    /** Opens a data directory with the default reserve of 16 MiB. */
    public DiskFolder(Path root) {
        this(root, DEFAULT_RESERVE_BYTES);
    }

    /**
     * Opens a data directory.
     *
     * @param reserveBytes the free disk space below which appends fail
     * @throws InvalidSettingsException if another process uses the directory, or its log segments have a newer format
     *     than this version knows; the directory is left unchanged
     */
    public DiskFolder(Path root, long reserveBytes) {
        this.reserveBytes = reserveBytes;
        lock = translateFailure(() -> tryLock(root.resolve(LOCK_FILE)));
        if (lock == null)
            throw new InvalidSettingsException(List.of("data directory " + root + " is in use by another process"));
        directory = new NioDirectory(root);
        rejectNewerFormat(root);
        deleteTemporaryFiles();
    }

    private void rejectNewerFormat(Path root) {
        try {
            SegmentLog.checkFormats(this);
        } catch (UnknownFormatException e) {
            release();
            throw new InvalidSettingsException(List.of("data directory " + root + ": " + e.getMessage()));
        }
    }

    DiskFolder(DataDirectory directory, long reserveBytes) {
        this.directory = directory;
        this.reserveBytes = reserveBytes;
        lock = null;
        deleteTemporaryFiles();
    }

    /** Returns null if another process, or another folder of this process, holds the lock. */
    private static FileLock tryLock(Path file) throws IOException {
        try {
            return FileChannel.open(file, StandardOpenOption.WRITE, StandardOpenOption.CREATE)
                    .tryLock();
        } catch (OverlappingFileLockException e) {
            return null;
        }
    }

    /** Runs an operation and turns an {@link IOException} into a {@link DiskException}. */
    private static <T> T translateFailure(DiskOperation<T> operation) {
        try {
            return operation.run();
        } catch (IOException e) {
            var message = String.valueOf(e.getMessage());
            throw new DiskException(message.contains("No space left"), message);
        }
    }

    private void deleteTemporaryFiles() {
        translateFailure(() -> {
            for (var name : directory.fileNames()) if (name.endsWith(TEMPORARY_SUFFIX)) deleteQuietly(name);
            return null;
        });
    }

    private void deleteQuietly(String name) {
        try {
            directory.delete(name);
        } catch (IOException e) {
            // A temporary file left behind only takes disk space; the next start tries again to delete it.
        }
    }

    @Override
    public List<String> fileNames() {
        return translateFailure(() -> directory.fileNames().stream()
                .filter(name -> !name.endsWith(TEMPORARY_SUFFIX) && !name.equals(LOCK_FILE))
                .sorted()
                .toList());
    }

    @Override
    public byte[] read(String name) {
        return readHead(name, Integer.MAX_VALUE);
    }

    @Override
    public byte[] readHead(String name, int maxBytes) {
        return translateFailure(() -> directory.read(name, maxBytes));
    }

    @Override
    public void append(String name, byte[] bytes, int length) {
        if (appendedSinceSpaceCheck.addAndGet(length) >= SPACE_CHECK_INTERVAL_BYTES) checkFreeSpace(length);
        writeOrMarkFailed(name, () -> {
            var target = openFile(name);
            writeAll(target.file, ByteBuffer.wrap(bytes, 0, length), target.length);
            target.length += length;
            return null;
        });
    }

    private void checkFreeSpace(int length) {
        var freeBytes = directory.usableBytes();
        if (freeBytes > 0 && freeBytes < reserveBytes + length)
            throw new DiskException(true, "the free disk space is below the reserve");
        appendedSinceSpaceCheck.set(0);
    }

    private WritableFile openFile(String name) throws IOException {
        var file = openFiles.get(name);
        if (file != null) return file;
        file = new WritableFile(directory.open(name));
        openFiles.put(name, file);
        return file;
    }

    private static void writeAll(DataDirectory.OpenFile file, ByteBuffer bytes, long position) throws IOException {
        while (bytes.hasRemaining()) file.write(bytes, position + bytes.position());
    }

    @Override
    public void sync(String name) {
        writeOrMarkFailed(name, () -> {
            openFile(name).file.sync();
            return null;
        });
    }

    /**
     * Runs a write or sync; if it fails, the file rejects any further write until it is replaced or deleted. After a
     * failed write or sync, the operating system may report bytes as synced that never reached the disk.
     */
    private void writeOrMarkFailed(String name, DiskOperation<Void> operation) {
        if (failedFiles.contains(name))
            throw new DiskException(false, name + " takes no more writes after a failure, until it is replaced");
        try {
            translateFailure(operation);
        } catch (DiskException e) {
            failedFiles.add(name);
            throw e;
        }
    }

    @Override
    public void overwrite(String name, byte[] bytes) {
        translateFailure(() -> {
            writeAll(openFile(name).file, ByteBuffer.wrap(bytes), 0);
            return null;
        });
    }

    @Override
    public void replace(String name, byte[] bytes) {
        var temporary = name + TEMPORARY_SUFFIX;
        try {
            translateFailure(() -> {
                close(name);
                directory.delete(temporary);
                writeAndSync(temporary, bytes);
                directory.rename(temporary, name);
                directory.sync();
                return null;
            });
        } catch (DiskException e) {
            deleteQuietly(temporary);
            throw e;
        }
        failedFiles.remove(name);
    }

    private void writeAndSync(String name, byte[] bytes) throws IOException {
        try (var file = directory.open(name)) {
            writeAll(file, ByteBuffer.wrap(bytes), 0);
            file.sync();
        }
    }

    @Override
    public void rename(String from, String to) {
        translateFailure(() -> {
            close(from);
            close(to);
            directory.rename(from, to);
            directory.sync();
            return null;
        });
    }

    @Override
    public void delete(String name) {
        translateFailure(() -> {
            close(name);
            directory.delete(name);
            return null;
        });
        failedFiles.remove(name);
    }

    /** Closes all files and releases the lock, so that another process can use the data directory. */
    public void release() {
        translateFailure(() -> {
            for (var name : List.copyOf(openFiles.keySet())) close(name);
            if (lock == null) return null;
            lock.release();
            lock.channel().close();
            return null;
        });
    }

    private void close(String name) throws IOException {
        var target = openFiles.remove(name);
        if (target != null) target.file.close();
    }
}
