package craneway.state.part;

import craneway.model.unit.Hash;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * The election of a leader: a store that hears none first asks whether it would be voted for (so that one that comes back disturbs
 * nobody), then stands for a new term. A voter refuses others while it hears a leader, and for a while after its own start unless
 * all voters say yes, since a leader it heard in its earlier life may still hold its lease.
 */
final class Election {
    private static final long DISK_RETRY_DELAY_MICROS = 500_000;
    private static final long ELECTION_RETRY_DELAY_MICROS = 200_000;
    private static final long STARTUP_ELECTION_DELAY_MICROS = 80_000;

    private final Replica replica;
    private final Random random;
    private final LongSupplier lastMajorityContact;
    private final Set<Long> grantedVotes = new HashSet<>();
    private final Set<Long> conditionalVotes = new HashSet<>();
    private long recentlyStartedUntil;
    private long isDue;

    /** The contact is when this store, as a leader, last had sent what a majority answered. */
    Election(Replica replica, Random random, LongSupplier leaderContact) {
        this.replica = replica;
        this.random = random;
        this.lastMajorityContact = leaderContact;
    }

    /** The process has just started. */
    void onStart(long now) {
        recentlyStartedUntil = now + replica.timing.leaderLease();
        isDue = now + STARTUP_ELECTION_DELAY_MICROS + (long) (random.nextDouble() * STARTUP_ELECTION_DELAY_MICROS);
    }

    /** Whether the time of the present role is over. */
    boolean isDue(long now) {
        return now >= isDue;
    }

    /** Counts anew in a role that was just taken up. */
    void onRoleChange(Role role, long now) {
        grantedVotes.clear();
        conditionalVotes.clear();
        isDue = nextElectionDeadline(now);
        var pause = role == Role.PRE_CANDIDATE && hasRecentlyStarted(now) ? STARTUP_ELECTION_DELAY_MICROS : ELECTION_RETRY_DELAY_MICROS;
        if (role == Role.PRE_CANDIDATE || role == Role.CANDIDATE)
            isDue = now + pause + (long) (random.nextDouble() * pause);
        if (role == Role.DISK_FAILED) isDue = now + DISK_RETRY_DELAY_MICROS;
    }

    private long nextElectionDeadline(long now) {
        var timing = replica.timing;
        var share = timing.lowTraffic()
                ? Hash.bucket(Hash.of(replica.selfId, now >> 20), 1 << 16) / 65_536.0
                : random.nextDouble();
        return now + timing.electionTimeout() + (long) (share * timing.electionJitter());
    }

    /** Follows the leader of the current term, which was just heard. */
    void followLeader(long leader, long now) {
        replica.leaderId = leader;
        replica.lastLeaderContactAt = now;
        recentlyStartedUntil = now;
        if (replica.role != Role.FOLLOWER) replica.transitions.changeRole(Role.FOLLOWER, now);
        isDue = nextElectionDeadline(now);
    }

    /** Asks the voters whether they would vote for this store. */
    void startPreVote(long now) {
        replica.transitions.changeRole(Role.PRE_CANDIDATE, now);
        (hasRecentlyStarted(now) ? conditionalVotes : grantedVotes).add(replica.selfId);
        for (var v : replica.members().voters)
            if (v != replica.selfId) replica.sendAfterSync(newVoteRequest(PartMessage.PRE_VOTE, v, replica.log.term() + 1));
        countPreVotes(now);
    }

    private void countPreVotes(long now) {
        conditionalVotes.addAll(grantedVotes);
        if (grantedVotes.size() >= replica.members().majority()) startElection(now, false);
        else if (conditionalVotes.size() == replica.members().voters.length) startElection(now, true);
    }

    /** Stands for the next term; sure where no leader can still hold a lease, or the leader itself asked for it. */
    void startElection(long now, boolean unconditional) {
        replica.transitions.changeRole(Role.CANDIDATE, now);
        replica.leaderId = 0;
        replica.log.saveTermAndVote(replica.log.term() + 1, replica.selfId);
        grantedVotes.add(replica.selfId);
        for (var v : replica.members().voters) {
            if (v == replica.selfId) continue;
            var m = newVoteRequest(PartMessage.VOTE, v, replica.log.term());
            m.granted = unconditional;
            replica.sendAfterSync(m);
        }
        becomeLeaderOnMajority(now);
    }

