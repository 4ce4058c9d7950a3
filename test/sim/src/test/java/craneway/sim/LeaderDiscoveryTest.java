package craneway.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import craneway.control.store.Quorum;
import craneway.model.unit.TimingProfile;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * A node that knows the leaders of some parts must learn those of the other parts from the replies to its batched
 * renewals.
 */
class LeaderDiscoveryTest {
    private static final int KNOWN_PART = 0;
    private static final int UNKNOWN_PART = 1;
    private static final int JOIN_ATTEMPTS = 20;

    @Test
    void aForgottenLeaderIsLearnedAgainFromBatchedRenewals() {
        var cluster = new Cluster(
                TimingProfile.LOW_TRAFFIC, Quorum.toleratingLosses(1, Map.of("z1", "a", "z2", "b", "z3", "c")));
        cluster.addStores("z1", "z2", "z3");
        cluster.runUntil(cluster::allPartsHaveLeaders, 10);
        cluster.runFor(8);
        var leader = cluster.leaderOf(KNOWN_PART);
        var follower = cluster.members.values().stream()
                .filter(member -> member != leader)
                .findFirst()
                .orElseThrow();
        var client = follower.store.coreClient();
        for (var attempt = 0; attempt < JOIN_ATTEMPTS; attempt++) {
            client.leader(UNKNOWN_PART, null);
            assertNull(client.leader(UNKNOWN_PART));
            cluster.runFor(2);
            assertNotNull(client.leader(UNKNOWN_PART), "attempt " + attempt);
            assertEquals(cluster.leaderOf(UNKNOWN_PART).name, client.leader(UNKNOWN_PART).name);
            cluster.runFor(0.07);
        }
    }
}
