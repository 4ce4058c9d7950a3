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

/**
 * Checks the log when writes and syncs are refused or cut short: acknowledged changes survive, and refused ones are not
 * treated as durable.
 */
class FailingDiskTest {
    /** Plays a history in which the disk operations from one number up to, but excluding, another fail. */
    private static LogHistory playWithFaults(List<Call> calls, int from, int to, Fault fault) {
        var history = new LogHistory(new PowerLossFolder());
        history.folder.setFaults((step, operation) -> step >= from && step < to ? fault : Fault.NONE);
        history.play(calls);
        return history;
    }

    /** A check run after a history with faults. */
    private interface Check {
        void check(LogHistory h, String where);
    }

    private static void forEachFault(Check check) {
        for (var historyCase : HistoryCases.ALL.entrySet())
            for (var fault : List.of(Fault.REFUSED, Fault.SHORT))
                forEachFault(historyCase.getKey(), historyCase.getValue(), fault, check);
    }

    private static void forEachFault(String name, List<Call> calls, Fault fault, Check check) {
        var stepCount = playWithFaults(calls, 0, 0, fault).folder.steps();
        for (var step = 0; step < stepCount; step++)
            for (var failingSteps : new int[] {1, 2, 1_000})
                check.check(
                        playWithFaults(calls, step, step + failingSteps, fault), name + ", " + fault + " at " + step);
    }

    @Test
    void acknowledgedStateIsReadBackAfterDiskRecovers() {
        forEachFault((history, where) -> {
            history.folder.setFaults((step, operation) -> Fault.NONE);
            history.check(history.folder, where);
            history.check(history.folder, where + ", read again");
        });
    }

    @Test
    void acknowledgedStateSurvivesPowerLossAfterFaults() {
        forEachFault((history, where) -> {
            for (var outcome = 0L; outcome < history.folder.outcomeCount(); outcome++)
                history.check(history.folder.afterPowerLoss(outcome), where + " " + outcome);
        });
    }

    /** A failed sync leaves bytes that can be read but may never reach the disk, even if a later sync succeeds. */
    @Test
    void bytesOfFailedSyncAreRewrittenBeforeTheyCount() {
        forEachFault((history, where) -> {
            history.folder.setFaults((step, operation) -> Fault.NONE);
            var continued = LogHistory.continueFrom(history.folder);
            assertTrue(continued.makeCalls(List.of(LogHistory.vote(90, 1), LogHistory.sync())));
            for (var outcome = 0L; outcome < history.folder.outcomeCount(); outcome++)
                continued.check(history.folder.afterPowerLoss(outcome), where + " " + outcome);
        });
    }

    @Test
    void logRefusesChangesAfterFailure() {
        var history = new LogHistory(new PowerLossFolder());
        history.play(List.of(LogHistory.vote(1, 1), LogHistory.entry(1, 4), LogHistory.sync(), LogHistory.entry(1, 5)));
        history.folder.setFaults((step, operation) -> step == 0 ? Fault.REFUSED : Fault.NONE);
        var before = LogHistory.describe(history.log);
        assertThrows(DiskException.class, history.log::sync);
        assertRefusesAllChanges(history.log);
        assertThrows(DiskException.class, history.log::sync);
        assertTrue(history.log.isDirty());
        assertEquals(before, LogHistory.describe(history.log));
    }

    private static void assertRefusesAllChanges(SegmentLog log) {
        assertThrows(DiskException.class, () -> log.saveTermAndVote(50, 1));
        assertThrows(
                DiskException.class,
                () -> log.append(new LogEntry(log.lastIndex() + 1, 50, LogEntry.COMMAND, new byte[3])));
        if (log.lastIndex() >= log.firstIndex())
            assertThrows(DiskException.class, () -> log.truncateFrom(log.lastIndex()));
        var snapshot = new Snapshot();
        snapshot.index = 99;
        snapshot.body = new byte[3];
        assertThrows(DiskException.class, () -> log.installSnapshot(snapshot));
    }

    /** On a full disk the log can be read; it counts as synced only if the sync mark proves it. */
    @Test
    void restartOnFullDiskReadsAndContinuesOnceThereIsSpace() {
        for (var historyCase : HistoryCases.ALL.entrySet()) {
            var history = new LogHistory(new PowerLossFolder());
            history.play(historyCase.getValue());
            var unsynced = history.acknowledgedState < history.states.size() - 1;
            restartOnFullThenFreeDisk(history, history.folder.afterKill(), unsynced, historyCase.getKey());
        }
    }

    private static void restartOnFullThenFreeDisk(
            LogHistory history, PowerLossFolder folder, boolean unsynced, String name) {
        var before = contents(folder);
        folder.setFaults((step, operation) -> Fault.REFUSED);
        var log = new SegmentLog(folder, LogHistory.PREFIX, LogHistory.CORE_HASH);
        assertEquals(history.states.get(history.states.size() - 1), LogHistory.describe(log), name);
        assertEquals(unsynced, log.isDirty(), name);
        if (unsynced) assertThrows(DiskException.class, log::sync, name);
        else log.sync();
        assertRefusesAllChanges(log);
        assertEquals(history.states.get(history.states.size() - 1), LogHistory.describe(log), name);
        assertEquals(before, contents(folder), name);
        folder.setFaults((step, operation) -> Fault.NONE);
        var continued = LogHistory.continueFrom(folder);
        assertEquals(history.states.get(history.states.size() - 1), LogHistory.describe(continued.log), name);
        assertFalse(continued.log.isDirty());
        assertTrue(continued.makeCalls(List.of(LogHistory.entry(9, 4), LogHistory.sync())));
        for (var outcome = 0L; outcome < folder.outcomeCount(); outcome++)
            continued.check(folder.afterPowerLoss(outcome), name + " " + outcome);
    }

    private static TreeMap<String, Integer> contents(Folder folder) {
        var contents = new TreeMap<String, Integer>();
        folder.fileNames().forEach(name -> contents.put(name, java.util.Arrays.hashCode(folder.read(name))));
        return contents;
    }
}
