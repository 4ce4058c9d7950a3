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
    private static final long JOIN_REQUESTS_COMPLETE_AFTER_MICROS = 1_000_000;

    /** What the leader knows of a store. Times are microseconds. */
    public interface Knowledge {
        /** Whether the disk of this store is known to be lost. */
        boolean diskLost(long store);

        /** When the leader last heard the store. */
        long heardFrom(long store);

        /** Whether the store's catch-up rounds have become short. */
        boolean caughtUp(long store);

        /** Whether the store holds every entry that the leader holds. */
        boolean level(long store);
    }

    private record JoinRequest(String zone, long validUntil) {}

    private final long self;
    private final Quorum quorum;
    private final TimingProfile timing;
    private final Knowledge storeStatus;
    private final Map<Long, JoinRequest> joinRequestByStore = new TreeMap<>();
    private final Map<Long, Long> leavingUntilByStore = new TreeMap<>();

    /** A decider for a leader with this store id. */
    public MembershipChanges(long self, Quorum quorum, TimingProfile timing, Knowledge knowledge) {
        this.self = self;
        this.quorum = quorum;
        this.timing = timing;
        this.storeStatus = knowledge;
    }

    /** A store that is no member asks to become one; it asks again before that time if it still does. */
    public void wants(long store, String zone, long validUntil) {
        leavingUntilByStore.remove(store);
        joinRequestByStore.put(store, new JoinRequest(zone, validUntil));
    }

    /** A store is about to stop; it says so again before that time while it still waits. */
    public void leaves(long store, long validUntil) {
        joinRequestByStore.remove(store);
        leavingUntilByStore.put(store, validUntil);
    }

    /** Whether a store has said lately that it is about to stop. */
    public boolean leaving(long store) {
        return leavingUntilByStore.containsKey(store);
    }

    /** The members to propose next, if any change is due. */
    public Optional<Members> next(Members members, long leadingSince, long now) {
        dropExpired(members, now);
        var lostStore = memberWithLostDisk(members);
        if (lostStore != 0) return Optional.of(members.without(lostStore));
        if (members.learner != 0) return resolveLearner(members, leadingSince, now);
        if (members.voters.length > quorum.voters()) return removeSurplusVoter(members, now);
        return admitLearner(members, now);
    }

    private void dropExpired(Members members, long now) {
        leavingUntilByStore.values().removeIf(validUntil -> now > validUntil);
        joinRequestByStore
                .entrySet()
                .removeIf(entry -> now > entry.getValue().validUntil
                        || members.isMember(entry.getKey())
                        || storeStatus.diskLost(entry.getKey()));
    }

    private long memberWithLostDisk(Members members) {
        if (members.learner != 0 && storeStatus.diskLost(members.learner)) return members.learner;
        for (var voter : members.voters) if (voter != self && storeStatus.diskLost(voter)) return voter;
        return 0;
    }

    private Optional<Members> resolveLearner(Members members, long leadingSince, long now) {
        var leadingForMicros = now - leadingSince;
        if (leaving(members.learner) || isSilent(members.learner, now) && leadingForMicros > timing.replace())
            return Optional.of(members.without(members.learner));
        if (storeStatus.caughtUp(members.learner) && leadingForMicros > timing.settled())
            return Optional.of(withLearnerPromoted(members, now));
        return Optional.empty();
    }

    /**
     * The group with its caught-up learner as a voter. A silent voter that it replaces goes first: beside it the group would need
     * one store more, and the loss of the new voter in that moment would leave no majority.
     */
    private Members withLearnerPromoted(Members members, long now) {
        if (members.voters.length < quorum.voters()) return members.promoted();
        for (var voter : members.voters) if (isSilent(voter, now)) return members.without(voter);
        return members.promoted();
    }

    private boolean isSilent(long store, long now) {
        return store != self && now - storeStatus.heardFrom(store) >= timing.replace();
    }

    private Optional<Members> removeSurplusVoter(Members members, long now) {
        var candidate = -1;
        for (var i = 0; i < members.voters.length; i++) {
            if (members.voters[i] == self) continue;
            if (candidate < 0 || removalRank(members, i, now) < removalRank(members, candidate, now)) candidate = i;
        }
        return candidate < 0 ? Optional.empty() : Optional.of(members.without(members.voters[candidate]));
    }

    /** The least goes first: silent ones, then those about to stop, then whoever crowds a region most. */
    private int removalRank(Members members, int index, long now) {
        var rank = quorum.unevennessWithout(members.zones, index);
        if (isSilent(members.voters[index], now)) return rank - (1 << 28);
        return leaving(members.voters[index]) ? rank - (1 << 27) : rank;
    }

    private Optional<Members> admitLearner(Members members, long now) {
        var bestRequest = joinRequestByStore.entrySet().stream()
                .min(Comparator.comparingInt(entry -> quorum.unevennessWith(members.zones, entry.getValue().zone)))
                .orElse(null);
        if (bestRequest == null) return Optional.empty();
        var zone = bestRequest.getValue().zone;
        if (members.voters.length == quorum.voters() && !improvesSpread(members, zone, now)) return Optional.empty();
        return Optional.of(members.withLearner(bestRequest.getKey(), zone));
    }

    private boolean improvesSpread(Members members, String zone, long now) {
        var unevennessNow = quorum.unevenness(Arrays.asList(members.zones));
        for (var i = 0; i < members.voters.length; i++) {
            if (members.voters[i] == self) continue;
            var unevennessAfter = quorum.unevennessAfterSwap(members.zones, i, zone);
            var isGoingAway = isSilent(members.voters[i], now) || leaving(members.voters[i]);
            if (unevennessAfter < unevennessNow || unevennessAfter <= unevennessNow && isGoingAway) return true;
        }
        return false;
    }

    /**
     * Whether a store that is about to stop may go now: it is no member any more; or nobody could take its place, and every other
     * voter holds all that it helped to acknowledge.
     */
    public boolean mayGo(long store, Members members, long leadingSince, long now) {
        if (!members.isMember(store)) return true;
        var changing = members.learner != 0
                || members.voters.length > quorum.voters()
                || admitLearner(members, now).isPresent();
        if (changing || now - leadingSince < JOIN_REQUESTS_COMPLETE_AFTER_MICROS) return false;
        return Arrays.stream(members.voters)
                .allMatch(voter -> voter == store || voter == self || leaving(voter) || storeStatus.level(voter));
    }

    /** The voter that should lead in this leader's place, by the order of the parts; 0 for none. */
    public long preferredLeader(Members members, int part) {
        var candidates = Arrays.stream(members.voters)
                .filter(voter -> !leaving(voter))
                .sorted()
                .toArray();
        return candidates.length == 0 ? 0 : candidates[part % candidates.length];
    }

    /** Whether the group is whole and leadership may go to this voter now. */
    public boolean mayLead(long store, Members members, long now) {
        if (store == 0 || store == self || leaving(store) || !members.isVoter(store)) return false;
        return members.voters.length == quorum.voters()
                && members.learner == 0
                && wasHeardRecently(store, now)
                && storeStatus.caughtUp(store);
    }

    /** The voter to hand over to when this store stops: one that is near, and rather none that stops too; 0 for none. */
    public long heir(Members members, long now) {
        var reachable = Arrays.stream(members.voters)
                .filter(voter -> voter != self && wasHeardRecently(voter, now))
                .toArray();
        return Arrays.stream(reachable)
                .filter(voter -> !leaving(voter) && storeStatus.caughtUp(voter))
                .findFirst()
                .orElse(Arrays.stream(reachable)
                        .filter(voter -> !leaving(voter))
                        .findFirst()
                        .orElse(0));
    }

    private boolean wasHeardRecently(long store, long now) {
        return now - storeStatus.heardFrom(store) < timing.electionTimeout();
    }
}
