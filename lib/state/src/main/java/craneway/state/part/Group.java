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
 * One store's replica of a part's replicated log, after Raft. It keeps the current role and routes each message to the
 * component that handles it: {@link Election}, {@link Replication} or {@link Follower}.
 *
 * <p>It reads no clock and starts no thread: the caller passes the time, in microseconds of a steady clock, to {@link
 * #tick}, {@link #receive} and the other methods, and calls {@link #syncAndSend} after each of them, which syncs the
 * log and only then sends messages. It is not thread-safe; the caller holds a lock for the part.
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

    /**
     * Opens the part's log in the folder. If the initial members name this store as a voter and belong to a newer
     * generation of the core than the log does, the core was rebuilt, and the group continues from this store's log
     * alone.
     */
    public Group(
            int part,
            long selfId,
            long coreId,
            Folder folder,
            Members initialMembers,
            StateMachine stateMachine,
            Random random,
            GroupListener listener,
            TimingProfile timing,
            long now) {
        replica = new Replica(
                part,
                selfId,
                () -> new SegmentLog(folder, "p" + part + ".", Long.hashCode(coreId)),
                initialMembers,
                stateMachine,
                listener,
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
        if (initialMembers.isVoter(selfId)
                && initialMembers.coreGeneration > replica.membershipLog.coreGeneration(replica.log))
            rebuild(initialMembers, now);
    }

    private void rebuild(Members initialMembers, long now) {
        try {
            var lastIndexBefore = replica.rebuild(initialMembers);
            logEvent(Event.PART_RECOVERED, "continuing after entry " + lastIndexBefore);
        } catch (DiskException e) {
            handleDiskFailure(e, now);
        }
    }

    private void logEvent(Event event, String detail) {
        replica.listener.logEvent(event, "part " + replica.part + " " + detail);
    }

    /**
     * Returns whether this store has been in contact with a leader within the window, in microseconds: as a follower by
     * hearing it, as the leader itself by replies of a majority.
     */
    public boolean hasLeaderContact(long now, long window) {
        var leaderId = replica.leaderId;
        return replica.role == Role.LEADER && now < replication.lastMajorityContact() + window
                || leaderId != 0 && leaderId != replica.selfId && now < replica.lastLeaderContactAt + window;
    }

    /** Returns the number of the part. */
    public int part() {
        return replica.part;
    }

    /** Returns this store's current role. */
    public Role role() {
        return replica.role;
    }

    /** Returns the id of the store known to be leader, or 0 if none is known. */
    public long leaderId() {
        return replica.leaderId;
    }

    /** Returns the current term. */
    public long term() {
        return replica.log.currentTerm();
    }

    /** Returns the membership in force. */
    public Members members() {
        return replica.members();
    }

    /** Returns the index of the last entry applied to the state machine. */
    public long appliedIndex() {
        return replica.appliedIndex;
    }

    /** Returns the index of the last log entry. */
    public long lastIndex() {
        return replica.log.lastIndex();
    }

    /** Returns whether this store is the leader and has applied everything that earlier terms committed. */
    public boolean isReadyLeader() {
        return replica.role == Role.LEADER && replica.appliedIndex >= termStartIndex;
    }

    /**
     * Returns whether this store may answer as the leader: it is ready, holds its lease and is not handing over
     * leadership.
     */
    public boolean hasLease(long now) {
        return isReadyLeader()
                && !leadershipTransfer.isInProgress()
                && now < replication.lastMajorityContact() + replica.timing.leaderLeaseDuration();
    }

    /** Returns the index up to which a store's log is known to match this leader's log. */
    public long matchIndexOf(long storeId) {
        return storeId == replica.selfId ? replica.log.lastIndex() : replication.matchIndexOf(storeId);
    }

    /**
     * Returns whether this leader considers the store caught up: its recent catch-up rounds were short. A learner must
     * be caught up before it is promoted to voter.
     */
    public boolean isCaughtUp(long storeId, long now) {
        return replica.role == Role.LEADER && replication.isCaughtUp(storeId, now);
    }

    /** Returns when this leader last received a reply from the store, or 0 if it does not track that store. */
    public long lastHeardAt(long storeId) {
        return replication.lastHeardAt(storeId);
    }

    private void changeRole(Role newRole, long now) {
        var oldRole = replica.role;
        replica.role = newRole;
        leadershipTransfer.clear();
        election.onRoleChange(newRole, now);
        if (oldRole == Role.LEADER) replication.endTerm();
        if (oldRole == Role.LEADER && leadershipReported) {
            leadershipReported = false;
            replica.listener.onLeadershipChanged(false, replica.log.currentTerm());
        }
        if (newRole == Role.LEADER) startLeading(now);
    }

    private void startLeading(long now) {
        replica.leaderId = replica.selfId;
        replication.startTerm(now);
        termStartIndex = replica.log.lastIndex() + 1;
        replica.append(LogEntry.NO_OP, EMPTY_BODY);
        replication.replicateToAll(now);
    }

    private void stepDown(long now) {
        replica.leaderId = 0;
        changeRole(Role.FOLLOWER, now);
    }

    /**
     * Performs the time-driven work: heartbeats, elections, expiry of snapshot transfers and retries of opening a
     * failed disk.
     */
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

    /**
     * Appends a command if this store is a ready leader. Returns the entry's index, or -1 if the command was not
     * appended.
     */
    public long propose(byte[] command, long now) {
        if (!isReadyLeader() || leadershipTransfer.isInProgress()) return -1;
        try {
            return replica.append(LogEntry.COMMAND, command);
        } catch (DiskException e) {
            handleDiskFailure(e, now);
            return -1;
        }
    }

    /**
     * Appends a membership change if this store is a ready leader and the previous change is committed. Returns whether
     * it was appended.
     *
     * <p>A leader may not remove itself; it has to transfer leadership first, because the voters of a group without it
     * could elect another leader while it still holds its lease.
     */
    public boolean changeMembers(Members newMembers, long now) {
        if (!newMembers.isVoter(replica.selfId)) return false;
        if (!isReadyLeader() || replica.commitIndex < replica.membershipLog.index()) return false;
        try {
            replica.append(LogEntry.MEMBERSHIP, Codec.encode(newMembers));
            logEvent(
                    Event.MEMBERS_CHANGED,
                    "voters " + Arrays.toString(newMembers.zones) + " learner " + newMembers.learnerZone);
            return true;
        } catch (DiskException e) {
            handleDiskFailure(e, now);
            return false;
        }
    }

    /**
     * Stops accepting proposals and hands leadership over as soon as the voter has caught up. Returns whether the
     * transfer was started.
     */
    public boolean transferLeadership(long successorId, long now) {
        if (!isReadyLeader()
                || leadershipTransfer.isInProgress()
                || !members().isVoter(successorId)
                || successorId == replica.selfId) return false;
        leadershipTransfer.start(successorId, now);
        return true;
    }

    /** Handles a message from another store of the group. Messages are ignored while the disk is failed. */
    public void receive(PartMessage message, long now) {
        if (replica.role == Role.DISK_FAILED) return;
        try {
            handleMessage(message, now);
        } catch (DiskException e) {
            handleDiskFailure(e, now);
        }
    }

    private void handleMessage(PartMessage message, long now) {
        if (message.kind == PartMessage.PRE_VOTE) {
            election.onPreVote(message, now);
            return;
        }
        if (message.kind == PartMessage.VOTE && !message.granted && election.ignoresVoteRequests(now)) return;
        if (message.term > replica.log.currentTerm() && message.kind != PartMessage.PRE_VOTE_REPLY) {
            replica.log.saveTermAndVote(message.term, 0);
            stepDown(now);
        }
        switch (message.kind) {
            case PartMessage.PRE_VOTE_REPLY -> election.onPreVoteReply(message, now);
            case PartMessage.VOTE -> election.onVote(message, now);
            case PartMessage.VOTE_REPLY -> election.onVoteReply(message, now);
            case PartMessage.APPEND -> follower.onAppend(message, now);
            case PartMessage.APPEND_REPLY -> replication.onAppendReply(message, now);
            case PartMessage.SNAPSHOT -> follower.onSnapshot(message, now);
            case PartMessage.SNAPSHOT_PIECE -> follower.onSnapshotPiece(message, now);
            case PartMessage.SNAPSHOT_PIECE_REPLY -> replication.onSnapshotPieceReply(message, now);
            case PartMessage.TIMEOUT_NOW -> {
                if (message.term == replica.log.currentTerm() && members().isVoter(replica.selfId))
                    election.startElection(now, true);
            }
            default -> replica.listener.logEvent(Event.BAD_MESSAGE, "unknown part message kind " + message.kind);
        }
    }

    private void onCommitChecked() {
        if (isReadyLeader() && !leadershipReported) {
            leadershipReported = true;
            replica.listener.onLeadershipChanged(true, replica.log.currentTerm());
        }
        var membershipCommitted = replica.role == Role.LEADER && replica.commitIndex >= replica.membershipLog.index();
        if (membershipCommitted && !members().isVoter(replica.selfId)) stepDown(replica.lastLeaderContactAt);
    }

    /** Syncs the log, then sends the messages that were waiting for the sync. */
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

    private void handleDiskFailure(DiskException failure, long now) {
        replica.dropPendingMessages();
        replica.listener.logEvent(Event.DISK_WRITE_FAILED, "part " + replica.part + ": " + failure.getMessage());
        replica.leaderId = 0;
        changeRole(Role.DISK_FAILED, now);
    }
}
