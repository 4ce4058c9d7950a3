package craneway.control.operator;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Checks that a process that stood still refuses the orders that piled up meanwhile: their callers have given up, and
 * may have had the reverse order acknowledged elsewhere.
 */
class WakeGuardTest {
    private static final long START_MICROS = -7_000_000;
    private static final long TICK_MICROS = 20_000;

    private final WakeGuard guard = new WakeGuard(START_MICROS);
    private final WakeGuard.Connection connection = new WakeGuard.Connection();
    private long now = START_MICROS;

    /** Lets time pass with regular ticks. */
    private void tickFor(long micros) {
        for (var until = now + micros; now < until; guard.tick(now)) now += TICK_MICROS;
    }

    /** Lets time pass without a tick. */
    private void standStill(long micros) {
        now += micros;
    }

    private boolean admitsNow(WakeGuard.Connection fromConnection) {
        return guard.admits(fromConnection, now, now);
    }

    @Test
    void aRunningProcessAdmitsEveryOrder() {
        assertTrue(admitsNow(connection));
        tickFor(3_000_000);
        assertTrue(admitsNow(connection));
        assertTrue(admitsNow(new WakeGuard.Connection()));
    }

    @Test
    void refusesOrdersReadBeforeTheFirstTickAfterAPause() {
        tickFor(1_000_000);
        standStill(1_000_000);
        assertFalse(admitsNow(new WakeGuard.Connection()));
        assertFalse(admitsNow(connection));
    }

    @Test
    void refusesOrdersReadSoonAfterTheFirstTickAfterAPause() {
        tickFor(1_000_000);
        standStill(1_000_000);
        guard.tick(now);
        assertFalse(admitsNow(connection));
        tickFor(WakeGuard.SETTLE - 2 * TICK_MICROS);
        assertFalse(admitsNow(new WakeGuard.Connection()));
    }

    @Test
    void admitsNewConnectionsOnceThePauseHasSettled() {
        tickFor(1_000_000);
        standStill(20_000_000);
        tickFor(WakeGuard.SETTLE + 2 * TICK_MICROS);
        assertTrue(admitsNow(new WakeGuard.Connection()));
    }

    @Test
    void refusesOnlyTheFirstOrderOnAConnectionUsedBeforeAPause() {
        assertTrue(admitsNow(connection));
        standStill(3_000_000);
        tickFor(10_000_000);
        assertFalse(admitsNow(connection));
        tickFor(TICK_MICROS);
        assertTrue(admitsNow(connection));
    }

    @Test
    void refusesAnOrderWhoseBodyWasReadAcrossAPause() {
        tickFor(1_000_000);
        var readStartedAt = now;
        standStill(2_000_000);
        tickFor(WakeGuard.SETTLE + 2 * TICK_MICROS);
        assertFalse(guard.admits(new WakeGuard.Connection(), readStartedAt, now));
    }

    @Test
    void admitsAnOrderWhoseBodyArrivesSlowlyWithoutAPause() {
        var readStartedAt = now;
        tickFor(5_000_000);
        assertTrue(guard.admits(connection, readStartedAt, now));
    }

    @Test
    void slightlyLateTicksAreNoPause() {
        for (var round = 0; round < 50; round++) {
            standStill(WakeGuard.GAP - TICK_MICROS);
            guard.tick(now);
            assertTrue(admitsNow(connection));
        }
    }

    @Test
    void detectsEveryPauseLongerThanACallerWaitsWhereverItFallsBetweenTicks() {
        for (var runningFor = 0L; runningFor <= 100_000; runningFor += 1_000) {
            var pausedGuard = new WakeGuard(START_MICROS);
            var lastTick = START_MICROS;
            while (lastTick + TICK_MICROS <= START_MICROS + runningFor) pausedGuard.tick(lastTick += TICK_MICROS);
            var resumedAt = START_MICROS + runningFor + 1_000_000;
            assertFalse(
                    pausedGuard.admits(new WakeGuard.Connection(), resumedAt, resumedAt), "frozen after " + runningFor);
        }
    }
}
