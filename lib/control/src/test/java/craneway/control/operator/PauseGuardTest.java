package craneway.control.operator;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class PauseGuardTest {
    private static final long START = -7_000_000, TICK = 20_000;

    private final PauseGuard guard = new PauseGuard(START);
    private final PauseGuard.Connection connection = new PauseGuard.Connection();
    private long now = START;

    private void ticks(long micros) {
        for (var until = now + micros; now < until; guard.tick(now)) now += TICK;
    }

    private void freeze(long micros) {
        now += micros;
    }

    private boolean admits(PauseGuard.Connection c) {
        return guard.admits(c, now, now);
    }

    @Test
    void aProcessThatRunsAdmitsAll() {
        assertTrue(admits(connection));
        ticks(3_000_000);
        assertTrue(admits(connection));
        assertTrue(admits(new PauseGuard.Connection()));
    }

    @Test
    void whatIsReadBeforeTheFirstTickAfterAFreezeIsRefused() {
        ticks(1_000_000);
        freeze(1_000_000);
        assertFalse(admits(new PauseGuard.Connection()));
        assertFalse(admits(connection));
    }

    @Test
    void whatIsReadAfterTheFirstTickAfterAFreezeIsRefusedToo() {
        ticks(1_000_000);
        freeze(1_000_000);
        guard.tick(now);
        assertFalse(admits(connection));
        ticks(PauseGuard.SETTLE_MICROS - 2 * TICK);
        assertFalse(admits(new PauseGuard.Connection()));
    }

    @Test
    void newConnectionsAreAdmittedAgainAWhileAfterAFreeze() {
        ticks(1_000_000);
        freeze(20_000_000);
        ticks(PauseGuard.SETTLE_MICROS + 2 * TICK);
        assertTrue(admits(new PauseGuard.Connection()));
    }

    @Test
    void theFirstOrderOnAConnectionUsedBeforeAFreezeIsRefusedAndTheNextIsNot() {
        assertTrue(admits(connection));
        freeze(3_000_000);
        ticks(10_000_000);
        assertFalse(admits(connection));
        ticks(TICK);
        assertTrue(admits(connection));
    }

    @Test
    void anOrderWhoseBodyWasReadAcrossAFreezeIsRefused() {
        ticks(1_000_000);
        var began = now;
        freeze(2_000_000);
        ticks(PauseGuard.SETTLE_MICROS + 2 * TICK);
        assertFalse(guard.admits(new PauseGuard.Connection(), began, now));
    }

    @Test
    void anOrderWhoseBodyComesSlowlyWithoutAFreezeIsAdmitted() {
        var began = now;
        ticks(5_000_000);
        assertTrue(guard.admits(connection, began, now));
    }

    @Test
    void ticksThatAreALittleLateAreNoFreeze() {
        for (var i = 0; i < 50; i++) {
            freeze(PauseGuard.MAX_TICK_GAP_MICROS - TICK);
            guard.tick(now);
            assertTrue(admits(connection));
        }
    }

    @Test
    void everyFreezeThatOutlastsACallersTimeoutIsSeenWhereverItFalls() {
        for (var at = 0L; at <= 100_000; at += 1_000) {
            var g = new PauseGuard(START);
            var t = START;
            while (t + TICK <= START + at) g.tick(t += TICK);
            var woke = START + at + 1_000_000;
            assertFalse(g.admits(new PauseGuard.Connection(), woke, woke), "frozen after " + at);
        }
    }
}
