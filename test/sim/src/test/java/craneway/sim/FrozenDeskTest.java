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
class FrozenDeskTest {
    private static final Map<String, String> REGIONS = Map.of("z1", "a", "z2", "b", "z3", "c");
    private static final long TICK = 20_000;

    /** The operators' side of a store: a socket for each caller, and the guard, on the simulated clock. */
    private final class Desk {
        final Cluster.Member at;
        final PlatformCommands passing;
        final PauseGuard guard;
        final Deque<Runnable> sockets = new ArrayDeque<>();
        boolean frozen;
        boolean guarded = true;

        Desk(Cluster.Member at) {
            this.at = at;
            passing = new PlatformCommands(at.store.coreClient());
            guard = new PauseGuard(at.now());
            tick();
        }

        private void tick() {
            if (!frozen) guard.tick(at.now());
            c.sim.scheduleAfter(TICK, this::tick);
        }

        Call order(boolean emptied) {
            return order(new PauseGuard.Connection(), emptied);
        }

        Call order(PauseGuard.Connection connection, boolean emptied) {
            var call = new Call();
            Runnable read = () -> read(connection, emptied, call);
            if (frozen) sockets.add(read);
            else read.run();
            return call;
        }

        private void read(PauseGuard.Connection connection, boolean emptied, Call call) {
            var now = at.now();
            if (guarded && !guard.admits(connection, now, now)) call.status = 503;
            else passing.markZone("z1", emptied, now, r -> call.status = r.isRight() ? 200 : 503);
        }

        void thaw() {
            frozen = false;
            while (!sockets.isEmpty()) sockets.poll().run();
        }
    }

    private static final class Call {
        int status;
    }

    private Cluster c;
    private Desk frozen;
    private Desk other;

    @BeforeEach
    void begin() {
        c = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.toleratingLosses(1, REGIONS)).stores("z1", "z2", "z3");
        assertTrue(c.until(c::owned, 10) < 8, () -> String.join("\n", c.notes));
        c.run(5);
        var followers = c.members.values().stream()
                .filter(m -> m != c.owner(Parts.MANIFEST_PART))
                .toList();
        frozen = new Desk(followers.get(0));
        other = new Desk(followers.get(1));
        acknowledged(frozen, false);
        acknowledged(other, false);
    }

    private void acknowledged(Desk at, boolean emptied) {
        var call = at.order(emptied);
        c.until(() -> call.status != 0, 2);
        assertEquals(200, call.status, () -> String.join("\n", c.notes));
    }

    private boolean emptied() {
        return c.owner(Parts.MANIFEST_PART)
                .store
                .replicas()[Parts.MANIFEST_PART]
                .records()
                .rows()
                .manifest
                .marks
                .containsKey("zone:z1");
    }

    private Call staleOrder(PauseGuard.Connection connection, double seconds) {
        frozen.frozen = true;
        c.run(0.1);
        var call = frozen.order(connection, true);
        c.run(1);
        acknowledged(other, true);
        acknowledged(other, false);
        c.run(seconds);
        frozen.thaw();
        c.run(2);
        return call;
    }

    @Test
    void anOrderReadAfterAFreezeDoesNotUndoATakeBack() {
        for (var seconds : new double[] {0, 0.5, 2, 18}) {
            var call = staleOrder(new PauseGuard.Connection(), seconds);
            assertEquals(503, call.status);
            assertFalse(emptied());
        }
    }

    @Test
    void norDoesOneOnAConnectionThatWasOpenBefore() {
        var kept = new PauseGuard.Connection();
        var before = frozen.order(kept, false);
        c.until(() -> before.status != 0, 2);
        assertEquals(503, staleOrder(kept, 2).status);
        assertFalse(emptied());
    }

    @Test
    void withoutTheGuardItWould() {
        frozen.guarded = false;
        assertEquals(200, staleOrder(new PauseGuard.Connection(), 2).status);
        assertTrue(emptied());
    }

    @Test
    void ordersAreTakenAgainSoonAfterAFreeze() {
        frozen.frozen = true;
        c.run(5);
        frozen.thaw();
        c.run((PauseGuard.SETTLE_MICROS + 2 * TICK) / 1e6);
        acknowledged(frozen, true);
        assertTrue(emptied());
    }

    @Test
    void anOrderHeldUpBetweenItsReadingAndItsAskingHasNoEffect() {
        var since = frozen.at.now();
        c.run(1);
        acknowledged(other, true);
        acknowledged(other, false);
        var call = new Call();
        frozen.passing.markZone("z1", true, since, r -> call.status = r.isRight() ? 200 : 503);
        c.run(2);
        assertEquals(503, call.status);
        assertFalse(emptied());
    }
}
