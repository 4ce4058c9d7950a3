package craneway.state.disk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.state.disk.LogHistory.Call;
import craneway.state.disk.PowerLossFolder.Fault;
import craneway.state.part.LogEntry;
import craneway.state.part.Snapshot;
import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Writes and syncs that are refused or fall short: what was acknowledged stays, and nothing refused is believed. */
class FailingDiskTest {
    /** Plays a history in which the steps from one number to another fail, the second not included. */
    private static LogHistory failing(List<Call> calls, int from, int to, Fault fault) {
        var h = new LogHistory(new PowerLossFolder());
        h.folder.faults((n, what) -> n >= from && n < to ? fault : Fault.NONE);
        h.play(calls);
        return h;
    }

    private interface Check {
        void on(LogHistory h, String where);
    }

    private static void each(Check check) {
        for (var e : HistoryCases.ALL.entrySet())
            for (var fault : List.of(Fault.REFUSED, Fault.SHORT)) each(e.getKey(), e.getValue(), fault, check);
    }

    private static void each(String name, List<Call> calls, Fault fault, Check check) {
        var all = failing(calls, 0, 0, fault).folder.steps();
        for (var step = 0; step < all; step++)
            for (var length : new int[] {1, 2, 1_000})
                check.on(failing(calls, step, step + length, fault), name + ", " + fault + " at " + step);
    }

    @Test
    void whatWasAcknowledgedIsReadBackOnceTheDiskWorksAgain() {
        each((h, where) -> {
            h.folder.faults((n, what) -> Fault.NONE);
            h.check(h.folder, where);
            h.check(h.folder, where + ", read again");
        });
    }

    @Test
    void whatWasAcknowledgedIsReadBackAfterALossOfPower() {
        each((h, where) -> {
            for (var o = 0L; o < h.folder.outcomes(); o++) h.check(h.folder.afterPowerLoss(o), where + " " + o);
        });
    }

    /** A sync that failed leaves bytes that can be read but never reach the disk, whatever a later sync says. */
    @Test
    void afterAFailedSyncTheBytesAreWrittenAnewBeforeTheyCount() {
        each((h, where) -> {
            h.folder.faults((n, what) -> Fault.NONE);
            var again = LogHistory.goingOn(h.folder);
            assertTrue(again.make(List.of(LogHistory.vote(90, 1), LogHistory.sync())));
            for (var o = 0L; o < h.folder.outcomes(); o++) again.check(h.folder.afterPowerLoss(o), where + " " + o);
        });
    }

    @Test
    void afterAFailureTheLogTakesNothingMore() {
        var h = new LogHistory(new PowerLossFolder());
        h.play(List.of(LogHistory.vote(1, 1), LogHistory.entry(1, 4), LogHistory.sync(), LogHistory.entry(1, 5)));
        h.folder.faults((n, what) -> n == 0 ? Fault.REFUSED : Fault.NONE);
        var before = LogHistory.describe(h.log);
        assertThrows(DiskException.class, h.log::sync);
        refusesAll(h.log);
        assertThrows(DiskException.class, h.log::sync);
        assertTrue(h.log.isDirty());
        assertEquals(before, LogHistory.describe(h.log));
    }

    private static void refusesAll(SegmentLog log) {
        assertThrows(DiskException.class, () -> log.saveTermAndVote(50, 1));
        assertThrows(DiskException.class, () -> log.append(new LogEntry(log.lastIndex() + 1, 50, LogEntry.COMMAND, new byte[3])));
        if (log.lastIndex() >= log.firstIndex()) assertThrows(DiskException.class, () -> log.truncateFrom(log.lastIndex()));
        var i = new Snapshot();
        i.index = 99;
        i.body = new byte[3];
        assertThrows(DiskException.class, () -> log.installSnapshot(i));
    }

    /** Without a byte of space the log is read; it counts as synced only where the mark proves it. */
    @Test
    void aRestartWithAFullDiskReadsAndGoesOnOnceThereIsSpace() {
        for (var e : HistoryCases.ALL.entrySet()) {
            var h = new LogHistory(new PowerLossFolder());
            h.play(e.getValue());
            var unsynced = h.acknowledged < h.states.size() - 1;
            fullThenFree(h, h.folder.afterKill(), unsynced, e.getKey());
        }
    }

    private static void fullThenFree(LogHistory h, PowerLossFolder f, boolean unsynced, String name) {
        var before = contents(f);
        f.faults((n, what) -> Fault.REFUSED);
        var log = new SegmentLog(f, LogHistory.PREFIX, LogHistory.CORE);
        assertEquals(h.states.get(h.states.size() - 1), LogHistory.describe(log), name);
        assertEquals(unsynced, log.isDirty(), name);
        if (unsynced) assertThrows(DiskException.class, log::sync, name);
        else log.sync();
        refusesAll(log);
        assertEquals(h.states.get(h.states.size() - 1), LogHistory.describe(log), name);
        assertEquals(before, contents(f), name);
        f.faults((n, what) -> Fault.NONE);
        var again = LogHistory.goingOn(f);
        assertEquals(h.states.get(h.states.size() - 1), LogHistory.describe(again.log), name);
        assertFalse(again.log.isDirty());
        assertTrue(again.make(List.of(LogHistory.entry(9, 4), LogHistory.sync())));
        for (var o = 0L; o < f.outcomes(); o++) again.check(f.afterPowerLoss(o), name + " " + o);
    }

    private static TreeMap<String, Integer> contents(Folder f) {
        var all = new TreeMap<String, Integer>();
        f.fileNames().forEach(n -> all.put(n, java.util.Arrays.hashCode(f.read(n))));
        return all;
    }
}
