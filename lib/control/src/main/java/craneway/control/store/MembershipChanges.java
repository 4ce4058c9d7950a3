package craneway.control.store;

import craneway.model.unit.TimingProfile;
import craneway.state.part.Members;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decides, at the leader of a part, which change of the part's members comes next: one at a time, a lost disk out first, a new
 * store as a learner before it votes, and the store that is to go only once the one in its place counts. A decider without I/O:
 * it is told who asks and what the leader knows of each store, and names the members to propose.
 */
public final class MembershipChanges {
    /** How long a leader has to have led before its knowledge of who wants to join is complete. */
    private static final long HEARD_ALL = 1_000_000;

    /** What the leader knows of a store. Times are microseconds. */
    public interface StoreStatus {
        /** Whether the disk of this store is known to be lost. */
        boolean isDiskLost(long store);

        /** When the leader last heard the store. */
        long lastHeardAt(long store);

        /** Whether the store's catch-up rounds have become short. */
        boolean isCaughtUp(long store);

        /** Whether the store holds every entry that the leader holds. */
        boolean holdsAllEntries(long store);
    }

    private record JoinRequest(String zone, long until) {}

    private final long self;
    private final Quorum quorum;
    private final TimingProfile timing;
    private final StoreStatus knowledge;
    private final Map<Long, JoinRequest> joinRequests = new TreeMap<>();
    private final Map<Long, Long> isLeaving = new TreeMap<>();

    /** A decider for a leader with this store id. */
    public MembershipChanges(long self, Quorum quorum, TimingProfile timing, StoreStatus knowledge) {
        this.self = self;
        this.quorum = quorum;
        this.timing = timing;
        this.knowledge = knowledge;
    }

    /** A store that is no member asks to become one; it asks again before that time if it still does. */
    public void requestJoin(long store, String zone, long until) {
        isLeaving.remove(store);
        joinRequests.put(store, new JoinRequest(zone, until));
    }

    /** A store is about to stop; it says so again before that time while it still waits. */
    public void announceLeave(long store, long until) {
        joinRequests.remove(store);
        isLeaving.put(store, until);
    }

    /** Whether a store has said lately that it is about to stop. */
    public boolean isLeaving(long store) {
        return isLeaving.containsKey(store);
    }

    /** The members to propose next, if any change is due. */
    public Optional<Members> nextChange(Members m, long leadingSince, long now) {
        forget(m, now);
        var lost = lostDisk(m);
        if (lost != 0) return Optional.of(m.without(lost));
        if (m.learnerId != 0) return settleLearner(m, leadingSince, now);
        if (m.voters.length > quorum.voterCount()) return drop(m, now);
        return admit(m, now);
    }

    private void forget(Members m, long now) {
        isLeaving.values().removeIf(until -> now > until);
        joinRequests
                .entrySet()
                .removeIf(e -> now > e.getValue().until || m.isMember(e.getKey()) || knowledge.isDiskLost(e.getKey()));
    }

    private long lostDisk(Members m) {
        if (m.learnerId != 0 && knowledge.isDiskLost(m.learnerId)) return m.learnerId;
        for (var v : m.voters) if (v != self && knowledge.isDiskLost(v)) return v;
        return 0;
    }

    private Optional<Members> settleLearner(Members m, long leadingSince, long now) {
        var led = now - leadingSince;
        if (isLeaving(m.learnerId) || silent(m.learnerId, now) && led > timing.storeReplacementDelay())
            return Optional.of(m.without(m.learnerId));
        if (knowledge.isCaughtUp(m.learnerId) && led > timing.leaderSettleTime()) return Optional.of(promoted(m, now));
        return Optional.empty();
    }

    /**
     * The group with its caught-up learner as a voter. A silent voter that it replaces goes first: beside it the group would need
     * one store more, and the loss of the new voter in that moment would leave no majority.
     */
    private Members promoted(Members m, long now) {
        if (m.voters.length < quorum.voterCount()) return m.withLearnerPromoted();
        for (var v : m.voters) if (silent(v, now)) return m.without(v);
        return m.withLearnerPromoted();
    }

