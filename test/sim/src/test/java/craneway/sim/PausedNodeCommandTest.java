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
 * A node that stood still reads orders whose callers have gone: they have sent the order to another node since, and after its
 * acknowledgement the reverse one. Callers give a call one second of silence.
 */
class PausedNodeCommandTest {
    private static final Map<String, String> REGIONS = Map.of("z1", "a", "z2", "b", "z3", "c");
    private static final long TICK_MICROS = 20_000;

    /** The operators' side of a store: a socket for each caller, and the guard, on the simulated clock. */
    private final class OperatorEndpoint {
        final Cluster.Member node;
        final PlatformCommands platformCommands;
        final PauseGuard pauseGuard;
        final Deque<Runnable> unreadCommands = new ArrayDeque<>();
        boolean paused;
        boolean guardEnabled = true;

        OperatorEndpoint(Cluster.Member at) {
            this.node = at;
            platformCommands = new PlatformCommands(at.store.coreClient());
            pauseGuard = new PauseGuard(at.now());
            tick();
        }

        private void tick() {
            if (!paused) pauseGuard.tick(node.now());
            cluster.sim.after(TICK_MICROS, this::tick);
        }

        CommandStatus sendCommand(boolean emptied) {
            return sendCommand(new PauseGuard.Connection(), emptied);
        }

        CommandStatus sendCommand(PauseGuard.Connection connection, boolean emptied) {
            var call = new CommandStatus();
            Runnable read = () -> readCommand(connection, emptied, call);
            if (paused) unreadCommands.add(read);
            else read.run();
            return call;
        }

        private void readCommand(PauseGuard.Connection connection, boolean emptied, CommandStatus call) {
            var now = node.now();
            if (guardEnabled && !pauseGuard.admits(connection, now, now)) call.status = 503;
            else platformCommands.markZone("z1", emptied, now, r -> call.status = r.isRight() ? 200 : 503);
        }

        void resume() {
            paused = false;
            while (!unreadCommands.isEmpty()) unreadCommands.poll().run();
        }
    }

    private static final class CommandStatus {
        int status;
    }

    private Cluster cluster;
    private OperatorEndpoint pausedEndpoint;
    private OperatorEndpoint otherEndpoint;

    @BeforeEach
    void startCluster() {
        cluster = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.toleratingLosses(1, REGIONS)).addStores("z1", "z2", "z3");
        assertTrue(cluster.runUntil(cluster::allPartsHaveLeaders, 10) < 8, () -> String.join("\n", cluster.eventLog));
        cluster.runFor(5);
        var followers = cluster.members.values().stream()
                .filter(m -> m != cluster.leaderOf(Parts.MANIFEST_PART))
                .toList();
        pausedEndpoint = new OperatorEndpoint(followers.get(0));
        otherEndpoint = new OperatorEndpoint(followers.get(1));
        assertMarkAcknowledged(pausedEndpoint, false);
        assertMarkAcknowledged(otherEndpoint, false);
    }

    private void assertMarkAcknowledged(OperatorEndpoint at, boolean emptied) {
        var call = at.sendCommand(emptied);
        cluster.runUntil(() -> call.status != 0, 2);
        assertEquals(200, call.status, () -> String.join("\n", cluster.eventLog));
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

    private CommandStatus sendCommandDuringPause(PauseGuard.Connection connection, double seconds) {
        pausedEndpoint.paused = true;
        cluster.runFor(0.1);
        var call = pausedEndpoint.sendCommand(connection, true);
        cluster.runFor(1);
        assertMarkAcknowledged(otherEndpoint, true);
        assertMarkAcknowledged(otherEndpoint, false);
        cluster.runFor(seconds);
        pausedEndpoint.resume();
        cluster.runFor(2);
        return call;
    }

    @Test
    void anOrderReadAfterAFreezeDoesNotUndoATakeBack() {
        for (var seconds : new double[] {0, 0.5, 2, 18}) {
            var call = sendCommandDuringPause(new PauseGuard.Connection(), seconds);
            assertEquals(503, call.status);
            assertFalse(isZoneEmptied());
        }
    }

    @Test
    void norDoesOneOnAConnectionThatWasOpenBefore() {
        var kept = new PauseGuard.Connection();
        var before = pausedEndpoint.sendCommand(kept, false);
        cluster.runUntil(() -> before.status != 0, 2);
        assertEquals(503, sendCommandDuringPause(kept, 2).status);
        assertFalse(isZoneEmptied());
    }

    @Test
    void withoutTheGuardItWould() {
        pausedEndpoint.guardEnabled = false;
        assertEquals(200, sendCommandDuringPause(new PauseGuard.Connection(), 2).status);
        assertTrue(isZoneEmptied());
    }

    @Test
    void ordersAreTakenAgainSoonAfterAFreeze() {
        pausedEndpoint.paused = true;
        cluster.runFor(5);
        pausedEndpoint.resume();
        cluster.runFor((PauseGuard.SETTLE_MICROS + 2 * TICK_MICROS) / 1e6);
        assertMarkAcknowledged(pausedEndpoint, true);
        assertTrue(isZoneEmptied());
    }

    @Test
    void anOrderHeldUpBetweenItsReadingAndItsAskingHasNoEffect() {
        var since = pausedEndpoint.node.now();
        cluster.runFor(1);
        assertMarkAcknowledged(otherEndpoint, true);
        assertMarkAcknowledged(otherEndpoint, false);
        var call = new CommandStatus();
        pausedEndpoint.platformCommands.markZone("z1", true, since, r -> call.status = r.isRight() ? 200 : 503);
        cluster.runFor(2);
        assertEquals(503, call.status);
        assertFalse(isZoneEmptied());
    }
}
