package craneway.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.model.event.Event;
import org.junit.jupiter.api.Test;

/**
 * A log is compacted by a snapshot after a number of entries, also if the entries are too small to reach its byte
 * limit.
 */
class LogCompactionTest {
    private static final int MAX_LOG_ENTRIES = 4_096;

    @Test
    void manySmallEntriesAreCompactedByASnapshot() {
        var network = new SlowNetwork(1, 3);
        for (var peerId = 1; peerId <= 3; peerId++) network.start(peerId);
        for (var i = 0; i < 30; i++) proposeBatch(network, 300);
        for (var peer : network.peers.values()) {
            assertEquals(9_000, peer.stateMachine.applied);
            assertEquals(9_000 / MAX_LOG_ENTRIES, peer.countEvents(Event.SNAPSHOT_TAKEN), peer.eventLog::toString);
        }
    }

    private static void proposeBatch(SlowNetwork network, int commands) {
        network.runUntil(() -> network.leader() != null, 30);
        var leader = network.leader();
        for (var i = 0; i < commands; i++) assertTrue(leader.group.propose(new byte[8], network.sim.now()) > 0);
        network.runUntil(() -> network.peers.values().stream().allMatch(network::isCaughtUp), 30);
    }
}
