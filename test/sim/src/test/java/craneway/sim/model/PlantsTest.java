package craneway.sim.model;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import org.junit.jupiter.api.Test;

/** For each invariant a fault that breaks it: the random histories must detect it and shrink the history. */
class PlantsTest {
    private static final int MAX_SEEDS = 2_000;

    private static void assertDetected(Invariant invariant, Plant fault) {
        assertDetected(invariant, fault, 1);
    }

    private static void assertDetected(Invariant invariant, Plant fault, int firstSeed) {
        for (var seed = firstSeed; seed < firstSeed + MAX_SEEDS; seed++) {
            var history = new History(History.Size.PLANTED, seed, fault, EnumSet.of(invariant));
            var choices = history.draw();
            if (!breaks(history, choices, invariant)) continue;
            var shortest = Shrinker.shrink(choices, candidate -> breaks(history, candidate, invariant));
            assertTrue(breaks(history, shortest, invariant));
            System.out.println("model: seed " + seed + ", " + shortest.size() + " choices: "
                    + history.breach(shortest).getMessage());
            assertTrue(shortest.size() < choices.size() / 2, () -> "shrunk only to " + shortest);
            return;
        }
        throw new AssertionError("not detected in " + MAX_SEEDS + " seeds: " + invariant);
    }

    private static boolean breaks(History history, List<Choice> choices, Invariant invariant) {
        var violation = history.breach(choices);
        return violation != null && violation.invariant() == invariant;
    }

    @Test
    void aMemberThatForgetsItsVoteOverARestart() {
        assertDetected(Invariant.ONE_VOTE_A_TERM, Plants.forgettingVotes(), 1_390);
    }

    @Test
    void aMemberThatForgetsItsVoteIsSeenWhenItStarts() {
        assertDetected(Invariant.TERM_NEVER_GOES_BACK, Plants.forgettingVotes());
    }

    @Test
    void membersThatSayYesToEveryCandidate() {
        assertDetected(Invariant.ONE_LEADER_A_TERM, Plants.sayingYes());
    }

    @Test
    void aMemberThatForgetsItsTermOverARestart() {
        assertDetected(Invariant.TERM_NEVER_GOES_BACK, Plants.forgettingTerms());
    }

    @Test
    void aMemberThatAcknowledgesBeforeItsSync() {
        assertDetected(Invariant.COMMITTED_ON_MAJORITY, Plants.lyingAboutSync());
    }

    @Test
    void aMemberThatAcknowledgesWhatItDidNotStore() {
        assertDetected(Invariant.COMMITTED_ON_MAJORITY, Plants.hollow());
    }

    @Test
    void membersThatVoteForAStaleLog() {
        assertDetected(Invariant.LEADER_COMPLETE, Plants.votingForStaleLogs());
    }

    @Test
    void membersThatVoteForAStaleLogMakeHistoriesPart() {
        assertDetected(Invariant.SAME_APPLIED_EVERYWHERE, Plants.votingForStaleLogs());
    }

    @Test
    void aLeaderThatBelievesInALongerLease() {
        assertDetected(Invariant.FRESH_LEADER_IS_CURRENT, Plants.stampingAhead());
    }

    @Test
    void aMemberThatStoresAnotherBody() {
        assertDetected(Invariant.LOGS_MATCH, Plants.altering());
    }

    @Test
    void aLeaderThatChangesTheGroupTwiceAtOnce() {
        assertDetected(Invariant.ONE_CHANGE_AT_A_TIME, Plants.changingAtWill());
    }

    @Test
    void aMajorityThatLosesWhatItAcknowledged() {
        assertDetected(Invariant.ACKNOWLEDGED_STAYS, Plants.forgettingEntries());
    }

    @Test
    void membersThatNeverVote() {
        assertDetected(Invariant.SERVES_AGAIN, Plants.refusing());
    }
}
