package craneway.state.part;

import craneway.model.unit.Hash;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Leader election with a pre-vote round. A store that no longer hears a leader first asks the voters whether they would
 * vote for it, so that a store returning from a partition does not disrupt a working leader, and only then starts an
 * election in a new term.
 *
 * <p>A voter ignores vote requests while it hears a leader. After its own start it also ignores them for the length of
 * a leader lease, because a leader it heard before the restart may still hold its lease; the exception is an election
 * that all voters agreed to in the pre-vote.
 */
final class Election {
    private static final long DISK_RETRY_DELAY_MICROS = 500_000;
    /** The base delay before a failed pre-vote or election is retried; up to twice this, at random. */
    private static final long ELECTION_RETRY_DELAY_MICROS = 200_000;
    /** The base delay of the first election after a start and of retried pre-votes soon after it; up to twice this. */
    private static final long STARTUP_ELECTION_DELAY_MICROS = 80_000;

    private final Replica replica;
    private final Random random;
    private final LongSupplier lastMajorityContact;
    private final Set<Long> grantedVotes = new HashSet<>();
    private final Set<Long> conditionalVotes = new HashSet<>();
    private long recentlyStartedUntil;
    private long deadline;

    /**
     * Creates the election logic. The supplier returns the send time of the latest messages that a majority has
     * answered while this store is leader.
     */
    Election(Replica replica, Random random, LongSupplier lastMajorityContact) {
        this.replica = replica;
        this.random = random;
        this.lastMajorityContact = lastMajorityContact;
    }

    /** Records that the process has just started and schedules the first election. */
    void onStart(long now) {
        recentlyStartedUntil = now + replica.timing.leaderLeaseDuration();
        deadline = now + STARTUP_ELECTION_DELAY_MICROS + (long) (random.nextDouble() * STARTUP_ELECTION_DELAY_MICROS);
    }

    /** Returns whether the timeout of the current role has expired. */
    boolean isDue(long now) {
        return now >= deadline;
    }

    /** Clears the collected votes and sets the timeout of the role that was just entered. */
    void onRoleChange(Role role, long now) {
        grantedVotes.clear();
        conditionalVotes.clear();
        deadline = nextElectionDeadline(now);
        var delay = role == Role.PRE_CANDIDATE && hasRecentlyStarted(now)
                ? STARTUP_ELECTION_DELAY_MICROS
                : ELECTION_RETRY_DELAY_MICROS;
        if (role == Role.PRE_CANDIDATE || role == Role.CANDIDATE)
            deadline = now + delay + (long) (random.nextDouble() * delay);
        if (role == Role.DISK_FAILED) deadline = now + DISK_RETRY_DELAY_MICROS;
    }

    private long nextElectionDeadline(long now) {
        var timing = replica.timing;
        var jitterShare = timing.lowTraffic()
                ? Hash.bucket(Hash.of(replica.selfId, now >> 20), 1 << 16) / 65_536.0
                : random.nextDouble();
        return now + timing.electionTimeout() + (long) (jitterShare * timing.electionJitter());
    }

    /** Follows the leader of the current term, from which a message was just received. */
    void followLeader(long leaderId, long now) {
        replica.leaderId = leaderId;
        replica.lastLeaderContactAt = now;
        recentlyStartedUntil = now;
        if (replica.role != Role.FOLLOWER) replica.transitions.changeRole(Role.FOLLOWER, now);
        deadline = nextElectionDeadline(now);
    }

    /** Asks the voters whether they would vote for this store. */
    void startPreVote(long now) {
        replica.transitions.changeRole(Role.PRE_CANDIDATE, now);
        (hasRecentlyStarted(now) ? conditionalVotes : grantedVotes).add(replica.selfId);
        for (var voterId : replica.members().voters)
            if (voterId != replica.selfId)
                replica.sendAfterSync(newVoteRequest(PartMessage.PRE_VOTE, voterId, replica.log.currentTerm() + 1));
        countPreVotes(now);
    }

    private void countPreVotes(long now) {
        conditionalVotes.addAll(grantedVotes);
        if (grantedVotes.size() >= replica.members().majority()) startElection(now, false);
        else if (conditionalVotes.size() == replica.members().voters.length) startElection(now, true);
    }

    /**
     * Starts an election in the next term. The election is unconditional if no leader can still hold a lease or the
     * leader itself asked for it; voters then do not ignore the request.
     */
    void startElection(long now, boolean unconditional) {
        replica.transitions.changeRole(Role.CANDIDATE, now);
        replica.leaderId = 0;
        replica.log.saveTermAndVote(replica.log.currentTerm() + 1, replica.selfId);
        grantedVotes.add(replica.selfId);
        for (var voterId : replica.members().voters) {
            if (voterId == replica.selfId) continue;
            var request = newVoteRequest(PartMessage.VOTE, voterId, replica.log.currentTerm());
            request.granted = unconditional;
            replica.sendAfterSync(request);
        }
        becomeLeaderOnMajority(now);
    }

