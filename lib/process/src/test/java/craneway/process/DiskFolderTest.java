package craneway.process;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.state.disk.DiskException;
import craneway.state.disk.Folder;
import craneway.state.disk.SegmentLog;
import craneway.state.part.LogEntry;
import craneway.state.part.Snapshot;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks that everything a folder reported as durable survives a crash at every step of the work and every possible
 * outcome of a power loss.
 */
class DiskFolderTest {
    private static final byte[] OLD = {1, 1, 1, 1, 1, 1};
    private static final byte[] NEW = {2, 2, 2, 2};

    @TempDir
    Path root;

    private static DiskFolder openOn(FakeDirectory directory) {
        return new DiskFolder(directory, 0);
    }

    /** Returns a directory with one durable file, whose writes are split in two. */
    private static FakeDirectory directoryWithFile(String name, byte[] bytes) {
        var directory = new FakeDirectory();
        directory.setShortWrites(true);
        openOn(directory).replace(name, bytes);
        return directory;
    }

    private interface CrashCheck {
        void verify(DiskFolder afterCrash, boolean completed);
    }

    /** Crashes the work at each of its steps and at its end, and checks every outcome of a power loss. */
    private static void crashAtEveryStep(FakeDirectory start, Consumer<DiskFolder> work, CrashCheck check) {
        for (var step = 0; ; step++) {
            var directory = start.afterKill();
            var crashStep = step;
            directory.injectFaults(n -> {
                if (n == crashStep) throw new FakeDirectory.Crash();
            });
            var completed = true;
            try {
                work.accept(openOn(directory));
            } catch (FakeDirectory.Crash e) {
                completed = false;
            }
            for (var outcome = 0L; outcome < directory.outcomeCount(); outcome++)
                check.verify(openOn(directory.afterPowerLoss(outcome)), completed);
            check.verify(openOn(directory.afterKill()), completed);
            if (completed) return;
        }
    }

    @Test
    void replaceLeavesOldOrNewBytesAndIsDurableOnReturn() {
        crashAtEveryStep(directoryWithFile("f", OLD), folder -> folder.replace("f", NEW), (afterCrash, completed) -> {
            var content = afterCrash.read("f");
            if (completed || content[0] == 2) assertArrayEquals(NEW, content);
            else assertArrayEquals(OLD, content);
            assertEquals(List.of("f"), afterCrash.fileNames());
        });
    }

    @Test
    void replaceCreatesAFileCompletelyOrNotAtAll() {
        crashAtEveryStep(new FakeDirectory(), folder -> folder.replace("f", NEW), (afterCrash, completed) -> {
            if (completed || afterCrash.read("f") != null) assertArrayEquals(NEW, afterCrash.read("f"));
        });
    }

    @Test
    void replaceSyncsTheFileBeforeTheRenameAndTheDirectoryAfterIt() {
        var directory = new FakeDirectory();
        openOn(directory).replace("f", new byte[1]);
        assertEquals(
                List.of("make f.tmp", "write f.tmp", "sync f.tmp", "rename f.tmp to f", "sync the directory"),
                directory.completedSteps());
    }

    @Test
    void renameKeepsTheBytesUnderEitherNameAndIsDurableOnReturn() {
        crashAtEveryStep(directoryWithFile("f", OLD), folder -> folder.rename("f", "g"), (afterCrash, completed) -> {
            var renamed = afterCrash.read("g");
            assertArrayEquals(OLD, renamed == null ? afterCrash.read("f") : renamed);
            if (completed) assertEquals(List.of("g"), afterCrash.fileNames());
        });
    }

    @Test
    void appendedBytesAreDurableOnceSynced() {
        Consumer<DiskFolder> work = folder -> {
            folder.append("f", NEW, 3);
            folder.sync("f");
        };
        crashAtEveryStep(directoryWithFile("f", OLD), work, (afterCrash, completed) -> {
            var content = afterCrash.read("f");
            for (var i = 0; i < OLD.length; i++) assertEquals(1, content[i]);
            if (completed) assertArrayEquals(new byte[] {1, 1, 1, 1, 1, 1, 2, 2, 2}, content);
        });
        crashAtEveryStep(new FakeDirectory(), work, (afterCrash, completed) -> {
            if (completed) assertArrayEquals(new byte[] {2, 2, 2}, afterCrash.read("f"));
        });
    }

    @Test
    void aFileRejectsWritesAfterAFailedWriteOrSyncUntilItIsReplaced() {
        for (var step = 0; step < 3; step++) {
            var directory = directoryWithFile("f", OLD);
            var folder = openOn(directory);
            failAtStep(directory, step);
            assertThrows(DiskException.class, () -> {
                folder.append("f", NEW, 3);
                folder.sync("f");
            });
            assertThrows(DiskException.class, () -> folder.sync("f"));
            assertThrows(DiskException.class, () -> folder.append("f", NEW, 3));
            folder.replace("f", NEW);
            folder.append("f", NEW, 1);
            folder.sync("f");
            assertArrayEquals(new byte[] {2, 2, 2, 2, 2}, folder.read("f"));
        }
    }

    private static void failAtStep(FakeDirectory directory, int step) {
        directory.injectFaults(n -> {
            if (n == step) throw new IOException("No space left on device");
        });
    }

    @Test
    void aFailedReplaceLeavesTheOldBytesAndNoTemporaryFile() {
        for (var step = 0; step < 5; step++) {
            var directory = directoryWithFile("f", OLD);
            var folder = openOn(directory);
            failAtStep(directory, step);
            var e = assertThrows(DiskException.class, () -> folder.replace("f", NEW));
            assertTrue(e.isDiskFull());
            assertArrayEquals(OLD, folder.read("f"));
            assertEquals(List.of("f"), directory.fileNames());
        }
    }

