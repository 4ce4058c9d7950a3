package craneway.state.part;

import craneway.model.unit.TimingProfile;
import craneway.state.disk.SegmentLog;
import craneway.state.message.Codec;
import craneway.state.message.Commands;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * The state that the components of one group share: the log, the membership, the commit and applied indexes, the role,
 * and the messages waiting for the next sync.
 */
final class Replica {
    /** Changes the role of the group. */
    interface RoleChange {
        /** Enters a role, which may be the current one. */
        void changeRole(Role newRole, long now);
    }

    /**
     * Callbacks by which the components affect the group as a whole.
     *
     * @param roleChange enters a role
     * @param commitObserver is run each time the commit index was checked, whether or not it rose
     */
    record Transitions(RoleChange roleChange, Runnable commitObserver) {
        void changeRole(Role newRole, long now) {
            roleChange.changeRole(newRole, now);
        }

        void notifyCommitChecked() {
            commitObserver.run();
        }
    }

    /** A snapshot is taken once the log holds this many applied entries. */
    private static final int MAX_APPLIED_ENTRIES_IN_LOG = 4_096;

    final int part;
    final long selfId;
    final StateMachine stateMachine;
    final GroupListener listener;
    final TimingProfile timing;
    final Transitions transitions;
    final MembershipLog membershipLog;
    private final Supplier<SegmentLog> logOpener;
    private final List<PartMessage> pendingMessages = new ArrayList<>();
    SegmentLog log;
    Role role = Role.FOLLOWER;
    long leaderId;
    long lastLeaderContactAt;
    long commitIndex;
    long appliedIndex;

    Replica(
            int part,
            long selfId,
            Supplier<SegmentLog> logOpener,
            Members initialMembers,
            StateMachine stateMachine,
            GroupListener listener,
            TimingProfile timing,
            Transitions transitions) {
        this.part = part;
        this.selfId = selfId;
        this.logOpener = logOpener;
        this.stateMachine = stateMachine;
        this.listener = listener;
        this.timing = timing;
        this.transitions = transitions;
        membershipLog = new MembershipLog(initialMembers);
    }

    /** Reads the log and its snapshot from disk. No entry after the snapshot counts as committed yet. */
    void open(long now) {
        log = logOpener.get();
        pendingMessages.clear();
        leaderId = 0;
        lastLeaderContactAt = now;
        stateMachine.restoreSnapshot(log.snapshot() == null ? null : log.snapshot().body);
        commitIndex = log.firstIndex() - 1;
        appliedIndex = commitIndex;
        membershipLog.reload(log);
    }

    Members members() {
        return membershipLog.members();
    }

    PartMessage newMessage(int kind, long to) {
        return newMessage(kind, to, log.currentTerm());
    }

    PartMessage newMessage(int kind, long to, long term) {
        var message = new PartMessage();
        message.part = part;
        message.kind = kind;
        message.from = selfId;
        message.to = to;
        message.term = term;
        return message;
    }

    /** Queues a message that is sent after the next sync of the log. */
    void sendAfterSync(PartMessage message) {
        pendingMessages.add(message);
    }

    void sendPendingMessages() {
        var messages = List.copyOf(pendingMessages);
        pendingMessages.clear();
        messages.forEach(listener::send);
    }

    void dropPendingMessages() {
        pendingMessages.clear();
    }

    /** Appends an entry of the current term and returns its index. */
    long append(int type, byte[] body) {
        var entry = new LogEntry(log.lastIndex() + 1, log.currentTerm(), type, body);
        append(entry);
        return entry.index;
    }

    void append(LogEntry entry) {
        log.append(entry);
        membershipLog.onAppend(entry);
    }

    /** Removes the entries from an index on, which conflict with the leader's log. */
    void truncateFrom(long index) {
        log.truncateFrom(index);
        membershipLog.reload(log);
    }

    /** Raises the commit index, at most to the end of the log, and applies the newly committed entries. */
    void commitTo(long index) {
        commitIndex = Math.max(commitIndex, Math.min(index, log.lastIndex()));
        while (appliedIndex < commitIndex) {
            var entry = log.entryAt(appliedIndex + 1);
            appliedIndex++;
            var result = entry.type == LogEntry.COMMAND ? stateMachine.apply(entry.index, entry.body) : null;
            listener.onApplied(entry.index, entry.term, result);
        }
        transitions.notifyCommitChecked();
    }

    /**
     * Continues from this log alone with new members, as a new generation of the core. Returns the last index before
     * the rebuild.
     */
    long rebuild(Members newMembers) {
        log.saveTermAndVote(log.currentTerm() + 1, selfId);
        append(LogEntry.MEMBERSHIP, Codec.encode(newMembers));
        append(LogEntry.COMMAND, Codec.encodeTagged(new Commands.Rebuilt()));
        log.sync();
        return log.lastIndex() - 2;
    }

    /**
     * Takes a snapshot of the applied state and truncates the log behind it once the log is long. Returns whether it
     * did.
     */
    boolean compactIfDue() {
        var appliedEntries = appliedIndex - log.firstIndex() + 1;
        var isDue = log.isSnapshotDue() && appliedEntries > 1 || appliedEntries >= MAX_APPLIED_ENTRIES_IN_LOG;
        if (isDue) takeSnapshot();
        return isDue;
    }

    private void takeSnapshot() {
        var snapshot = new Snapshot();
        snapshot.index = appliedIndex;
        snapshot.term = log.termAt(appliedIndex);
        snapshot.members = membershipLog.membersAt(log, appliedIndex);
        snapshot.body = stateMachine.encodeSnapshot();
        log.installSnapshot(snapshot);
    }

    /** Replaces the state with a snapshot received from the leader. */
    void installSnapshot(Snapshot snapshot) {
        log.installSnapshot(snapshot);
        stateMachine.restoreSnapshot(snapshot.body);
        appliedIndex = snapshot.index;
        commitIndex = appliedIndex;
        membershipLog.reload(log);
    }
}
