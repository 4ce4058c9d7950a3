package craneway.control.store;

import craneway.model.unit.TimingProfile;
import craneway.state.part.Members;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decides, on the leader of a part, which change of the group's members is due next. Changes are made one at a time:
 * a member with a lost disk is removed first, a new store joins as a learner before it votes, and a store that is to
 * leave is removed only once its replacement is a voter.
 *
 * <p>This class does no I/O. Its caller reports who asks to join or leave, provides what the leader knows of each
 * store, and proposes the members it returns. Not safe for several threads. Times are microseconds.
 */
public final class MembershipChanges {
    /**
     * A leader knows of all stores that want to join once it has led for this long, since they repeat their requests.
     */
    private static final long JOIN_REQUESTS_COMPLETE_AFTER_MICROS = 1_000_000;

    /** What the leader knows of the stores of its group. Times are microseconds. */
    public interface StoreStatus {
        /** Whether the disk of this store is known to be lost. */
        boolean isDiskLost(long store);

        /** When the leader last heard the store. */
        long lastHeardAt(long store);

        /** Whether the store's replication is close enough to the end of the log for it to vote or to lead. */
        boolean isCaughtUp(long store);

        /** Whether the store holds every entry that the leader holds. */
        boolean holdsAllEntries(long store);
    }

    /** A request to join from a zone, valid until a time. */
    private record JoinRequest(String zone, long validUntil) {}

    private final long selfId;
    private final Quorum quorum;
    private final TimingProfile timing;
    private final StoreStatus storeStatus;
    private final Map<Long, JoinRequest> joinRequestByStore = new TreeMap<>();
    private final Map<Long, Long> leavingUntilByStore = new TreeMap<>();

    /** Creates the changes for a leader with this store id. */
    public MembershipChanges(long selfId, Quorum quorum, TimingProfile timing, StoreStatus storeStatus) {
        this.selfId = selfId;
        this.quorum = quorum;
        this.timing = timing;
        this.storeStatus = storeStatus;
    }

    /**
     * Records that a store outside the group asks to join. The request has to be repeated before {@code validUntil}.
     */
    public void requestJoin(long store, String zone, long validUntil) {
        leavingUntilByStore.remove(store);
        joinRequestByStore.put(store, new JoinRequest(zone, validUntil));
    }

    /** Records that a store is about to stop. It has to be repeated before {@code validUntil}. */
    public void announceLeave(long store, long validUntil) {
        joinRequestByStore.remove(store);
        leavingUntilByStore.put(store, validUntil);
    }

    /** Whether a store is about to stop. */
    public boolean isLeaving(long store) {
        return leavingUntilByStore.containsKey(store);
    }

    /** The members to propose next; empty if no change is due. */
    public Optional<Members> nextChange(Members members, long leadingSince, long now) {
        dropExpired(members, now);
        var lostStore = memberWithLostDisk(members);
        if (lostStore != 0) return Optional.of(members.without(lostStore));
        if (members.learnerId != 0) return resolveLearner(members, leadingSince, now);
        if (members.voters.length > quorum.voterCount()) return removeSurplusVoter(members, now);
        return admitLearner(members, now);
    }

    /** Drops requests that were not repeated, are fulfilled or come from a store with a lost disk. */
    private void dropExpired(Members members, long now) {
        leavingUntilByStore.values().removeIf(validUntil -> now > validUntil);
        joinRequestByStore
                .entrySet()
                .removeIf(entry -> now > entry.getValue().validUntil
                        || members.isMember(entry.getKey())
                        || storeStatus.isDiskLost(entry.getKey()));
    }

    /** A member other than this leader whose disk is lost; 0 if there is none. */
    private long memberWithLostDisk(Members members) {
        if (members.learnerId != 0 && storeStatus.isDiskLost(members.learnerId)) return members.learnerId;
        for (var voter : members.voters) if (voter != selfId && storeStatus.isDiskLost(voter)) return voter;
        return 0;
    }

    /** Promotes a learner that has caught up; removes one that leaves or has been silent for too long. */
    private Optional<Members> resolveLearner(Members members, long leadingSince, long now) {
        var leadingForMicros = now - leadingSince;
        if (isLeaving(members.learnerId)
                || isSilent(members.learnerId, now) && leadingForMicros > timing.storeReplacementDelay())
            return Optional.of(members.without(members.learnerId));
        if (storeStatus.isCaughtUp(members.learnerId) && leadingForMicros > timing.leaderSettleTime())
            return Optional.of(withLearnerPromoted(members, now));
        return Optional.empty();
    }

    /**
     * The members with the learner as a voter. A silent voter that it replaces is removed first: with both, the group
     * would need one store more for a majority, and losing the new voter at that moment would leave none.
     */
    private Members withLearnerPromoted(Members members, long now) {
        if (members.voters.length < quorum.voterCount()) return members.withLearnerPromoted();
        for (var voter : members.voters) if (isSilent(voter, now)) return members.without(voter);
        return members.withLearnerPromoted();
    }

