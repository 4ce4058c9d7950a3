package craneway.state.disk;

import craneway.state.disk.LogHistory.Call;
import craneway.state.disk.PowerLossFolder.Fault;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Runs processes one after the other on one disk with random histories, crash points, failing disk operations and
 * losses of power. A restarted log must hold at least what was acknowledged. The property craneway.lives sets the
 * number of process runs.
 */
class RandomCrashTest {
    private static final int PROCESS_RUNS = Integer.getInteger("craneway.lives", 20_000);
    private static final int PROCESS_RUNS_PER_DISK = 40;
    private static final int MAX_CALLS_PER_RUN = 30;

    @Test
    void restartedLogHoldsEverythingAcknowledged() {
        for (var seed = 0; seed < PROCESS_RUNS / PROCESS_RUNS_PER_DISK; seed++) runProcessesOnOneDisk(seed);
    }

    private static void runProcessesOnOneDisk(int seed) {
        var random = new Random(seed);
        var folder = new PowerLossFolder();
        var acknowledged = new LogHistory(folder);
        for (var run = 0; run < PROCESS_RUNS_PER_DISK; run++) {
            var history = runProcess(folder, random);
            if (history.opened) acknowledged = history;
            folder = random.nextInt(3) > 0 ? history.folder.afterPowerLoss(random) : history.folder.afterKill();
            acknowledged.check(folder.afterKill(), "seed " + seed + " run " + run);
        }
    }

    /** Runs one process. If it could not write its first segment, it has acknowledged nothing. */
    private static LogHistory runProcess(PowerLossFolder folder, Random random) {
        var before = LogHistory.continueFrom(folder.afterKill());
        var history = new LogHistory(folder);
        history.states.set(0, before.states.get(0));
        var crashStep = random.nextInt(60);
        var firstFailingStep = random.nextInt(4) == 0 ? random.nextInt(40) : Integer.MAX_VALUE;
        var fault = random.nextBoolean() ? Fault.REFUSED : Fault.SHORT;
        folder.setFaults(
                (step, operation) -> step == crashStep ? Fault.CRASH : step >= firstFailingStep ? fault : Fault.NONE);
        history.play(randomCalls(random, random.nextInt(MAX_CALLS_PER_RUN)));
        return history;
    }

    private static List<Call> randomCalls(Random random, int count) {
        var calls = new ArrayList<Call>();
        for (var i = 0; i < count; i++) calls.add(randomCall(random.nextInt(20), random.nextInt(1_000)));
        return calls;
    }

    private static Call randomCall(int kind, int salt) {
        if (kind < 2)
            return history -> LogHistory.vote(history.log.currentTerm() + salt % 2, salt % 4)
                    .applyTo(history);
        if (kind < 3) return RandomCrashTest::installSnapshotOfHalf;
        if (kind < 5) return history -> truncateSome(history, salt);
        if (kind < 12)
            return history -> LogHistory.entry(Math.max(1, history.log.currentTerm()), salt % 90)
                    .applyTo(history);
        return LogHistory.sync();
    }

    private static void truncateSome(LogHistory history, int salt) {
        var heldEntries = history.log.lastIndex() - history.log.firstIndex() + 1;
        if (heldEntries > 0)
            LogHistory.truncate(history.log.lastIndex() - salt % Math.min(heldEntries, 3))
                    .applyTo(history);
    }

    private static void installSnapshotOfHalf(LogHistory history) {
        var index = (history.log.firstIndex() + history.log.lastIndex()) / 2;
        if (index >= history.log.firstIndex())
            LogHistory.installSnapshot(index, history.log.termAt(index)).applyTo(history);
    }
}
