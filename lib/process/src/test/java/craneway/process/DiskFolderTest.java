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

/** Whatever a folder promised to last does, at every crash point and in every outcome of a loss of power. */
class DiskFolderTest {
    private static final byte[] OLD = {1, 1, 1, 1, 1, 1};
    private static final byte[] NEW = {2, 2, 2, 2};

    @TempDir
    Path root;

    private static DiskFolder on(FakeDirectory d) {
        return new DiskFolder(d, 0);
    }

    private static FakeDirectory holding(String name, byte[] bytes) {
        var d = new FakeDirectory();
        d.shortWrites(true);
        on(d).replace(name, bytes);
        return d;
    }

    private interface Check {
        void on(DiskFolder after, boolean ended);
    }

    /** Crashes the work at each of its steps and at its end, and looks at each outcome of a loss of power. */
    private static void everyCrash(FakeDirectory start, Consumer<DiskFolder> work, Check check) {
        for (var step = 0; ; step++) {
            var d = start.afterKill();
            var at = step;
            d.faults(n -> {
                if (n == at) throw new FakeDirectory.Crash();
            });
            var ended = true;
            try {
                work.accept(on(d));
            } catch (FakeDirectory.Crash e) {
                ended = false;
            }
            for (var o = 0L; o < d.outcomes(); o++) check.on(on(d.afterPowerLoss(o)), ended);
            check.on(on(d.afterKill()), ended);
            if (ended) return;
        }
    }

    @Test
    void replaceLeavesOldOrNewBytesAndLastsOnceItReturned() {
        everyCrash(holding("f", OLD), f -> f.replace("f", NEW), (after, ended) -> {
            var is = after.read("f");
            if (ended || is[0] == 2) assertArrayEquals(NEW, is);
            else assertArrayEquals(OLD, is);
            assertEquals(List.of("f"), after.fileNames());
        });
    }

    @Test
    void replaceMakesAFileWholeOrNotAtAll() {
        everyCrash(new FakeDirectory(), f -> f.replace("f", NEW), (after, ended) -> {
            if (ended || after.read("f") != null) assertArrayEquals(NEW, after.read("f"));
        });
    }

    @Test
    void replaceSyncsTheBytesBeforeTheNameAndTheDirectoryAfterIt() {
        var d = new FakeDirectory();
        on(d).replace("f", new byte[1]);
        assertEquals(
                List.of("make f.tmp", "write f.tmp", "sync f.tmp", "rename f.tmp to f", "sync the directory"),
                d.done());
    }

    @Test
    void renameKeepsTheBytesUnderOneOfBothNamesAndLasts() {
        everyCrash(holding("f", OLD), f -> f.rename("f", "g"), (after, ended) -> {
            var g = after.read("g");
            assertArrayEquals(OLD, g == null ? after.read("f") : g);
            if (ended) assertEquals(List.of("g"), after.fileNames());
        });
    }

    @Test
    void appendedBytesLastOnceSynced() {
        Consumer<DiskFolder> work = f -> {
            f.append("f", NEW, 3);
            f.sync("f");
        };
        everyCrash(holding("f", OLD), work, (after, ended) -> {
            var is = after.read("f");
            for (var i = 0; i < OLD.length; i++) assertEquals(1, is[i]);
            if (ended) assertArrayEquals(new byte[] {1, 1, 1, 1, 1, 1, 2, 2, 2}, is);
        });
        everyCrash(new FakeDirectory(), work, (after, ended) -> {
            if (ended) assertArrayEquals(new byte[] {2, 2, 2}, after.read("f"));
        });
    }

    @Test
    void afterAFailedWriteOrSyncAFileTakesNothingUntilItIsReplaced() {
        for (var step = 0; step < 3; step++) {
            var d = holding("f", OLD);
            var f = on(d);
            failAt(d, step);
            assertThrows(DiskException.class, () -> {
                f.append("f", NEW, 3);
                f.sync("f");
            });
            assertThrows(DiskException.class, () -> f.sync("f"));
            assertThrows(DiskException.class, () -> f.append("f", NEW, 3));
            f.replace("f", NEW);
            f.append("f", NEW, 1);
            f.sync("f");
            assertArrayEquals(new byte[] {2, 2, 2, 2, 2}, f.read("f"));
        }
    }

    private static void failAt(FakeDirectory d, int step) {
        d.faults(n -> {
            if (n == step) throw new IOException("No space left on device");
        });
    }