    private boolean isSilent(long store, long now) {
        return store != selfId && now - storeStatus.lastHeardAt(store) >= timing.storeReplacementDelay();
    }

    /** Removes the voter that the group can best do without. */
    private Optional<Members> removeSurplusVoter(Members members, long now) {
        var candidate = -1;
        for (var i = 0; i < members.voters.length; i++) {
            if (members.voters[i] == selfId) continue;
            if (candidate < 0 || removalRank(members, i, now) < removalRank(members, candidate, now)) candidate = i;
        }
        return candidate < 0 ? Optional.empty() : Optional.of(members.without(members.voters[candidate]));
    }

    /**
     * The voter with the lowest rank is removed first: a silent one, then one that leaves, then one in a crowded
     * region.
     */
    private int removalRank(Members members, int index, long now) {
        var rank = quorum.unevennessWithout(members.zones, index);
        if (isSilent(members.voters[index], now)) return rank - (1 << 28);
        return isLeaving(members.voters[index]) ? rank - (1 << 27) : rank;
    }

    /** Adds the store that asks to join and spreads the group best, if a voter is missing or the spread improves. */
    private Optional<Members> admitLearner(Members members, long now) {
        var bestRequest = joinRequestByStore.entrySet().stream()
                .min(Comparator.comparingInt(entry -> quorum.unevennessWith(members.zones, entry.getValue().zone)))
                .orElse(null);
        if (bestRequest == null) return Optional.empty();
        var zone = bestRequest.getValue().zone;
        if (members.voters.length == quorum.voterCount() && !improvesSpread(members, zone, now))
            return Optional.empty();
        return Optional.of(members.withLearner(bestRequest.getKey(), zone));
    }

    /**
     * Whether a store in this zone would spread the voters more evenly in place of one of them, or as evenly in place
     * of one that is silent or leaves.
     */
    private boolean improvesSpread(Members members, String zone, long now) {
        var unevennessNow = quorum.unevenness(Arrays.asList(members.zones));
        for (var i = 0; i < members.voters.length; i++) {
            if (members.voters[i] == selfId) continue;
            var unevennessAfter = quorum.unevennessAfterSwap(members.zones, i, zone);
            var isGoingAway = isSilent(members.voters[i], now) || isLeaving(members.voters[i]);
            if (unevennessAfter < unevennessNow || unevennessAfter <= unevennessNow && isGoingAway) return true;
        }
        return false;
    }

    /**
     * Whether a store that is about to stop may do so now: it is no longer a member; or no store is there to replace
     * it, and every other voter holds all entries that this one helped to commit.
     */
    public boolean mayLeave(long store, Members members, long leadingSince, long now) {
        if (!members.isMember(store)) return true;
        var changing = members.learnerId != 0
                || members.voters.length > quorum.voterCount()
                || admitLearner(members, now).isPresent();
        if (changing || now - leadingSince < JOIN_REQUESTS_COMPLETE_AFTER_MICROS) return false;
        return Arrays.stream(members.voters)
                .allMatch(voter ->
                        voter == store || voter == selfId || isLeaving(voter) || storeStatus.holdsAllEntries(voter));
    }

    /**
     * The voter that should lead, chosen by the number of the part so that leaders are spread over the stores; 0 if
     * there is none.
     */
    public long preferredLeader(Members members, int part) {
        var candidates = Arrays.stream(members.voters)
                .filter(voter -> !isLeaving(voter))
                .sorted()
                .toArray();
        return candidates.length == 0 ? 0 : candidates[part % candidates.length];
    }

    /** Whether the group is complete and leadership may be transferred to this voter now. */
    public boolean canTakeLeadership(long store, Members members, long now) {
        if (store == 0 || store == selfId || isLeaving(store) || !members.isVoter(store)) return false;
        return members.voters.length == quorum.voterCount()
                && members.learnerId == 0
                && wasHeardRecently(store, now)
                && storeStatus.isCaughtUp(store);
    }

    /**
     * The voter to transfer leadership to when this store stops: one heard recently that is not about to stop itself,
     * if possible one that has caught up; 0 if there is none.
     */
    public long selectSuccessor(Members members, long now) {
        var reachable = Arrays.stream(members.voters)
                .filter(voter -> voter != selfId && wasHeardRecently(voter, now))
                .toArray();
        return Arrays.stream(reachable)
                .filter(voter -> !isLeaving(voter) && storeStatus.isCaughtUp(voter))
                .findFirst()
                .orElse(Arrays.stream(reachable)
                        .filter(voter -> !isLeaving(voter))
                        .findFirst()
                        .orElse(0));
    }

    /** Whether the store was heard within an election timeout. */
    private boolean wasHeardRecently(long store, long now) {
        return now - storeStatus.lastHeardAt(store) < timing.electionTimeout();
    }
}
