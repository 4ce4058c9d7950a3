package craneway.control.operator;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Checks that a process that stood still refuses the requests that piled up meanwhile: their callers have given up, and
 * may have had a request that reverses them acknowledged elsewhere.
 */
class PauseGuardTest {
    private static final long START_MICROS = -7_000_000;
    private static final long TICK_MICROS = 20_000;

    private final PauseGuard guard = new PauseGuard(START_MICROS);
    private final PauseGuard.Connection connection = new PauseGuard.Connection();
    private long now = START_MICROS;

    /** Lets time pass with regular ticks. */
    private void tickFor(long elapsedMicros) {
        for (var endMicros = now + elapsedMicros; now < endMicros; guard.tick(now)) now += TICK_MICROS;
    }

    /** Lets time pass without a tick. */
    private void standStill(long elapsedMicros) {
        now += elapsedMicros;
    }

    private boolean admitsNow(PauseGuard.Connection fromConnection) {
        return guard.admits(fromConnection, now, now);
    }

    @Test
    void aRunningProcessAdmitsEveryRequest() {
        assertTrue(admitsNow(connection));
        tickFor(3_000_000);
        assertTrue(admitsNow(connection));
        assertTrue(admitsNow(new PauseGuard.Connection()));
    }

    @Test
    void refusesRequestsReadBeforeTheFirstTickAfterAPause() {
        tickFor(1_000_000);
        standStill(1_000_000);
        assertFalse(admitsNow(new PauseGuard.Connection()));
        assertFalse(admitsNow(connection));
    }

    @Test
    void refusesRequestsReadSoonAfterTheFirstTickAfterAPause() {
        tickFor(1_000_000);
        standStill(1_000_000);
        guard.tick(now);
        assertFalse(admitsNow(connection));
        tickFor(PauseGuard.SETTLE_TIME_MICROS - 2 * TICK_MICROS);
        assertFalse(admitsNow(new PauseGuard.Connection()));
    }

    @Test
    void admitsNewConnectionsOnceThePauseHasSettled() {
        tickFor(1_000_000);
        standStill(20_000_000);
        tickFor(PauseGuard.SETTLE_TIME_MICROS + 2 * TICK_MICROS);
        assertTrue(admitsNow(new PauseGuard.Connection()));
    }

    @Test
    void refusesOnlyTheFirstRequestOnAConnectionUsedBeforeAPause() {
        assertTrue(admitsNow(connection));
        standStill(3_000_000);
        tickFor(10_000_000);
        assertFalse(admitsNow(connection));
        tickFor(TICK_MICROS);
        assertTrue(admitsNow(connection));
    }

    @Test
    void refusesARequestWhoseBodyWasReadAcrossAPause() {
        tickFor(1_000_000);
        var readStartedAt = now;
        standStill(2_000_000);
        tickFor(PauseGuard.SETTLE_TIME_MICROS + 2 * TICK_MICROS);
        assertFalse(guard.admits(new PauseGuard.Connection(), readStartedAt, now));
    }

    @Test
    void admitsARequestWhoseBodyArrivesSlowlyWithoutAPause() {
        var readStartedAt = now;
        tickFor(5_000_000);
        assertTrue(guard.admits(connection, readStartedAt, now));
    }

    @Test
    void slightlyLateTicksAreNoPause() {
        for (var round = 0; round < 50; round++) {
            standStill(PauseGuard.MAX_TICK_GAP_MICROS - TICK_MICROS);
            guard.tick(now);
            assertTrue(admitsNow(connection));
        }
    }

    @Test
    void detectsEveryPauseLongerThanACallerWaitsWhereverItFallsBetweenTicks() {
        for (var runningFor = 0L; runningFor <= 100_000; runningFor += 1_000) {
            var pausedGuard = new PauseGuard(START_MICROS);
            var lastTick = START_MICROS;
            while (lastTick + TICK_MICROS <= START_MICROS + runningFor) pausedGuard.tick(lastTick += TICK_MICROS);
            var resumedAt = START_MICROS + runningFor + 1_000_000;
            assertFalse(
                    pausedGuard.admits(new PauseGuard.Connection(), resumedAt, resumedAt),
                    "frozen after " + runningFor);
        }
    }
}
