package craneway.state.disk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.state.disk.LogHistory.Call;
import craneway.state.disk.PowerLossFolder.Fault;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tries every outcome of a loss of power at every disk operation of several histories: everything acknowledged must be
 * read back.
 */
class PowerLossTest {
    /** Keeps the number of outcomes of one crash small enough to try them all. */
    private static final int MAX_UNSYNCED_CHANGES = 8;
    /** Plays a history with a crash at the given disk operation; returns null if the history ends before it. */
    private static LogHistory playUntilCrash(List<Call> calls, int step) {
        var history = new LogHistory(new PowerLossFolder());
        history.folder.setFaults((currentStep, what) -> currentStep == step ? Fault.CRASH : Fault.NONE);
        var ended = history.play(calls);
        return ended && step > history.folder.steps() ? null : history;
    }

    private static List<LogHistory> playAllCrashes(List<Call> calls) {
        var histories = new ArrayList<LogHistory>();
        for (var step = 0; ; step++) {
            var history = playUntilCrash(calls, step);
            if (history == null) return histories;
            assertTrue(
                    history.folder.unsyncedCount() <= MAX_UNSYNCED_CHANGES,
                    () -> history.folder.unsyncedCount() + " unsynced");
            histories.add(history);
        }
    }

    @Test
    void acknowledgedStateSurvivesEveryPowerLossOutcome() {
        var triedOutcomes = 0L;
        var failures = new ArrayList<String>();
        for (var historyCase : HistoryCases.ALL.entrySet())
            for (var history : playAllCrashes(historyCase.getValue()))
                for (var outcome = 0L; outcome < history.folder.outcomeCount(); outcome++, triedOutcomes++)
                    checkOutcome(history, outcome, historyCase.getKey(), failures);
        System.out.println("PowerLossTest: " + triedOutcomes + " outcomes, " + failures.size() + " wrong");
        assertEquals(List.of(), failures.subList(0, Math.min(5, failures.size())));
    }

    private static void checkOutcome(LogHistory history, long outcome, String name, List<String> failures) {
        try {
            history.check(
                    history.folder.afterPowerLoss(outcome),
                    name + ", step " + history.folder.steps() + ", outcome " + outcome);
        } catch (AssertionError e) {
            failures.add(e.getMessage());
        }
    }

    @Test
    void secondCrashDuringRestartLosesNothing() {
        var triedOutcomes = 0L;
        var failures = new ArrayList<String>();
        for (var historyCase : HistoryCases.ALL.entrySet())
            for (var history : playAllCrashes(historyCase.getValue()))
                triedOutcomes += crashAgain(history, historyCase.getKey(), failures);
        System.out.println(
                "PowerLossTest: " + triedOutcomes + " outcomes of two crashes, " + failures.size() + " wrong");
        assertEquals(List.of(), failures.subList(0, Math.min(5, failures.size())));
    }

    private static long crashAgain(LogHistory history, String name, List<String> failures) {
        var triedOutcomes = crashAgain(history, history.folder::afterKill, name + " killed", failures);
        var outcomeCount = history.folder.outcomeCount();
        var stride = Math.max(1, outcomeCount / 40 | 1);
        for (var outcome = 0L; outcome < outcomeCount; outcome += stride) {
            var currentOutcome = outcome;
            triedOutcomes += crashAgain(
                    history,
                    () -> history.folder.afterPowerLoss(currentOutcome),
                    name + " outcome " + currentOutcome,
                    failures);
        }
        return triedOutcomes;
    }

    /** Supplies the folder that the first crash left behind. */
    private interface FolderAfterCrash {
        PowerLossFolder folder();
    }

    private static long crashAgain(
            LogHistory history, FolderAfterCrash afterCrash, String name, List<String> failures) {
        var triedOutcomes = 0L;
        for (var step = 0; ; step++) {
            var folder = afterCrash.folder();
            var crashStep = step;
            folder.setFaults((currentStep, what) -> currentStep == crashStep ? Fault.CRASH : Fault.NONE);
            var ended = open(folder);
            for (var outcome = 0L; outcome < folder.outcomeCount(); outcome++, triedOutcomes++) {
                try {
                    history.check(folder.afterPowerLoss(outcome), name + ", again at " + step + ", outcome " + outcome);
                } catch (AssertionError e) {
                    failures.add(e.getMessage());
                }
            }
            if (ended) return triedOutcomes;
        }
    }

    private static boolean open(PowerLossFolder folder) {
        try {
            new SegmentLog(folder, LogHistory.PREFIX, LogHistory.CORE_HASH);
            return true;
        } catch (PowerLossFolder.Crash e) {
            return false;
        } catch (DiskLostException e) {
            return true;
        }
    }
}
