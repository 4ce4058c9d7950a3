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

/**
 * Checks the order in which members are removed, admitted and promoted, so that a group keeps its majority while
 * stores come, go and fail.
 */
class MembershipChangesTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long NOW_MICROS = 100 * SECOND_MICROS;
    private static final long LONG_AGO_MICROS = 50 * SECOND_MICROS;
    private static final long SOON_MICROS = NOW_MICROS + SECOND_MICROS;

    /** Stores that are healthy and were just heard, apart from those named here. */
    private static final class FakeStoreStatus implements MembershipChanges.StoreStatus {
        final Set<Long> lostDisks = new HashSet<>();
        final Set<Long> lagging = new HashSet<>();
        final Map<Long, Long> heardAt = new HashMap<>();

        @Override
        public boolean isDiskLost(long store) {
            return lostDisks.contains(store);
        }

        @Override
        public long lastHeardAt(long store) {
            return heardAt.getOrDefault(store, NOW_MICROS);
        }

        @Override
        public boolean isCaughtUp(long store) {
            return !lagging.contains(store);
        }

        @Override
        public boolean holdsAllEntries(long store) {
            return !lagging.contains(store);
        }
    }

    private final FakeStoreStatus stores = new FakeStoreStatus();
    private final MembershipChanges changes =
            new MembershipChanges(1, Quorum.THREE_VOTERS, TimingProfile.LOW_TRAFFIC, stores);
    private final Members threeVoters = Members.of(new long[] {1, 2, 3}, new String[] {"a", "b", "c"});

    private Members next(Members members) {
        return changes.nextChange(members, LONG_AGO_MICROS, NOW_MICROS).orElse(null);
    }

    @Test
    void aCompleteGroupIsNotChanged() {
        assertEquals(null, next(threeVoters));
        changes.requestJoin(4, "b", SOON_MICROS);
        assertEquals(null, next(threeVoters));
    }

    @Test
    void removesAVoterWithALostDiskFirst() {
        changes.requestJoin(4, "b", SOON_MICROS);
        changes.announceLeave(3, SOON_MICROS);
        stores.lostDisks.add(2L);
        assertArrayEquals(new long[] {1, 3}, next(threeVoters).voters);
    }

    @Test
    void promotesALearnerOnlyOnceItHasCaughtUp() {
        var members = threeVoters.without(3).withLearner(4, "c");
        stores.lagging.add(4L);
        assertEquals(null, next(members));
        stores.lagging.clear();
        assertArrayEquals(new long[] {1, 2, 4}, next(members).voters);
        assertEquals(null, changes.nextChange(members, NOW_MICROS, NOW_MICROS).orElse(null));
    }

    @Test
    void removesALearnerThatIsSilentOrLeaves() {
        var members = threeVoters.without(3).withLearner(4, "c");
        changes.announceLeave(4, SOON_MICROS);
        assertEquals(0, next(members).learnerId);
        changes.requestJoin(4, "c", SOON_MICROS);
        stores.heardAt.put(4L, LONG_AGO_MICROS);
        assertEquals(0, next(members).learnerId);
    }

    @Test
    void replacesAStoppingStoreBeforeItLeaves() {
        changes.requestJoin(4, "b", SOON_MICROS);
        changes.announceLeave(2, SOON_MICROS);
        assertFalse(changes.mayLeave(2, threeVoters, LONG_AGO_MICROS, NOW_MICROS));
        var withLearner = next(threeVoters);
        assertEquals(4, withLearner.learnerId);
        assertTrue(withLearner.isVoter(2));
        assertFalse(changes.mayLeave(2, withLearner, LONG_AGO_MICROS, NOW_MICROS));
        var fourVoters = next(withLearner);
        assertArrayEquals(new long[] {1, 2, 3, 4}, fourVoters.voters);
        assertFalse(changes.mayLeave(2, fourVoters, LONG_AGO_MICROS, NOW_MICROS));
        var withoutStoppingStore = next(fourVoters);
        assertArrayEquals(new long[] {1, 3, 4}, withoutStoppingStore.voters);
        assertTrue(changes.mayLeave(2, withoutStoppingStore, LONG_AGO_MICROS, NOW_MICROS));
        assertEquals(null, next(withoutStoppingStore));
    }

    @Test
    void withoutAReplacementAStoreMayLeaveOnceTheOthersHoldAllEntries() {
        changes.announceLeave(2, SOON_MICROS);
        stores.lagging.add(3L);
        assertFalse(changes.mayLeave(2, threeVoters, LONG_AGO_MICROS, NOW_MICROS));
        stores.lagging.clear();
        assertTrue(changes.mayLeave(2, threeVoters, LONG_AGO_MICROS, NOW_MICROS));
        assertFalse(changes.mayLeave(2, threeVoters, NOW_MICROS, NOW_MICROS));
    }

    @Test
    void requestsExpireUnlessTheyAreRepeated() {
        changes.announceLeave(2, NOW_MICROS - 1);
        changes.requestJoin(4, "b", NOW_MICROS - 1);
        assertEquals(null, next(threeVoters));
        assertFalse(changes.isLeaving(2));
    }

    @Test
    void aStoppingStoreIsNeverMadeLeader() {
        assertEquals(2, changes.preferredLeader(threeVoters, 1));
        changes.announceLeave(2, SOON_MICROS);
        assertEquals(3, changes.preferredLeader(threeVoters, 1));
        assertFalse(changes.canTakeLeadership(2, threeVoters, NOW_MICROS));
        assertTrue(changes.canTakeLeadership(3, threeVoters, NOW_MICROS));
        assertEquals(3, changes.selectSuccessor(threeVoters, NOW_MICROS));
        changes.announceLeave(3, SOON_MICROS);
        assertEquals(0, changes.selectSuccessor(threeVoters, NOW_MICROS));
    }
}
