package craneway.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.model.event.Event;
import org.junit.jupiter.api.Test;

/** A log is cut by a snapshot after so many entries, however small they are. */
class LogCompactionTest {
    private static final int MAX_LOG_ENTRIES = 4_096;

    @Test
    void manySmallEntriesAreCutByASnapshot() {
        var paths = new SlowNetwork(1, 3);
        for (var id = 1; id <= 3; id++) paths.start(id);
        for (var i = 0; i < 30; i++) proposeBatch(paths, 300);
        for (var p : paths.peers.values()) {
            assertEquals(9_000, p.stateMachine.applied);
            assertEquals(9_000 / MAX_LOG_ENTRIES, p.countEvents(Event.SNAPSHOT_TAKEN), p.eventLog::toString);
        }
    }

    private static void proposeBatch(SlowNetwork paths, int commands) {
        paths.runUntil(() -> paths.leader() != null, 30);
        var leader = paths.leader();
        for (var i = 0; i < commands; i++) assertTrue(leader.group.propose(new byte[8], paths.sim.now()) > 0);
        paths.runUntil(() -> paths.peers.values().stream().allMatch(paths::isCaughtUp), 30);
    }
}