    private void becomeLeaderOnMajority(long now) {
        if (grantedVotes.size() >= replica.members().majority()) replica.transitions.changeRole(Role.LEADER, now);
    }

    private PartMessage newVoteRequest(int kind, long to, long term) {
        var m = replica.newMessage(kind, to, term);
        m.index = replica.log.last();
        m.logTerm = replica.log.termAt(m.index);
        return m;
    }

    /** Whether a request to vote is to be passed over, because a leader may still hold its lease. */
    boolean ignoresVoteRequests(long now) {
        return isLeaderAlive(now) || hasRecentlyStarted(now);
    }

    private boolean isLeaderAlive(long now) {
        var contact = replica.role == Role.LEADER ? lastMajorityContact.getAsLong() : replica.lastLeaderContactAt;
        return now < contact + replica.timing.electionTimeout();
    }

    /** Whether this voter has started so lately that a leader it had heard before may still hold its lease. */
    private boolean hasRecentlyStarted(long now) {
        return replica.role != Role.LEADER && now < recentlyStartedUntil;
    }

    private boolean isLogUpToDate(PartMessage m) {
        var last = replica.log.last();
        var term = replica.log.termAt(last);
        return m.logTerm > term || m.logTerm == term && m.index >= last;
    }

    void onPreVote(PartMessage m, long now) {
        var r = replica.newMessage(PartMessage.PRE_VOTE_REPLY, m.from, m.term);
        var mine = now < recentlyStartedUntil + replica.timing.leaderLease() && hasPriority(m);
        if (mine && replica.role == Role.FOLLOWER) isDue = now;
        r.recentlyStarted = hasRecentlyStarted(now);
        r.granted = m.term > replica.log.term() && isLogUpToDate(m) && !isLeaderAlive(now) && !mine;
        r.index = replica.log.term();
        replica.sendAfterSync(r);
        if (r.granted) stepDownForPreVote(now);
    }

    /** A yes is a promise not to lead in an earlier term: late acknowledgements or votes must not bring that lease back. */
    private void stepDownForPreVote(long now) {
        if (replica.role != Role.LEADER && replica.role != Role.CANDIDATE) return;
        replica.leaderId = 0;
        replica.transitions.changeRole(Role.FOLLOWER, now);
    }

    /** After a start, of equal logs the last leader's goes first, then the lowest id, so that not all start an election at once. */
    private boolean hasPriority(PartMessage m) {
        var log = replica.log;
        var self = replica.selfId;
        if (m.logTerm != log.termAt(log.last())
                || m.index != log.last()
                || !replica.members().isVoter(self)) return false;
        var lower = self < m.from && log.vote() != m.from && (log.vote() != 0 || log.term() == 0);
        return log.vote() == self || lower;
    }

    void onPreVoteReply(PartMessage m, long now) {
        if (m.index > replica.log.term()) {
            replica.log.saveTermAndVote(m.index, 0);
            replica.transitions.changeRole(Role.FOLLOWER, now);
            return;
        }
        if (replica.role != Role.PRE_CANDIDATE || !m.granted || m.term != replica.log.term() + 1) return;
        if (!replica.members().isVoter(m.from)) return;
        (m.recentlyStarted ? conditionalVotes : grantedVotes).add(m.from);
        countPreVotes(now);
    }

    void onVote(PartMessage m, long now) {
        var log = replica.log;
        var r = replica.newMessage(PartMessage.VOTE_REPLY, m.from);
        var free = log.vote() == 0 || log.vote() == m.from;
        r.granted = m.term == log.term() && free && replica.role == Role.FOLLOWER && isLogUpToDate(m);
        if (r.granted) {
            if (log.vote() == 0) log.saveTermAndVote(log.term(), m.from);
            isDue = nextElectionDeadline(now);
        }
        replica.sendAfterSync(r);
    }

    void onVoteReply(PartMessage m, long now) {
        if (replica.role != Role.CANDIDATE || m.term != replica.log.term() || !m.granted) return;
        if (!replica.members().isVoter(m.from)) return;
        grantedVotes.add(m.from);
        becomeLeaderOnMajority(now);
    }
}
