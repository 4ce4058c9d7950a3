package craneway.sim;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.control.store.Quorum;
import craneway.model.unit.Parts;
import craneway.model.unit.TimingProfile;
import org.junit.jupiter.api.Test;

/**
 * A learner is promoted to voter only once it has all entries that its leader had when a short catch-up round began; a
 * store that lost its disk and receives no entries must not vote.
 */
class LearnerPromotionTest {
    @Test
    void aLearnerWithoutEntriesIsNotPromoted() {
        var cluster = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.THREE_VOTERS).addStores("z1", "z2", "z3");
        cluster.runUntil(cluster::allPartsHaveLeaders, 10);
        cluster.runFor(5);
        var leader = cluster.leaderOf(0);
        var learner = cluster.members.values().stream()
                .filter(member -> member != leader)
                .findFirst()
                .orElseThrow();
        learner.loseDisk();
        cluster.runFor(0.7);
        learner.start();
        for (var member : cluster.members.values())
            if (member != learner) blockPathOnceJoined(cluster, member, learner);
        for (var i = 0; i < 250; i++) {
            cluster.runFor(0.02);
            assertFalse(
                    isVoterOfAnyPart(cluster, learner),
                    () -> "a store without any entries is a voter: " + cluster.eventLog);
        }
        cluster.blockedPaths.clear();
        assertTrue(
                cluster.runUntil(() -> cluster.isVoterOfAllParts(learner, 3), 10) < 5,
                () -> String.join("\n", cluster.eventLog));
    }

    /**
     * Waits until the store has joined the core and knows a leader, then blocks the path to it: it can send but not
     * receive.
     */
    private static void blockPathOnceJoined(Cluster cluster, Cluster.Member from, Cluster.Member to) {
        cluster.runUntil(() -> to.coreId() != 0 && to.store.coreClient().leader(0) != null, 5);
        cluster.blockedPaths.add(from.name + ">" + to.name);
    }

    private static boolean isVoterOfAnyPart(Cluster cluster, Cluster.Member member) {
        for (var part = 0; part < Parts.PART_COUNT; part++) {
            var leader = cluster.leaderOf(part);
            if (leader != null
                    && leader.store.replicas()[part].group().members().isVoter(member.storeId())) return true;
        }
        return false;
    }
}
