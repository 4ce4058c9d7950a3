package craneway.state.part;

import craneway.model.event.Event;
import craneway.model.unit.TimingProfile;
import craneway.state.disk.DiskException;
import craneway.state.disk.Folder;
import craneway.state.disk.SegmentLog;
import craneway.state.message.Codec;
import java.util.Arrays;
import java.util.Random;

/**
 * One store's share in the replicated log of a part: it takes up roles and hands each message to the duty it belongs to (
 * {@link Election}, {@link Replication}, {@link Follower}). It works on no clock and no thread of its own; whoever drives it calls
 * {@link #tick}, {@link #receive} and, after any of them, {@link #syncAndSend}, which syncs and only then sends. Times are microseconds.
 */
public final class Group {
    private static final byte[] NONE = {};

    private final Replica replica;
    private final Replication replication;
    private final Election election;
    private final Follower follower;
    private final HandOver handOver;
    private long termStart;
    private boolean leadershipReported;

    /** Opens the part's log in the folder; a rebuilt core's first members make it go on from this log alone. */
    public Group(
            int part,
            long self,
            long core,
            Folder folder,
            Members first,
            StateMachine machine,
            Random random,
            GroupListener out,
            TimingProfile timing,
            long now) {
        replica = new Replica(
                part,
                self,
                () -> new SegmentLog(folder, "p" + part + ".", Long.hashCode(core)),
                first,
                machine,
                out,
                timing,
                new Replica.Transitions(this::become, this::committed));
        replication = new Replication(replica);
        election = new Election(replica, random, replication::majorityContact);
        follower = new Follower(replica, election);
        handOver = new HandOver(replica, replication);
        replica.open(now);
        become(Role.FOLLOWER, now);
        replica.heardLeaderAt = Long.MIN_VALUE / 2;
        election.started(now);
        if (first.isVoter(self) && first.coreGeneration > replica.membership.generation(replica.log)) rebuild(first, now);
    }

    private void rebuild(Members first, long now) {
        try {
            var from = replica.rebuild(first);
            note(Event.PART_RECOVERED, "from entry " + from);
        } catch (DiskException e) {
            fail(e, now);
        }
    }

    private void note(Event e, String detail) {
        replica.out.logEvent(e, "part " + replica.part + " " + detail);
    }

    /** Whether this store, as leader or follower, knows of a leader in contact within that time. */
    public boolean hasLeaderContact(long now, long within) {
        var leader = replica.leader;
        return replica.role == Role.LEADER && now < replication.majorityContact() + within
                || leader != 0 && leader != replica.self && now < replica.heardLeaderAt + within;
    }

    /** The number of the part. */
    public int part() {
        return replica.part;
    }

    /** The role this store has now. */
    public Role role() {
        return replica.role;
    }

    /** The store known to lead; 0 for none. */
    public long leaderId() {
        return replica.leader;
    }

    /** The current term. */
    public long term() {
        return replica.log.currentTerm();
    }

    /** The members in force. */
    public Members members() {
        return replica.members();
    }

    /** The last index applied to the machine. */
    public long appliedIndex() {
        return replica.applied;
    }

    /** The last index of the log. */
    public long lastIndex() {
        return replica.log.lastIndex();
    }

    /** Whether this store leads and has applied all that earlier terms committed. */
    public boolean isReadyLeader() {
        return replica.role == Role.LEADER && replica.applied >= termStart;
    }

    /** Whether this store may answer as the leader: it is ready and within its lease. */
    public boolean hasLease(long now) {
        return isReadyLeader()
                && !handOver.open()
                && now < replication.majorityContact() + replica.timing.leaderLeaseDuration();
    }

    /** Up to where a store's log is known to match this leader's. */
    public long matchIndexOf(long id) {
        return id == replica.self ? replica.log.lastIndex() : replication.matchOf(id);
    }

    /** Whether this leader's rounds of catching up with a peer have become short: what a learner needs to be made a voter. */
    public boolean isCaughtUp(long id, long now) {
        return replica.role == Role.LEADER && replication.caughtUp(id, now);
    }

    /** When this leader last heard a store; 0 for never. */
    public long lastHeardAt(long id) {
        return replication.heardFrom(id);
    }

    private void become(Role to, long now) {
        var from = replica.role;
        replica.role = to;
        handOver.end();
        election.entered(to, now);
        if (from == Role.LEADER) replication.end();
        if (from == Role.LEADER && leadershipReported) {
            leadershipReported = false;
            replica.out.onLeadershipChanged(false, replica.log.currentTerm());
        }
        if (to == Role.LEADER) lead(now);
    }

    private void lead(long now) {
        replica.leader = replica.self;
        replication.begin(now);
        termStart = replica.log.lastIndex() + 1;
        replica.append(LogEntry.NO_OP, NONE);
        replication.feedAll(now);
    }

    private void stepDown(long now) {
        replica.leader = 0;
        become(Role.FOLLOWER, now);
    }

