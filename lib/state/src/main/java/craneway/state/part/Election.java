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
    private static final long DISK_RETRY_PAUSE = 500_000;
    private static final long AGAIN = 200_000;
    private static final long WAKE = 80_000;

    private final Replica replica;
    private final Random random;
    private final LongSupplier leaderContact;
    private final Set<Long> granted = new HashSet<>();
    private final Set<Long> conditionalVotes = new HashSet<>();
    private long recentlyStartedUntil;
    private long due;

    /** The contact is when this store, as a leader, last had sent what a majority answered. */
    Election(Replica replica, Random random, LongSupplier leaderContact) {
        this.replica = replica;
        this.random = random;
        this.leaderContact = leaderContact;
    }

    /** The process has just started. */
    void started(long now) {
        recentlyStartedUntil = now + replica.timing.leaderLeaseDuration();
        due = now + WAKE + (long) (random.nextDouble() * WAKE);
    }

    /** Whether the time of the present role is over. */
    boolean due(long now) {
        return now >= due;
    }

    /** Counts anew in a role that was just taken up. */
    void entered(Role role, long now) {
        granted.clear();
        conditionalVotes.clear();
        due = nextElectionTimeout(now);
        var pause = role == Role.PRE_CANDIDATE && recentlyStarted(now) ? WAKE : AGAIN;
        if (role == Role.PRE_CANDIDATE || role == Role.CANDIDATE)
            due = now + pause + (long) (random.nextDouble() * pause);
        if (role == Role.DISK_FAILED) due = now + DISK_RETRY_PAUSE;
    }

    private long nextElectionTimeout(long now) {
        var timing = replica.timing;
        var share = timing.lowTraffic()
                ? Hash.bucket(Hash.of(replica.self, now >> 20), 1 << 16) / 65_536.0
                : random.nextDouble();
        return now + timing.electionTimeout() + (long) (share * timing.electionJitter());
    }

    /** Follows the leader of the current term, which was just heard. */
    void follow(long leader, long now) {
        replica.leader = leader;
        replica.heardLeaderAt = now;
        recentlyStartedUntil = now;
        if (replica.role != Role.FOLLOWER) replica.transitions.become(Role.FOLLOWER, now);
        due = nextElectionTimeout(now);
    }

    /** Asks the voters whether they would vote for this store. */
    void preVote(long now) {
        replica.transitions.become(Role.PRE_CANDIDATE, now);
        (recentlyStarted(now) ? conditionalVotes : granted).add(replica.self);
        for (var v : replica.members().voters)
            if (v != replica.self) replica.send(ask(PartMessage.PRE_VOTE, v, replica.log.currentTerm() + 1));
        countPreVotes(now);
    }

    private void countPreVotes(long now) {
        conditionalVotes.addAll(granted);
        if (granted.size() >= replica.members().majority()) startElection(now, false);
        else if (conditionalVotes.size() == replica.members().voters.length) startElection(now, true);
    }

    /** Stands for the next term; sure where no leader can still hold a lease, or the leader itself asked for it. */
    void startElection(long now, boolean unconditional) {
        replica.transitions.become(Role.CANDIDATE, now);
        replica.leader = 0;
        replica.log.saveTermAndVote(replica.log.currentTerm() + 1, replica.self);
        granted.add(replica.self);
        for (var v : replica.members().voters) {
            if (v == replica.self) continue;
            var m = ask(PartMessage.VOTE, v, replica.log.currentTerm());
            m.granted = unconditional;
            replica.send(m);
        }
        winWithMajority(now);
    }

    private void winWithMajority(long now) {
        if (granted.size() >= replica.members().majority()) replica.transitions.become(Role.LEADER, now);
    }

    private PartMessage ask(int kind, long to, long term) {
        var m = replica.message(kind, to, term);
        m.index = replica.log.lastIndex();
        m.logTerm = replica.log.termAt(m.index);
        return m;
    }

    /** Whether a request to vote is to be passed over, because a leader may still hold its lease. */
    boolean refusesOthers(long now) {
        return leaderAlive(now) || recentlyStarted(now);
    }

    private boolean leaderAlive(long now) {
        var contact = replica.role == Role.LEADER ? leaderContact.getAsLong() : replica.heardLeaderAt;
        return now < contact + replica.timing.electionTimeout();
    }

    /** Whether this voter has started so lately that a leader it had heard before may still hold its lease. */
    private boolean recentlyStarted(long now) {
        return replica.role != Role.LEADER && now < recentlyStartedUntil;
    }

    private boolean upToDate(PartMessage m) {
        var last = replica.log.lastIndex();
        var term = replica.log.termAt(last);
        return m.logTerm > term || m.logTerm == term && m.index >= last;
    }

    void preVoteAsked(PartMessage m, long now) {
        var r = replica.message(PartMessage.PRE_VOTE_REPLY, m.from, m.term);
        var mine = now < recentlyStartedUntil + replica.timing.leaderLeaseDuration() && hasPriority(m);
        if (mine && replica.role == Role.FOLLOWER) due = now;
        r.recentlyStarted = recentlyStarted(now);
        r.granted = m.term > replica.log.currentTerm() && upToDate(m) && !leaderAlive(now) && !mine;
        r.index = replica.log.currentTerm();
        replica.send(r);
        if (r.granted) giveWay(now);
    }

    /** A yes is a promise not to lead in an earlier term: late acknowledgements or votes must not bring that lease back. */
    private void giveWay(long now) {
        if (replica.role != Role.LEADER && replica.role != Role.CANDIDATE) return;
        replica.leader = 0;
        replica.transitions.become(Role.FOLLOWER, now);
    }

    /** After a start, of equal logs the last leader's goes first, then the lowest id, so that not all start an election at once. */
    private boolean hasPriority(PartMessage m) {
        var log = replica.log;
        var self = replica.self;
        if (m.logTerm != log.termAt(log.lastIndex())
                || m.index != log.lastIndex()
                || !replica.members().isVoter(self)) return false;
        var lower = self < m.from && log.votedFor() != m.from && (log.votedFor() != 0 || log.currentTerm() == 0);
        return log.votedFor() == self || lower;
    }

    void preVoteReply(PartMessage m, long now) {
        if (m.index > replica.log.currentTerm()) {
            replica.log.saveTermAndVote(m.index, 0);
            replica.transitions.become(Role.FOLLOWER, now);
            return;
        }
        if (replica.role != Role.PRE_CANDIDATE || !m.granted || m.term != replica.log.currentTerm() + 1) return;
        if (!replica.members().isVoter(m.from)) return;
        (m.recentlyStarted ? conditionalVotes : granted).add(m.from);
        countPreVotes(now);
    }

    void onVote(PartMessage m, long now) {
        var log = replica.log;
        var r = replica.message(PartMessage.VOTE_REPLY, m.from);
        var free = log.votedFor() == 0 || log.votedFor() == m.from;
        r.granted = m.term == log.currentTerm() && free && replica.role == Role.FOLLOWER && upToDate(m);
        if (r.granted) {
            if (log.votedFor() == 0) log.saveTermAndVote(log.currentTerm(), m.from);
            due = nextElectionTimeout(now);
        }
        replica.send(r);
    }

    void onVoteReply(PartMessage m, long now) {
        if (replica.role != Role.CANDIDATE || m.term != replica.log.currentTerm() || !m.granted) return;
        if (!replica.members().isVoter(m.from)) return;
        granted.add(m.from);
        winWithMajority(now);
    }
}
