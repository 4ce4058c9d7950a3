package craneway.sim;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.control.store.Quorum;
import craneway.model.unit.Parts;
import craneway.model.unit.TimingProfile;
import org.junit.jupiter.api.Test;

/** A learner becomes a voter only once it holds what its leader had when a short catch-up round began. */
class LearnerPromotionTest {
    @Test
    void aLearnerThatHoldsNothingIsNotMadeAVoter() {
        var c = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.THREE_VOTERS).addStores("z1", "z2", "z3");
        c.runUntil(c::allPartsHaveLeaders, 10);
        c.runFor(5);
        var leader = c.leaderOf(0);
        var back =
                c.members.values().stream().filter(m -> m != leader).findFirst().orElseThrow();
        back.loseDisk();
        c.runFor(0.7);
        back.start();
        for (var m : c.members.values()) if (m != back) blockPathOnceJoined(c, m, back);
        for (var i = 0; i < 250; i++) {
            c.runFor(0.02);
            assertFalse(isVoterOfAnyPart(c, back), () -> "a store that holds nothing votes: " + c.eventLog);
        }
        c.blockedPaths.clear();
        assertTrue(c.runUntil(() -> c.isVoterOfAllParts(back, 3), 10) < 5, () -> String.join("\n", c.eventLog));
    }

    /** The core and the greetings have reached it; from here on it can ask, and nothing reaches it. */
    private static void blockPathOnceJoined(Cluster c, Cluster.Member from, Cluster.Member to) {
        c.runUntil(() -> to.coreId() != 0 && to.store.coreClient().leader(0) != null, 5);
        c.blockedPaths.add(from.name + ">" + to.name);
    }

    private static boolean isVoterOfAnyPart(Cluster c, Cluster.Member m) {
        for (var p = 0; p < Parts.COUNT; p++) {
            var leader = c.leaderOf(p);
            if (leader != null && leader.store.replicas()[p].group().members().isVoter(m.storeId())) return true;
        }
        return false;
    }
}