    /** Does what time asks for: beats, elections, another try to open a failed disk. */
    public void tick(long now) {
        if (replica.role == Role.DISK_FAILED) {
            if (election.due(now)) reopen(now);
            return;
        }
        follower.tick(now);
        try {
            if (replica.role == Role.LEADER) leaderTick(now);
            else if (election.due(now) && members().isVoter(replica.self)) election.preVote(now);
        } catch (DiskException e) {
            fail(e, now);
        }
    }

    private void reopen(long now) {
        try {
            replica.open(now);
            become(Role.FOLLOWER, now);
        } catch (DiskException e) {
            fail(e, now);
        }
    }

    private void leaderTick(long now) {
        var contactLost = now > replication.majorityContact() + replica.timing.electionTimeout();
        if (contactLost || handOver.overdue(now)) stepDown(now);
        else replication.beat(now);
    }

    /** Appends a command as the leader; its index, or -1 where this store may not. */
    public long propose(byte[] command, long now) {
        if (!isReadyLeader() || handOver.open()) return -1;
        try {
            return replica.append(LogEntry.COMMAND, command);
        } catch (DiskException e) {
            fail(e, now);
            return -1;
        }
    }

    /**
     * Appends a change of the members as the leader, once the change before it is committed; whether it did. A leader stays in: it
     * hands over first, since voters of a group without it would choose another while it still holds its lease.
     */
    public boolean changeMembers(Members next, long now) {
        if (!next.isVoter(replica.self)) return false;
        if (!isReadyLeader() || replica.commit < replica.membership.index()) return false;
        try {
            replica.append(LogEntry.MEMBERSHIP, Codec.encode(next));
            note(Event.MEMBERS_CHANGED, "voters " + Arrays.toString(next.zones) + " learner " + next.learnerZone);
            return true;
        } catch (DiskException e) {
            fail(e, now);
            return false;
        }
    }

    /** Stops proposals and hands leadership over once that voter is level; whether that began. */
    public boolean transferLeadership(long to, long now) {
        if (!isReadyLeader() || handOver.open() || !members().isVoter(to) || to == replica.self) return false;
        handOver.begin(to, now);
        return true;
    }

    /** Takes a message of another store of the group. */
    public void receive(PartMessage m, long now) {
        if (replica.role == Role.DISK_FAILED) return;
        try {
            step(m, now);
        } catch (DiskException e) {
            fail(e, now);
        }
    }

    private void step(PartMessage m, long now) {
        if (m.kind == PartMessage.PRE_VOTE) {
            election.preVoteAsked(m, now);
            return;
        }
        if (m.kind == PartMessage.VOTE && !m.granted && election.refusesOthers(now)) return;
        if (m.term > replica.log.currentTerm() && m.kind != PartMessage.PRE_VOTE_REPLY) {
            replica.log.saveTermAndVote(m.term, 0);
            stepDown(now);
        }
        switch (m.kind) {
            case PartMessage.PRE_VOTE_REPLY -> election.preVoteReply(m, now);
            case PartMessage.VOTE -> election.onVote(m, now);
            case PartMessage.VOTE_REPLY -> election.onVoteReply(m, now);
            case PartMessage.APPEND -> follower.onAppend(m, now);
            case PartMessage.APPEND_REPLY -> replication.onAppendReply(m, now);
            case PartMessage.SNAPSHOT -> follower.snapshotSent(m, now);
            case PartMessage.SNAPSHOT_PIECE -> follower.snapshotPieceSent(m, now);
            case PartMessage.SNAPSHOT_PIECE_REPLY -> replication.snapshotPieceReply(m, now);
            case PartMessage.TIMEOUT_NOW -> {
                if (m.term == replica.log.currentTerm() && members().isVoter(replica.self)) election.startElection(now, true);
            }
            default -> replica.out.logEvent(Event.BAD_MESSAGE, "part message of kind " + m.kind);
        }
    }

    private void committed() {
        if (isReadyLeader() && !leadershipReported) {
            leadershipReported = true;
            replica.out.onLeadershipChanged(true, replica.log.currentTerm());
        }
        var settled = replica.role == Role.LEADER && replica.commit >= replica.membership.index();
        if (settled && !members().isVoter(replica.self)) stepDown(replica.heardLeaderAt);
    }

    /** Syncs what was written, then sends what waits for it. */
    public void syncAndSend(long now) {
        if (replica.role == Role.DISK_FAILED) return;
        try {
            flush(now);
        } catch (DiskException e) {
            fail(e, now);
        }
    }

    private void flush(long now) {
        if (replica.role == Role.LEADER) replication.feedBehind(now);
        replica.log.sync();
        if (replica.role == Role.LEADER) replication.advance();
        handOver.finish();
        replica.sendPending();
        if (replica.compact()) note(Event.SNAPSHOT_TAKEN, "index " + replica.applied);
    }

    private void fail(DiskException e, long now) {
        replica.dropPending();
        replica.out.logEvent(Event.DISK_WRITE_FAILED, "part " + replica.part + ": " + e.getMessage());
        replica.leader = 0;
        become(Role.DISK_FAILED, now);
    }
}
