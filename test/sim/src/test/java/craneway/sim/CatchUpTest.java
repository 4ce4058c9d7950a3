package craneway.sim;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.control.store.Quorum;
import craneway.model.unit.Parts;
import craneway.model.unit.TimingProfile;
import org.junit.jupiter.api.Test;

/** A learner becomes a voter only once it holds what its leader had when a short catch-up round began. */
class CatchUpTest {
    @Test
    void aLearnerThatHoldsNothingIsNotMadeAVoter() {
        var c = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.THREE_VOTERS).stores("z1", "z2", "z3");
        c.until(c::owned, 10);
        c.run(5);
        var leader = c.owner(0);
        var back =
                c.members.values().stream().filter(m -> m != leader).findFirst().orElseThrow();
        back.loseDisk();
        c.run(0.7);
        back.start();
        for (var m : c.members.values()) if (m != back) holdBackEntries(c, m, back);
        for (var i = 0; i < 250; i++) {
            c.run(0.02);
            assertFalse(votesSomewhere(c, back), () -> "a store that holds nothing votes: " + c.notes);
        }
        c.cut.clear();
        assertTrue(c.until(() -> c.votesEverywhere(back, 3), 10) < 5, () -> String.join("\n", c.notes));
    }

    /** The core and the greetings have reached it; from here on it can ask, and nothing reaches it. */
    private static void holdBackEntries(Cluster c, Cluster.Member from, Cluster.Member to) {
        c.until(() -> to.core() != 0 && to.store.coreClient().leader(0) != null, 5);
        c.cut.add(from.name + ">" + to.name);
    }

    private static boolean votesSomewhere(Cluster c, Cluster.Member m) {
        for (var p = 0; p < Parts.COUNT; p++) {
            var leader = c.owner(p);
            if (leader != null && leader.store.replicas()[p].group().members().isVoter(m.storeId())) return true;
        }
        return false;
    }
}
