package craneway.sim.model;

import craneway.state.part.Members;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Requests membership changes and leadership transfers as the store's membership manager does, and decides which disks
 * may be lost.
 */
final class MembershipManager {
    /** How many entries a learner may lack when it is promoted. */
    private static final int MAX_LEARNER_LAG_ENTRIES = 64;

    private final World world;

    MembershipManager(World world) {
        this.world = world;
    }

    /** Performs one membership change or leadership transfer at a leader if it makes sense there. */
    void changeMembership(Peer leader, Choice choice) {
        if (!leader.isRunning()) return;
        var now = world.now();
        if (choice.kind() == Choice.Kind.HAND_OVER) {
            leader.group()
                    .transferLeadership(world.peer(choice.secondArgument()).id(), now);
        } else {
            var newMembers = requestedMembers(leader, choice);
            if (newMembers != null
                    && keepsMajority(newMembers, 0)
                    && leader.group().changeMembers(newMembers, now))
                world.checker().checkMembershipChange(leader);
        }
        leader.syncAndSend();
    }

    /** The membership after the requested change, or null if the change does not apply. */
    private Members requestedMembers(Peer leader, Choice choice) {
        var members = leader.group().members();
        return switch (choice.kind()) {
            case LEARN -> {
                var id = world.peer(choice.secondArgument()).id();
                yield members.learnerId != 0 || members.isMember(id)
                        ? null
                        : members.withLearner(id, "z" + choice.secondArgument());
            }
            case PROMOTE -> isLearnerCaughtUp(leader, members) ? members.withLearnerPromoted() : null;
            default -> {
                var id = memberAt(members, choice.secondArgument());
                yield id == 0 || id == leader.id() || members.voters.length == 1 ? null : members.without(id);
            }
        };
    }

    private boolean isLearnerCaughtUp(Peer leader, Members members) {
        return members.learnerId != 0
                && leader.group().matchIndexOf(members.learnerId)
                        >= leader.group().lastIndex() - MAX_LEARNER_LAG_ENTRIES;
    }

    /**
     * The id of the voter that was started in a slot, 0 if there is none. The last two digits of an id are its slot.
     */
    private static long memberAt(Members members, int slot) {
        for (var voter : members.voters) if (voter % 100 == slot) return voter;
        return 0;
    }

    /**
     * Performs the next change that the membership manager of a serving leader would make: remove members with lost
     * disks, promote a learner, remove a surplus voter, or add a learner.
     */
    void performNextChange() {
        var leader = world.leader();
        if (leader == null || !leader.group().hasLease(world.now())) return;
        var members = leader.group().members();
        var newMembers = desiredMembers(leader, members);
        if (newMembers != null && keepsMajority(newMembers, 0) && leader.group().changeMembers(newMembers, world.now()))
            world.checker().checkMembershipChange(leader);
        leader.syncAndSend();
    }

    private Members desiredMembers(Peer leader, Members members) {
        if (members.learnerId != 0 && world.isDiskLost(members.learnerId)) return members.without(members.learnerId);
        for (var voter : members.voters)
            if (voter != leader.id() && world.isDiskLost(voter)) return members.without(voter);
        if (isLearnerCaughtUp(leader, members)) return members.withLearnerPromoted();
        if (members.learnerId != 0)
            return world.peerWithId(members.learnerId).isRunning() ? null : members.without(members.learnerId);
        if (members.voters.length > world.setup().voters()) return members.without(leastRecentlyHeard(leader, members));
        if (members.voters.length == world.setup().voters()) return null;
        return world.peers().stream()
                .filter(peer -> peer.isRunning() && !members.isMember(peer.id()))
                .findFirst()
                .map(peer -> members.withLearner(peer.id(), "z" + peer.slot()))
                .orElse(null);
    }

    /** The voter whose last message to the leader is the oldest. */
    private static long leastRecentlyHeard(Peer leader, Members members) {
        var leastRecent = 0L;
        for (var voter : members.voters) {
            if (voter == leader.id()) continue;
            if (leastRecent == 0
                    || leader.group().lastHeardAt(voter) < leader.group().lastHeardAt(leastRecent)) leastRecent = voter;
        }
        return leastRecent;
    }

    /** Whether every membership that some log names keeps a majority of intact disks without this one. */
    boolean mayLoseDisk(Peer peer) {
        return knownMemberships().stream().allMatch(members -> keepsMajority(members, peer.id()));
    }

    private List<Members> knownMemberships() {
        var memberships = new ArrayList<Members>();
        for (var peer : world.peers()) memberships.add(peer.members());
        return memberships;
    }

    private boolean keepsMajority(Members members, long lostId) {
        if (lostId != 0 && !members.isVoter(lostId)) return true;
        var intactVoters = Arrays.stream(members.voters)
                .filter(voter -> voter != lostId && !world.isDiskLost(voter))
                .count();
        return intactVoters >= members.majority();
    }
}