    @Test
    void aFailedReplaceLeavesTheOldBytesAndNoOtherFile() {
        for (var step = 0; step < 5; step++) {
            var d = holding("f", OLD);
            var f = on(d);
            failAt(d, step);
            var e = assertThrows(DiskException.class, () -> f.replace("f", NEW));
            assertTrue(e.isDiskFull());
            assertArrayEquals(OLD, f.read("f"));
            assertEquals(List.of("f"), d.names());
        }
    }

    @Test
    void leftOverTemporaryFilesGoAtTheNextStart() throws IOException {
        Files.write(root.resolve("p0.image.9.tmp"), NEW);
        Files.write(root.resolve("core"), OLD);
        var f = new DiskFolder(root);
        assertFalse(Files.exists(root.resolve("p0.image.9.tmp")));
        assertEquals(List.of("core"), f.fileNames());
        f.release();
    }

    @Test
    void aFolderOfANewerFormatIsRefusedWithNothingChanged() throws IOException {
        var f = new DiskFolder(root, 0);
        new SegmentLog(f, "p1.", 1);
        f.release();
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
        var all = new TreeMap<String, Integer>();
        try (var files = Files.list(root)) {
            for (var p : files.toList()) all.put(p.getFileName().toString(), Arrays.hashCode(Files.readAllBytes(p)));
        }
        return all;
    }

    @Test
    void onThePlatformFilesAreReplacedRenamedAppendedAndRead() {
        var f = new DiskFolder(root, 0);
        f.replace("a", OLD);
        f.append("a", NEW, 2);
        f.sync("a");
        f.replace("b", NEW);
        f.rename("b", "c");
        f.overwrite("m", NEW);
        f.overwrite("m", new byte[] {9});
        f.release();
        var again = new DiskFolder(root, 0);
        again.append("a", NEW, 1);
        assertArrayEquals(new byte[] {1, 1, 1, 1, 1, 1, 2, 2, 2}, again.read("a"));
        assertArrayEquals(new byte[] {9, 2, 2, 2}, again.read("m"));
        assertArrayEquals(new byte[] {1, 1}, again.readHead("a", 2));
        assertNull(again.read("b"));
        again.delete("m");
        again.delete("m");
        assertEquals(List.of("a", "c"), again.fileNames());
        assertThrows(InvalidSettingsException.class, () -> new DiskFolder(root, 0));
        again.release();
    }

    /** A log on the folder: entries and a snapshot, with a crash at each step; the second start crashes too. */
    @Test
    void aLogOnTheFolderKeepsWhatItAcknowledged() {
        for (var step = 0; ; step++) {
            var d = new FakeDirectory();
            var at = step;
            d.faults(n -> {
                if (n == at) throw new FakeDirectory.Crash();
            });
            var acknowledged = new ArrayList<Long>();
            var ended = play(on(d), acknowledged);
            for (var o = 0L; o < d.outcomes(); o++) holds(d.afterPowerLoss(o), acknowledged);
            crashAgain(d.afterKill(), acknowledged);
            if (ended) return;
        }
    }

    private static void crashAgain(FakeDirectory left, List<Long> acknowledged) {
        for (var step = 0; step < 12; step++) {
            var d = left.afterKill();
            var at = step;
            d.faults(n -> {
                if (n == at) throw new FakeDirectory.Crash();
            });
            try {
                new SegmentLog(on(d), "p0.", 1);
            } catch (FakeDirectory.Crash e) {
                // The loss of power comes next.
            }
            for (var o = 0L; o < d.outcomes(); o++) holds(d.afterPowerLoss(o), acknowledged);
        }
    }

    private static boolean play(Folder folder, List<Long> acknowledged) {
        try {
            var log = new SegmentLog(folder, "p0.", 1);
            for (var i = 1L; i <= 4; i++) {
                log.saveTermAndVote(i, 2);
                log.append(new LogEntry(i, i, LogEntry.COMMAND, new byte[(int) i * 5]));
                log.sync();
                acknowledged.add(i);
                if (i == 2) log.installSnapshot(image(1));
            }
            return true;
        } catch (FakeDirectory.Crash e) {
            return false;
        }
    }

    private static Snapshot image(long index) {
        var i = new Snapshot();
        i.index = index;
        i.term = index;
        i.body = new byte[] {4, 5};
        return i;
    }

    private static void holds(FakeDirectory d, List<Long> acknowledged) {
        var log = new SegmentLog(on(d), "p0.", 1);
        assertTrue(log.lastIndex() >= acknowledged.size(), log.lastIndex() + " of " + acknowledged);
        assertTrue(log.currentTerm() >= acknowledged.size());
        for (var i = log.firstIndex(); i <= log.lastIndex(); i++) assertEquals(i, log.entryAt(i).term);
    }
}
