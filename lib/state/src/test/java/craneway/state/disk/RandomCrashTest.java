package craneway.state.disk;

import craneway.state.disk.LogHistory.Call;
import craneway.state.disk.PowerLossFolder.Fault;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Random histories with random crash points, failing steps and losses of power, life after life on one disk: a restarted
 * log never holds less than was acknowledged. The property craneway.lives sets how many lives are tried.
 */
class RandomCrashTest {
    private static final int LIVES = Integer.getInteger("craneway.lives", 20_000);
    private static final int LIVES_OF_A_DISK = 40;
    private static final int MOST_CALLS = 30;

    @Test
    void aRestartedLogNeverHoldsLessThanWasAcknowledged() {
        for (var seed = 0; seed < LIVES / LIVES_OF_A_DISK; seed++) oneDisk(seed);
    }

    private static void oneDisk(int seed) {
        var random = new Random(seed);
        var folder = new PowerLossFolder();
        var acknowledged = new LogHistory(folder);
        for (var life = 0; life < LIVES_OF_A_DISK; life++) {
            var h = live(folder, random);
            if (h.opened) acknowledged = h;
            folder = random.nextInt(3) > 0 ? h.folder.afterPowerLoss(random) : h.folder.afterKill();
            acknowledged.check(folder.afterKill(), "seed " + seed + " life " + life);
        }
    }

    /** One life of the process. Where it could not write its first segment, it has acknowledged nothing. */
    private static LogHistory live(PowerLossFolder folder, Random random) {
        var before = LogHistory.goingOn(folder.afterKill());
        var h = new LogHistory(folder);
        h.states.set(0, before.states.get(0));
        var crash = random.nextInt(60);
        var fails = random.nextInt(4) == 0 ? random.nextInt(40) : Integer.MAX_VALUE;
        var how = random.nextBoolean() ? Fault.REFUSED : Fault.SHORT;
        folder.faults((n, what) -> n == crash ? Fault.CRASH : n >= fails ? how : Fault.NONE);
        h.play(calls(random, random.nextInt(MOST_CALLS)));
        return h;
    }

    private static List<Call> calls(Random random, int n) {
        var all = new ArrayList<Call>();
        for (var i = 0; i < n; i++) all.add(call(random.nextInt(20), random.nextInt(1_000)));
        return all;
    }

    private static Call call(int kind, int salt) {
        if (kind < 2)
            return h -> LogHistory.vote(h.log.currentTerm() + salt % 2, salt % 4).on(h);
        if (kind < 3) return RandomCrashTest::take;
        if (kind < 5) return h -> cutSome(h, salt);
        if (kind < 12)
            return h -> LogHistory.entry(Math.max(1, h.log.currentTerm()), salt % 90).on(h);
        return LogHistory.sync();
    }

    private static void cutSome(LogHistory h, int salt) {
        var held = h.log.lastIndex() - h.log.firstIndex() + 1;
        if (held > 0) LogHistory.cut(h.log.lastIndex() - salt % Math.min(held, 3)).on(h);
    }

    private static void take(LogHistory h) {
        var index = (h.log.firstIndex() + h.log.lastIndex()) / 2;
        if (index >= h.log.firstIndex()) LogHistory.take(index, h.log.termAt(index)).on(h);
    }
}
