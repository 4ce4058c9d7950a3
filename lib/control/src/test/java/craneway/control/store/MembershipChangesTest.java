package craneway.control.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.model.unit.TimingProfile;
import craneway.state.part.Members;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class MembershipChangesTest {
    private static final long SECOND = 1_000_000;
    private static final long NOW = 100 * SECOND;
    private static final long LONG_AGO = 50 * SECOND;
    private static final long SOON = NOW + SECOND;

    private static final class Stores implements MembershipChanges.StoreStatus {
        final Set<Long> lost = new HashSet<>();
        final Set<Long> behind = new HashSet<>();
        final Map<Long, Long> heard = new HashMap<>();

        @Override
        public boolean isDiskLost(long store) {
            return lost.contains(store);
        }

        @Override
        public long lastHeardAt(long store) {
            return heard.getOrDefault(store, NOW);
        }

        @Override
        public boolean isCaughtUp(long store) {
            return !behind.contains(store);
        }

        @Override
        public boolean holdsAllEntries(long store) {
            return !behind.contains(store);
        }
    }

    private final Stores stores = new Stores();
    private final MembershipChanges changes = new MembershipChanges(1, Quorum.THREE_VOTERS, TimingProfile.LOW_TRAFFIC, stores);
    private final Members three = Members.of(new long[] {1, 2, 3}, new String[] {"a", "b", "c"});

    private Members next(Members m) {
        return changes.nextChange(m, LONG_AGO, NOW).orElse(null);
    }

    @Test
    void aWholeGroupStaysAsItIs() {
        assertEquals(null, next(three));
        changes.requestJoin(4, "b", SOON);
        assertEquals(null, next(three));
    }

    @Test
    void aLostDiskGoesBeforeAnythingElse() {
        changes.requestJoin(4, "b", SOON);
        changes.announceLeave(3, SOON);
        stores.lost.add(2L);
        assertArrayEquals(new long[] {1, 3}, next(three).voters);
    }

    @Test
    void aLearnerThatIsBehindIsNotPromoted() {
        var m = three.without(3).withLearner(4, "c");
        stores.behind.add(4L);
        assertEquals(null, next(m));
        stores.behind.clear();
        assertArrayEquals(new long[] {1, 2, 4}, next(m).voters);
        assertEquals(null, changes.nextChange(m, NOW, NOW).orElse(null));
    }

    @Test
    void aSilentOrLeavingLearnerGivesUpItsPlace() {
        var m = three.without(3).withLearner(4, "c");
        changes.announceLeave(4, SOON);
        assertEquals(0, next(m).learnerId);
        changes.requestJoin(4, "c", SOON);
        stores.heard.put(4L, LONG_AGO);
        assertEquals(0, next(m).learnerId);
    }

    @Test
    void aStoreThatStopsIsReplacedBeforeItGoes() {
        changes.requestJoin(4, "b", SOON);
        changes.announceLeave(2, SOON);
        assertFalse(changes.mayLeave(2, three, LONG_AGO, NOW));
        var learning = next(three);
        assertEquals(4, learning.learnerId);
        assertTrue(learning.isVoter(2));
        assertFalse(changes.mayLeave(2, learning, LONG_AGO, NOW));
        var four = next(learning);
        assertArrayEquals(new long[] {1, 2, 3, 4}, four.voters);
        assertFalse(changes.mayLeave(2, four, LONG_AGO, NOW));
        var without = next(four);
        assertArrayEquals(new long[] {1, 3, 4}, without.voters);
        assertTrue(changes.mayLeave(2, without, LONG_AGO, NOW));
        assertEquals(null, next(without));
    }

    @Test
    void withoutASuccessorAStoreGoesOnceTheOthersHoldAll() {
        changes.announceLeave(2, SOON);
        stores.behind.add(3L);
        assertFalse(changes.mayLeave(2, three, LONG_AGO, NOW));
        stores.behind.clear();
        assertTrue(changes.mayLeave(2, three, LONG_AGO, NOW));
        assertFalse(changes.mayLeave(2, three, NOW, NOW));
    }

    @Test
    void whatWasSaidIsForgottenUnlessItIsSaidAgain() {
        changes.announceLeave(2, NOW - 1);
        changes.requestJoin(4, "b", NOW - 1);
        assertEquals(null, next(three));
        assertFalse(changes.isLeaving(2));
    }

    @Test
    void noStoreThatStopsIsMadeLeader() {
        assertEquals(2, changes.preferredLeader(three, 1));
        changes.announceLeave(2, SOON);
        assertEquals(3, changes.preferredLeader(three, 1));
        assertFalse(changes.canTakeLeadership(2, three, NOW));
        assertTrue(changes.canTakeLeadership(3, three, NOW));
        assertEquals(3, changes.selectSuccessor(three, NOW));
        changes.announceLeave(3, SOON);
        assertEquals(0, changes.selectSuccessor(three, NOW));
    }
}
