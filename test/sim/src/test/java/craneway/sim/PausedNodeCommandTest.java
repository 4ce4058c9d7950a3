package craneway.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.control.operator.PauseGuard;
import craneway.control.operator.PlatformCommands;
import craneway.control.store.Quorum;
import craneway.model.unit.Parts;
import craneway.model.unit.TimingProfile;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A node that was paused reads commands whose callers gave up after one second: meanwhile they sent the command to
 * another node and, once it was acknowledged, the opposite one. The stale commands must not be executed.
 */
class PausedNodeCommandTest {
    private static final Map<String, String> REGION_BY_ZONE = Map.of("z1", "a", "z2", "b", "z3", "c");
    private static final long TICK_MICROS = 20_000;

    /**
     * The operator endpoint of a store: commands that wait unread in sockets, and the pause guard, on the simulated
     * clock.
     */
    private final class OperatorEndpoint {
        final Cluster.Member node;
        final PlatformCommands platformCommands;
        final PauseGuard pauseGuard;
        final Deque<Runnable> unreadCommands = new ArrayDeque<>();
        boolean paused;
        boolean guardEnabled = true;

        OperatorEndpoint(Cluster.Member node) {
            this.node = node;
            platformCommands = new PlatformCommands(node.store.coreClient());
            pauseGuard = new PauseGuard(node.now());
            tick();
        }

        private void tick() {
            if (!paused) pauseGuard.tick(node.now());
            cluster.sim.scheduleAfter(TICK_MICROS, this::tick);
        }

        CommandStatus sendCommand(boolean emptied) {
            return sendCommand(new PauseGuard.Connection(), emptied);
        }

        CommandStatus sendCommand(PauseGuard.Connection connection, boolean emptied) {
            var status = new CommandStatus();
            Runnable read = () -> readCommand(connection, emptied, status);
            if (paused) unreadCommands.add(read);
            else read.run();
            return status;
        }

        private void readCommand(PauseGuard.Connection connection, boolean emptied, CommandStatus command) {
            var now = node.now();
            if (guardEnabled && !pauseGuard.admits(connection, now, now)) command.status = 503;
            else platformCommands.markZone("z1", emptied, now, result -> command.status = result.isRight() ? 200 : 503);
        }

        void resume() {
            paused = false;
            while (!unreadCommands.isEmpty()) unreadCommands.poll().run();
        }
    }

    /** The HTTP status of a command; 0 until it is answered. */
    private static final class CommandStatus {
        int status;
    }

    private Cluster cluster;
    private OperatorEndpoint pausedEndpoint;
    private OperatorEndpoint otherEndpoint;

    @BeforeEach
    void startCluster() {
        cluster = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.toleratingLosses(1, REGION_BY_ZONE))
                .addStores("z1", "z2", "z3");
        assertTrue(cluster.runUntil(cluster::allPartsHaveLeaders, 10) < 8, () -> String.join("\n", cluster.eventLog));
        cluster.runFor(5);
        var followers = cluster.members.values().stream()
                .filter(member -> member != cluster.leaderOf(Parts.MANIFEST_PART))
                .toList();
        pausedEndpoint = new OperatorEndpoint(followers.get(0));
        otherEndpoint = new OperatorEndpoint(followers.get(1));
        assertMarkAcknowledged(pausedEndpoint, false);
        assertMarkAcknowledged(otherEndpoint, false);
    }

    private void assertMarkAcknowledged(OperatorEndpoint endpoint, boolean emptied) {
        var command = endpoint.sendCommand(emptied);
        cluster.runUntil(() -> command.status != 0, 2);
        assertEquals(200, command.status, () -> String.join("\n", cluster.eventLog));
    }

    private boolean isZoneEmptied() {
        return cluster.leaderOf(Parts.MANIFEST_PART)
                .store
                .replicas()[Parts.MANIFEST_PART]
                .records()
                .rows()
                .manifest
                .marks
                .containsKey("zone:z1");
    }

    /**
     * Sends a command to a paused endpoint, the same and the opposite one to the other, then resumes the paused one.
     */
    private CommandStatus sendCommandDuringPause(PauseGuard.Connection connection, double pauseSeconds) {
        pausedEndpoint.paused = true;
        cluster.runFor(0.1);
        var command = pausedEndpoint.sendCommand(connection, true);
        cluster.runFor(1);
        assertMarkAcknowledged(otherEndpoint, true);
        assertMarkAcknowledged(otherEndpoint, false);
        cluster.runFor(pauseSeconds);
        pausedEndpoint.resume();
        cluster.runFor(2);
        return command;
    }

    @Test
    void aCommandReadAfterAPauseIsRejectedAndHasNoEffect() {
        for (var seconds : new double[] {0, 0.5, 2, 18}) {
            var command = sendCommandDuringPause(new PauseGuard.Connection(), seconds);
            assertEquals(503, command.status);
            assertFalse(isZoneEmptied());
        }
    }

    @Test
    void aCommandReadAfterAPauseOnAnOlderConnectionIsRejectedToo() {
        var connection = new PauseGuard.Connection();
        var commandBefore = pausedEndpoint.sendCommand(connection, false);
        cluster.runUntil(() -> commandBefore.status != 0, 2);
        assertEquals(503, sendCommandDuringPause(connection, 2).status);
        assertFalse(isZoneEmptied());
    }

    @Test
    void withoutTheGuardAStaleCommandIsExecuted() {
        pausedEndpoint.guardEnabled = false;
        assertEquals(200, sendCommandDuringPause(new PauseGuard.Connection(), 2).status);
        assertTrue(isZoneEmptied());
    }

    @Test
    void commandsAreAcceptedAgainSoonAfterAPause() {
        pausedEndpoint.paused = true;
        cluster.runFor(5);
        pausedEndpoint.resume();
        cluster.runFor((PauseGuard.SETTLE_TIME_MICROS + 2 * TICK_MICROS) / 1e6);
        assertMarkAcknowledged(pausedEndpoint, true);
        assertTrue(isZoneEmptied());
    }

    @Test
    void aCommandDelayedBetweenReadingAndRequestHasNoEffect() {
        var readAt = pausedEndpoint.node.now();
        cluster.runFor(1);
        assertMarkAcknowledged(otherEndpoint, true);
        assertMarkAcknowledged(otherEndpoint, false);
        var command = new CommandStatus();
        pausedEndpoint.platformCommands.markZone(
                "z1", true, readAt, result -> command.status = result.isRight() ? 200 : 503);
        cluster.runFor(2);
        assertEquals(503, command.status);
        assertFalse(isZoneEmptied());
    }
}
