package craneway.state.part;

import craneway.model.unit.TimingProfile;
import craneway.state.disk.SegmentLog;
import craneway.state.message.Codec;
import craneway.state.message.Commands;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * What the duties of one group share: the log, the members in force, what is committed and applied, the role, and the messages
 * that wait for the next sync.
 */
final class Replica {
    /** Takes up a role, also the one it has. */
    interface RoleChange {
        void changeRole(Role to, long now);
    }

    /**
     * What the duties ask of the group as a whole.
     *
     * @param roles takes up a role
     * @param afterCommit is run when the commit index was looked at; it may have risen
     */
    record Transitions(RoleChange roleChange, Runnable commitObserver) {
        void changeRole(Role to, long now) {
            roleChange.changeRole(to, now);
        }

        void notifyCommitChecked() {
            commitObserver.run();
        }
    }

    /** So many applied entries at most lie behind a snapshot. */
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
            long self,
            Supplier<SegmentLog> opening,
            Members first,
            StateMachine machine,
            GroupListener out,
            TimingProfile timing,
            Transitions transitions) {
        this.part = part;
        this.selfId = self;
        this.logOpener = opening;
        this.stateMachine = machine;
        this.listener = out;
        this.timing = timing;
        this.transitions = transitions;
        membershipLog = new MembershipLog(first);
    }

    /** Reads the log and its snapshot from disk; nothing behind the snapshot counts as committed. */
    void open(long now) {
        log = logOpener.get();
        pendingMessages.clear();
        leaderId = 0;
        lastLeaderContactAt = now;
        stateMachine.load(log.snapshot() == null ? null : log.snapshot().body);
        commitIndex = log.first() - 1;
        appliedIndex = commitIndex;
        membershipLog.reload(log);
    }

    Members members() {
        return membershipLog.members();
    }

    PartMessage newMessage(int kind, long to) {
        return newMessage(kind, to, log.term());
    }

    PartMessage newMessage(int kind, long to, long term) {
        var m = new PartMessage();
        m.part = part;
        m.kind = kind;
        m.from = selfId;
        m.to = to;
        m.term = term;
        return m;
    }

    /** Sends a message once the log is synced. */
    void sendAfterSync(PartMessage m) {
        pendingMessages.add(m);
    }

    void sendPendingMessages() {
        var all = List.copyOf(pendingMessages);
        pendingMessages.clear();
        all.forEach(listener::send);
    }

    void dropPendingMessages() {
        pendingMessages.clear();
    }

    /** Appends an entry of the current term. */
    long append(int type, byte[] body) {
        var e = new Entry(log.last() + 1, log.term(), type, body);
        append(e);
        return e.index;
    }

    void append(Entry e) {
        log.append(e);
        membershipLog.onAppend(e);
    }

    /** Cuts entries that another leader's take the place of. */
    void truncateFrom(long index) {
        log.cutFrom(index);
        membershipLog.reload(log);
    }

    void commitTo(long to) {
        commitIndex = Math.max(commitIndex, Math.min(to, log.last()));
        while (appliedIndex < commitIndex) {
            var e = log.at(appliedIndex + 1);
            appliedIndex++;
            var result = e.type == Entry.COMMAND ? stateMachine.apply(e.index, e.body) : null;
            listener.applied(e.index, e.term, result);
        }
        transitions.notifyCommitChecked();
    }

    /** Goes on from this log alone with other members, as a new generation of the core; the last entry before that. */
    long rebuild(Members alone) {
        log.saveTermAndVote(log.term() + 1, selfId);
        append(Entry.MEMBERSHIP, Codec.write(alone));
        append(Entry.COMMAND, Codec.writeTagged(new Commands.Rebuilt()));
        log.sync();
        return log.last() - 2;
    }

    /** Writes a snapshot of what is applied and cuts the log behind it, once the log is long; whether it did. */
    boolean compactIfDue() {
        var entries = appliedIndex - log.first() + 1;
        var due = log.needsSnapshot() && entries > 1 || entries >= MAX_APPLIED_ENTRIES_IN_LOG;
        if (due) takeSnapshot();
        return due;
    }

    private void takeSnapshot() {
        var i = new Snapshot();
        i.index = appliedIndex;
        i.term = log.termAt(appliedIndex);
        i.members = membershipLog.membersAt(log, appliedIndex);
        i.body = stateMachine.snapshot();
        log.install(i);
    }

    /** Goes on from a snapshot of the leader's. */
    void installSnapshot(Snapshot snapshot) {
        log.install(snapshot);
        stateMachine.load(snapshot.body);
        appliedIndex = snapshot.index;
        commitIndex = appliedIndex;
        membershipLog.reload(log);
    }
}