    private boolean silent(long store, long now) {
        return store != self && now - knowledge.lastHeardAt(store) >= timing.storeReplacementDelay();
    }

    private Optional<Members> drop(Members m, long now) {
        var worst = -1;
        for (var i = 0; i < m.voters.length; i++) {
            if (m.voters[i] == self) continue;
            if (worst < 0 || rank(m, i, now) < rank(m, worst, now)) worst = i;
        }
        return worst < 0 ? Optional.empty() : Optional.of(m.without(m.voters[worst]));
    }

    /** The least goes first: silent ones, then those about to stop, then whoever crowds a region most. */
    private int rank(Members m, int i, long now) {
        var rank = quorum.crowdWithout(m.zones, i);
        if (silent(m.voters[i], now)) return rank - (1 << 28);
        return isLeaving(m.voters[i]) ? rank - (1 << 27) : rank;
    }

    private Optional<Members> admit(Members m, long now) {
        var best = joinRequests.entrySet().stream()
                .min(Comparator.comparingInt(e -> quorum.crowdWith(m.zones, e.getValue().zone)))
                .orElse(null);
        if (best == null) return Optional.empty();
        var zone = best.getValue().zone;
        if (m.voters.length == quorum.voterCount() && !improves(m, zone, now)) return Optional.empty();
        return Optional.of(m.withLearner(best.getKey(), zone));
    }

    private boolean improves(Members m, String zone, long now) {
        var is = quorum.crowd(Arrays.asList(m.zones));
        for (var i = 0; i < m.voters.length; i++) {
            if (m.voters[i] == self) continue;
            var then = quorum.crowdSwapped(m.zones, i, zone);
            var goes = silent(m.voters[i], now) || isLeaving(m.voters[i]);
            if (then < is || then <= is && goes) return true;
        }
        return false;
    }

    /**
     * Whether a store that is about to stop may go now: it is no member any more; or nobody could take its place, and every other
     * voter holds all that it helped to acknowledge.
     */
    public boolean mayLeave(long store, Members m, long leadingSince, long now) {
        if (!m.isMember(store)) return true;
        var changing = m.learnerId != 0
                || m.voters.length > quorum.voterCount()
                || admit(m, now).isPresent();
        if (changing || now - leadingSince < HEARD_ALL) return false;
        return Arrays.stream(m.voters).allMatch(v -> v == store || v == self || isLeaving(v) || knowledge.holdsAllEntries(v));
    }

    /** The voter that should lead in this leader's place, by the order of the parts; 0 for none. */
    public long preferredLeader(Members m, int part) {
        var order = Arrays.stream(m.voters).filter(v -> !isLeaving(v)).sorted().toArray();
        return order.length == 0 ? 0 : order[part % order.length];
    }

    /** Whether the group is whole and leadership may go to this voter now. */
    public boolean canTakeLeadership(long store, Members m, long now) {
        if (store == 0 || store == self || isLeaving(store) || !m.isVoter(store)) return false;
        return m.voters.length == quorum.voterCount() && m.learnerId == 0 && near(store, now) && knowledge.isCaughtUp(store);
    }

    /** The voter to hand over to when this store stops: one that is near, and rather none that stops too; 0 for none. */
    public long selectSuccessor(Members m, long now) {
        var near =
                Arrays.stream(m.voters).filter(v -> v != self && near(v, now)).toArray();
        return Arrays.stream(near)
                .filter(v -> !isLeaving(v) && knowledge.isCaughtUp(v))
                .findFirst()
                .orElse(Arrays.stream(near).filter(v -> !isLeaving(v)).findFirst().orElse(0));
    }

    private boolean near(long store, long now) {
        return now - knowledge.lastHeardAt(store) < timing.electionTimeout();
    }
}
