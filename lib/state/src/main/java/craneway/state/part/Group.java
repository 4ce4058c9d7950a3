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
    private static final byte[] EMPTY_BODY = {};

    private final Replica replica;
    private final Replication replication;
    private final Election election;
    private final Follower follower;
    private final LeadershipTransfer leadershipTransfer;
    private long termStartIndex;
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
                new Replica.Transitions(this::changeRole, this::onCommitChecked));
        replication = new Replication(replica);
        election = new Election(replica, random, replication::lastMajorityContact);
        follower = new Follower(replica, election);
        leadershipTransfer = new LeadershipTransfer(replica, replication);
        replica.open(now);
        changeRole(Role.FOLLOWER, now);
        replica.lastLeaderContactAt = Long.MIN_VALUE / 2;
        election.onStart(now);
        if (first.isVoter(self) && first.generation > replica.membershipLog.coreGeneration(replica.log)) rebuild(first, now);
    }

    private void rebuild(Members first, long now) {
        try {
            var from = replica.rebuild(first);
            logEvent(Event.PART_REBUILT, "from entry " + from);
        } catch (DiskException e) {
            handleDiskFailure(e, now);
        }
    }

    private void logEvent(Event e, String detail) {
        replica.listener.note(e, "part " + replica.part + " " + detail);
    }

    /** Whether this store, as leader or follower, knows of a leader in contact within that time. */
    public boolean leaderHeard(long now, long within) {
        var leader = replica.leaderId;
        return replica.role == Role.LEADER && now < replication.lastMajorityContact() + within
                || leader != 0 && leader != replica.selfId && now < replica.lastLeaderContactAt + within;
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
    public long leader() {
        return replica.leaderId;
    }

    /** The current term. */
    public long term() {
        return replica.log.term();
    }

    /** The members in force. */
    public Members members() {
        return replica.members();
    }

    /** The last index applied to the machine. */
    public long applied() {
        return replica.appliedIndex;
    }

    /** The last index of the log. */
    public long lastIndex() {
        return replica.log.last();
    }

    /** Whether this store leads and has applied all that earlier terms committed. */
    public boolean ready() {
        return replica.role == Role.LEADER && replica.appliedIndex >= termStartIndex;
    }

    /** Whether this store may answer as the leader: it is ready and within its lease. */
    public boolean hasLease(long now) {
        return ready() && !leadershipTransfer.isInProgress() && now < replication.lastMajorityContact() + replica.timing.leaderLease();
    }

    /** Up to where a store's log is known to match this leader's. */
    public long matchOf(long id) {
        return id == replica.selfId ? replica.log.last() : replication.matchIndexOf(id);
    }

    /** Whether this leader's rounds of catching up with a peer have become short: what a learner needs to be made a voter. */
    public boolean caughtUp(long id, long now) {
        return replica.role == Role.LEADER && replication.isCaughtUp(id, now);
    }

    /** When this leader last heard a store; 0 for never. */
    public long heardFrom(long id) {
        return replication.lastHeardAt(id);
    }

    private void changeRole(Role to, long now) {
        var from = replica.role;
        replica.role = to;
        leadershipTransfer.clear();
        election.onRoleChange(to, now);
        if (from == Role.LEADER) replication.endTerm();
        if (from == Role.LEADER && leadershipReported) {
            leadershipReported = false;
            replica.listener.leadershipChanged(false, replica.log.term());
        }
        if (to == Role.LEADER) startLeading(now);
    }

    private void startLeading(long now) {
        replica.leaderId = replica.selfId;
        replication.startTerm(now);
        termStartIndex = replica.log.last() + 1;
        replica.append(Entry.NO_OP, EMPTY_BODY);
        replication.replicateToAll(now);
    }

    private void stepDown(long now) {
        replica.leaderId = 0;
        changeRole(Role.FOLLOWER, now);
    }

    /** Does what time asks for: beats, elections, another try to open a failed disk. */
    public void tick(long now) {
        if (replica.role == Role.DISK_FAILED) {
            if (election.isDue(now)) reopen(now);
            return;
        }
        follower.tick(now);
        try {
            if (replica.role == Role.LEADER) tickAsLeader(now);
            else if (election.isDue(now) && members().isVoter(replica.selfId)) election.startPreVote(now);
        } catch (DiskException e) {
            handleDiskFailure(e, now);
        }
    }

    private void reopen(long now) {
        try {
            replica.open(now);
            changeRole(Role.FOLLOWER, now);
        } catch (DiskException e) {
            handleDiskFailure(e, now);
        }
    }

    private void tickAsLeader(long now) {
        var contactLost = now > replication.lastMajorityContact() + replica.timing.electionTimeout();
        if (contactLost || leadershipTransfer.checkTimeout(now)) stepDown(now);
        else replication.sendHeartbeats(now);
    }

    /** Appends a command as the leader; its index, or -1 where this store may not. */
    public long propose(byte[] command, long now) {
        if (!ready() || leadershipTransfer.isInProgress()) return -1;
        try {
            return replica.append(Entry.COMMAND, command);
        } catch (DiskException e) {
            handleDiskFailure(e, now);
            return -1;
        }
    }

    /**
     * Appends a change of the members as the leader, once the change before it is committed; whether it did. A leader stays in: it
     * hands over first, since voters of a group without it would choose another while it still holds its lease.
     */
    public boolean changeMembers(Members next, long now) {
        if (!next.isVoter(replica.selfId)) return false;
        if (!ready() || replica.commitIndex < replica.membershipLog.index()) return false;
        try {
            replica.append(Entry.MEMBERSHIP, Codec.write(next));
            logEvent(Event.MEMBERS_CHANGED, "voters " + Arrays.toString(next.zones) + " learner " + next.learnerZone);
            return true;
        } catch (DiskException e) {
            handleDiskFailure(e, now);
            return false;
        }
    }

    /** Stops proposals and hands leadership over once that voter is level; whether that began. */
    public boolean transferLeadership(long to, long now) {
        if (!ready() || leadershipTransfer.isInProgress() || !members().isVoter(to) || to == replica.selfId) return false;
        leadershipTransfer.start(to, now);
        return true;
    }

    /** Takes a message of another store of the group. */
    public void receive(PartMessage m, long now) {
        if (replica.role == Role.DISK_FAILED) return;
        try {
            handleMessage(m, now);
        } catch (DiskException e) {
            handleDiskFailure(e, now);
        }
    }

    private void handleMessage(PartMessage m, long now) {
        if (m.kind == PartMessage.PRE_VOTE) {
            election.onPreVote(m, now);
            return;
        }
        if (m.kind == PartMessage.VOTE && !m.granted && election.ignoresVoteRequests(now)) return;
        if (m.term > replica.log.term() && m.kind != PartMessage.PRE_VOTE_REPLY) {
            replica.log.saveTermAndVote(m.term, 0);
            stepDown(now);
        }
        switch (m.kind) {
            case PartMessage.PRE_VOTE_REPLY -> election.onPreVoteReply(m, now);
            case PartMessage.VOTE -> election.onVote(m, now);
            case PartMessage.VOTE_REPLY -> election.onVoteReply(m, now);
            case PartMessage.APPEND -> follower.onAppend(m, now);
            case PartMessage.APPEND_REPLY -> replication.onAppendReply(m, now);
            case PartMessage.SNAPSHOT -> follower.onSnapshot(m, now);
            case PartMessage.SNAPSHOT_PIECE -> follower.onSnapshotPiece(m, now);
            case PartMessage.SNAPSHOT_PIECE_REPLY -> replication.onSnapshotPieceReply(m, now);
            case PartMessage.TIMEOUT_NOW -> {
                if (m.term == replica.log.term() && members().isVoter(replica.selfId)) election.startElection(now, true);
            }
            default -> replica.listener.note(Event.BAD_MESSAGE, "part message of kind " + m.kind);
        }
    }

    private void onCommitChecked() {
        if (ready() && !leadershipReported) {
            leadershipReported = true;
            replica.listener.leadershipChanged(true, replica.log.term());
        }
        var settled = replica.role == Role.LEADER && replica.commitIndex >= replica.membershipLog.index();
        if (settled && !members().isVoter(replica.selfId)) stepDown(replica.lastLeaderContactAt);
    }

    /** Syncs what was written, then sends what waits for it. */
    public void syncAndSend(long now) {
        if (replica.role == Role.DISK_FAILED) return;
        try {
            syncAndSendPending(now);
        } catch (DiskException e) {
            handleDiskFailure(e, now);
        }
    }

    private void syncAndSendPending(long now) {
        if (replica.role == Role.LEADER) replication.replicateToLagging(now);
        replica.log.sync();
        if (replica.role == Role.LEADER) replication.advanceCommitIndex();
        leadershipTransfer.notifyCaughtUpSuccessor();
        replica.sendPendingMessages();
        if (replica.compactIfDue()) logEvent(Event.SNAPSHOT_TAKEN, "index " + replica.appliedIndex);
    }

    private void handleDiskFailure(DiskException e, long now) {
        replica.dropPendingMessages();
        replica.listener.note(Event.DISK_FAILED, "part " + replica.part + ": " + e.getMessage());
        replica.leaderId = 0;
        changeRole(Role.DISK_FAILED, now);
    }
}