    private void becomeLeaderOnMajority(long now) {
        if (grantedVotes.size() >= replica.members().majority()) replica.transitions.changeRole(Role.LEADER, now);
    }

    private PartMessage newVoteRequest(int kind, long to, long term) {
        var request = replica.newMessage(kind, to, term);
        request.index = replica.log.lastIndex();
        request.logTerm = replica.log.termAt(request.index);
        return request;
    }

    /** Returns whether a vote request must be ignored because a leader may still hold its lease. */
    boolean ignoresVoteRequests(long now) {
        return isLeaderAlive(now) || hasRecentlyStarted(now);
    }

    private boolean isLeaderAlive(long now) {
        var lastContactAt = replica.role == Role.LEADER ? lastMajorityContact.getAsLong() : replica.lastLeaderContactAt;
        return now < lastContactAt + replica.timing.electionTimeout();
    }

    /**
     * Returns whether this voter started so recently that a leader it heard before the restart may still hold its
     * lease.
     */
    private boolean hasRecentlyStarted(long now) {
        return replica.role != Role.LEADER && now < recentlyStartedUntil;
    }

    private boolean isLogUpToDate(PartMessage request) {
        var lastIndex = replica.log.lastIndex();
        var lastTerm = replica.log.termAt(lastIndex);
        return request.logTerm > lastTerm || request.logTerm == lastTerm && request.index >= lastIndex;
    }

    void onPreVote(PartMessage request, long now) {
        var reply = replica.newMessage(PartMessage.PRE_VOTE_REPLY, request.from, request.term);
        var hasPriority = now < recentlyStartedUntil + replica.timing.leaderLeaseDuration() && hasPriority(request);
        if (hasPriority && replica.role == Role.FOLLOWER) deadline = now;
        reply.recentlyStarted = hasRecentlyStarted(now);
        reply.granted = request.term > replica.log.currentTerm()
                && isLogUpToDate(request)
                && !isLeaderAlive(now)
                && !hasPriority;
        reply.index = replica.log.currentTerm();
        replica.sendAfterSync(reply);
        if (reply.granted) stepDownForPreVote(now);
    }

    /**
     * Steps down after granting a pre-vote. A granted pre-vote promises not to lead in an earlier term: late
     * acknowledgements or votes must not revive that lease.
     */
    private void stepDownForPreVote(long now) {
        if (replica.role != Role.LEADER && replica.role != Role.CANDIDATE) return;
        replica.leaderId = 0;
        replica.transitions.changeRole(Role.FOLLOWER, now);
    }

    /**
     * Returns whether this store should run before the sender after a start. Among equal logs the last leader goes
     * first, then the lowest id, so that not all stores start an election at once.
     */
    private boolean hasPriority(PartMessage request) {
        var log = replica.log;
        var selfId = replica.selfId;
        if (request.logTerm != log.termAt(log.lastIndex())
                || request.index != log.lastIndex()
                || !replica.members().isVoter(selfId)) return false;
        var hasLowerId = selfId < request.from
                && log.votedFor() != request.from
                && (log.votedFor() != 0 || log.currentTerm() == 0);
        return log.votedFor() == selfId || hasLowerId;
    }

    void onPreVoteReply(PartMessage reply, long now) {
        if (reply.index > replica.log.currentTerm()) {
            replica.log.saveTermAndVote(reply.index, 0);
            replica.transitions.changeRole(Role.FOLLOWER, now);
            return;
        }
        if (replica.role != Role.PRE_CANDIDATE || !reply.granted || reply.term != replica.log.currentTerm() + 1) return;
        if (!replica.members().isVoter(reply.from)) return;
        (reply.recentlyStarted ? conditionalVotes : grantedVotes).add(reply.from);
        countPreVotes(now);
    }

    void onVote(PartMessage request, long now) {
        var log = replica.log;
        var reply = replica.newMessage(PartMessage.VOTE_REPLY, request.from);
        var voteAvailable = log.votedFor() == 0 || log.votedFor() == request.from;
        reply.granted = request.term == log.currentTerm()
                && voteAvailable
                && replica.role == Role.FOLLOWER
                && isLogUpToDate(request);
        if (reply.granted) {
            if (log.votedFor() == 0) log.saveTermAndVote(log.currentTerm(), request.from);
            deadline = nextElectionDeadline(now);
        }
        replica.sendAfterSync(reply);
    }

    void onVoteReply(PartMessage reply, long now) {
        if (replica.role != Role.CANDIDATE || reply.term != replica.log.currentTerm() || !reply.granted) return;
        if (!replica.members().isVoter(reply.from)) return;
        grantedVotes.add(reply.from);
        becomeLeaderOnMajority(now);
    }
}