    @Test
    void temporaryFilesOfACrashAreDeletedAtTheNextStart() throws IOException {
        Files.write(root.resolve("p0.image.9.tmp"), NEW);
        Files.write(root.resolve("core"), OLD);
        var folder = new DiskFolder(root);
        assertFalse(Files.exists(root.resolve("p0.image.9.tmp")));
        assertEquals(List.of("core"), folder.fileNames());
        folder.release();
    }

    @Test
    void aDirectoryOfANewerFormatIsRejectedAndLeftUnchanged() throws IOException {
        var folder = new DiskFolder(root, 0);
        new SegmentLog(folder, "p1.", 1);
        folder.release();
        var segment = root.resolve("p1.log.1");
        var bytes = Files.readAllBytes(segment);
        ByteBuffer.wrap(bytes).putInt(4, 3).putInt(8, ~3);
        Files.write(segment, bytes);
        Files.write(root.resolve("p1.log.2.tmp"), OLD);
        var before = contents();
        for (var i = 0; i < 2; i++) {
            var e = assertThrows(InvalidSettingsException.class, () -> new DiskFolder(root, 0));
            assertTrue(e.getMessage().contains("p1.log.1 has the data format 3"), e.getMessage());
        }
        assertEquals(before, contents());
    }

    private Map<String, Integer> contents() throws IOException {
        var hashByName = new TreeMap<String, Integer>();
        try (var files = Files.list(root)) {
            for (var path : files.toList())
                hashByName.put(path.getFileName().toString(), Arrays.hashCode(Files.readAllBytes(path)));
        }
        return hashByName;
    }

    @Test
    void filesOnDiskAreReplacedRenamedAppendedAndRead() {
        var folder = new DiskFolder(root, 0);
        folder.replace("a", OLD);
        folder.append("a", NEW, 2);
        folder.sync("a");
        folder.replace("b", NEW);
        folder.rename("b", "c");
        folder.overwrite("m", NEW);
        folder.overwrite("m", new byte[] {9});
        folder.release();
        var reopened = new DiskFolder(root, 0);
        reopened.append("a", NEW, 1);
        assertArrayEquals(new byte[] {1, 1, 1, 1, 1, 1, 2, 2, 2}, reopened.read("a"));
        assertArrayEquals(new byte[] {9, 2, 2, 2}, reopened.read("m"));
        assertArrayEquals(new byte[] {1, 1}, reopened.readHead("a", 2));
        assertNull(reopened.read("b"));
        reopened.delete("m");
        reopened.delete("m");
        assertEquals(List.of("a", "c"), reopened.fileNames());
        assertThrows(InvalidSettingsException.class, () -> new DiskFolder(root, 0));
        reopened.release();
    }

    /**
     * Writes entries and a snapshot to a segment log and crashes it at each step; the start after that crash crashes at
     * each step too. No acknowledged entry may be lost.
     */
    @Test
    void aSegmentLogKeepsAcknowledgedEntriesAfterCrashes() {
        for (var step = 0; ; step++) {
            var directory = new FakeDirectory();
            var crashStep = step;
            directory.injectFaults(n -> {
                if (n == crashStep) throw new FakeDirectory.Crash();
            });
            var acknowledged = new ArrayList<Long>();
            var completed = writeLog(openOn(directory), acknowledged);
            for (var outcome = 0L; outcome < directory.outcomeCount(); outcome++)
                assertHoldsAcknowledged(directory.afterPowerLoss(outcome), acknowledged);
            crashDuringRestart(directory.afterKill(), acknowledged);
            if (completed) return;
        }
    }

    private static void crashDuringRestart(FakeDirectory afterFirstCrash, List<Long> acknowledged) {
        for (var step = 0; step < 12; step++) {
            var directory = afterFirstCrash.afterKill();
            var crashStep = step;
            directory.injectFaults(n -> {
                if (n == crashStep) throw new FakeDirectory.Crash();
            });
            try {
                new SegmentLog(openOn(directory), "p0.", 1);
            } catch (FakeDirectory.Crash e) {
                // The power loss follows below.
            }
            for (var outcome = 0L; outcome < directory.outcomeCount(); outcome++)
                assertHoldsAcknowledged(directory.afterPowerLoss(outcome), acknowledged);
        }
    }

    private static boolean writeLog(Folder folder, List<Long> acknowledged) {
        try {
            var log = new SegmentLog(folder, "p0.", 1);
            for (var index = 1L; index <= 4; index++) {
                log.saveTermAndVote(index, 2);
                log.append(new LogEntry(index, index, LogEntry.COMMAND, new byte[(int) index * 5]));
                log.sync();
                acknowledged.add(index);
                if (index == 2) log.installSnapshot(snapshot(1));
            }
            return true;
        } catch (FakeDirectory.Crash e) {
            return false;
        }
    }

    private static Snapshot snapshot(long index) {
        var snapshot = new Snapshot();
        snapshot.index = index;
        snapshot.term = index;
        snapshot.body = new byte[] {4, 5};
        return snapshot;
    }

    private static void assertHoldsAcknowledged(FakeDirectory directory, List<Long> acknowledged) {
        var log = new SegmentLog(openOn(directory), "p0.", 1);
        assertTrue(log.lastIndex() >= acknowledged.size(), log.lastIndex() + " of " + acknowledged);
        assertTrue(log.currentTerm() >= acknowledged.size());
        for (var index = log.firstIndex(); index <= log.lastIndex(); index++)
            assertEquals(index, log.entryAt(index).term);
    }
}
