package craneway.sim.model;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import org.junit.jupiter.api.Test;

/** For each invariant a fault that breaks it: the random histories must detect it and shrink the history. */
class InjectedFaultsTest {
    private static final int MAX_SEEDS = 2_000;

    private static void assertDetected(Invariant invariant, InjectedFault fault) {
        assertDetected(invariant, fault, 1);
    }

    private static void assertDetected(Invariant invariant, InjectedFault fault, int firstSeed) {
        for (var seed = firstSeed; seed < firstSeed + MAX_SEEDS; seed++) {
            var history = new RandomHistory(RandomHistory.Size.INJECTED_FAULT, seed, fault, EnumSet.of(invariant));
            var choices = history.draw();
            if (!breaks(history, choices, invariant)) continue;
            var shortest = Shrinker.shrink(choices, candidate -> breaks(history, candidate, invariant));
            assertTrue(breaks(history, shortest, invariant));
            System.out.println("model: seed " + seed + ", " + shortest.size() + " choices: "
                    + history.findViolation(shortest).getMessage());
            assertTrue(shortest.size() < choices.size() / 2, () -> "shrunk only to " + shortest);
            return;
        }
        throw new AssertionError("not detected in " + MAX_SEEDS + " seeds: " + invariant);
    }

    private static boolean breaks(RandomHistory history, List<Choice> choices, Invariant invariant) {
        var violation = history.findViolation(choices);
        return violation != null && violation.invariant() == invariant;
    }

    @Test
    void aMemberThatForgetsItsVoteOverARestart() {
        assertDetected(Invariant.ONE_VOTE_A_TERM, InjectedFaults.forgetsVotes(), 1_390);
    }

    @Test
    void aMemberThatForgetsItsVoteIsSeenWhenItStarts() {
        assertDetected(Invariant.TERM_NEVER_GOES_BACK, InjectedFaults.forgetsVotes());
    }

    @Test
    void membersThatGrantEveryVote() {
        assertDetected(Invariant.ONE_LEADER_A_TERM, InjectedFaults.grantsEveryVote());
    }

    @Test
    void aMemberThatForgetsItsTermOverARestart() {
        assertDetected(Invariant.TERM_NEVER_GOES_BACK, InjectedFaults.forgetsTerms());
    }

    @Test
    void aMemberThatAcknowledgesBeforeItsSync() {
        assertDetected(Invariant.COMMITTED_ON_MAJORITY, InjectedFaults.ignoresSyncs());
    }

    @Test
    void aMemberThatAcknowledgesWhatItDidNotStore() {
        assertDetected(Invariant.COMMITTED_ON_MAJORITY, InjectedFaults.acknowledgesWithoutStoring());
    }

    @Test
    void membersThatVoteForAStaleLog() {
        assertDetected(Invariant.LEADER_COMPLETE, InjectedFaults.votesForStaleLogs());
    }

    @Test
    void membersThatVoteForAStaleLogMakeAppliedEntriesDiverge() {
        assertDetected(Invariant.SAME_APPLIED_EVERYWHERE, InjectedFaults.votesForStaleLogs());
    }

    @Test
    void aLeaderThatBelievesInALongerLease() {
        assertDetected(Invariant.FRESH_LEADER_IS_CURRENT, InjectedFaults.overestimatesLease());
    }

    @Test
    void aMemberThatStoresAnotherBody() {
        assertDetected(Invariant.LOGS_MATCH, InjectedFaults.altersCommands());
    }

    @Test
    void aLeaderThatChangesTheGroupTwiceAtOnce() {
        assertDetected(Invariant.ONE_CHANGE_AT_A_TIME, InjectedFaults.changesMembershipConcurrently());
    }

    @Test
    void aMajorityThatLosesWhatItAcknowledged() {
        assertDetected(Invariant.ACKNOWLEDGED_STAYS, InjectedFaults.forgetsEntries());
    }

    @Test
    void membersThatNeverVote() {
        assertDetected(Invariant.SERVES_AGAIN, InjectedFaults.refusesEveryVote());
    }
}
