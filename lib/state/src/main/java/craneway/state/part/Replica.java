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
        void become(Role to, long now);
    }

    /**
     * What the duties ask of the group as a whole.
     *
     * @param roles takes up a role
     * @param afterCommit is run when the commit index was looked at; it may have risen
     */
    record Transitions(RoleChange roles, Runnable afterCommit) {
        void become(Role to, long now) {
            roles.become(to, now);
        }

        void committed() {
            afterCommit.run();
        }
    }

    /** So many applied entries at most lie behind a snapshot. */
    private static final int ENTRIES = 4_096;

    final int part;
    final long self;
    final StateMachine machine;
    final GroupListener out;
    final TimingProfile timing;
    final Transitions transitions;
    final MembershipLog membership;
    private final Supplier<SegmentLog> opening;
    private final List<PartMessage> pending = new ArrayList<>();
    SegmentLog log;
    Role role = Role.FOLLOWER;
    long leader;
    long heardLeaderAt;
    long commit;
    long applied;

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
        this.self = self;
        this.opening = opening;
        this.machine = machine;
        this.out = out;
        this.timing = timing;
        this.transitions = transitions;
        membership = new MembershipLog(first);
    }

    /** Reads the log and its snapshot from disk; nothing behind the snapshot counts as committed. */
    void open(long now) {
        log = opening.get();
        pending.clear();
        leader = 0;
        heardLeaderAt = now;
        machine.restoreSnapshot(log.snapshot() == null ? null : log.snapshot().body);
        commit = log.firstIndex() - 1;
        applied = commit;
        membership.find(log);
    }

    Members members() {
        return membership.members();
    }

    PartMessage message(int kind, long to) {
        return message(kind, to, log.currentTerm());
    }

    PartMessage message(int kind, long to, long term) {
        var m = new PartMessage();
        m.part = part;
        m.kind = kind;
        m.from = self;
        m.to = to;
        m.term = term;
        return m;
    }

    /** Sends a message once the log is synced. */
    void send(PartMessage m) {
        pending.add(m);
    }

    void sendPending() {
        var all = List.copyOf(pending);
        pending.clear();
        all.forEach(out::send);
    }

    void dropPending() {
        pending.clear();
    }

    /** Appends an entry of the current term. */
    long append(int type, byte[] body) {
        var e = new LogEntry(log.lastIndex() + 1, log.currentTerm(), type, body);
        append(e);
        return e.index;
    }

    void append(LogEntry e) {
        log.append(e);
        membership.appended(e);
    }

    /** Cuts entries that another leader's take the place of. */
    void cutFrom(long index) {
        log.truncateFrom(index);
        membership.find(log);
    }

    void commitTo(long to) {
        commit = Math.max(commit, Math.min(to, log.lastIndex()));
        while (applied < commit) {
            var e = log.entryAt(applied + 1);
            applied++;
            var result = e.type == LogEntry.COMMAND ? machine.apply(e.index, e.body) : null;
            out.onApplied(e.index, e.term, result);
        }
        transitions.committed();
    }

    /** Goes on from this log alone with other members, as a new generation of the core; the last entry before that. */
    long rebuild(Members alone) {
        log.saveTermAndVote(log.currentTerm() + 1, self);
        append(LogEntry.MEMBERSHIP, Codec.encode(alone));
        append(LogEntry.COMMAND, Codec.encodeTagged(new Commands.Rebuilt()));
        log.sync();
        return log.lastIndex() - 2;
    }

    /** Writes a snapshot of what is applied and cuts the log behind it, once the log is long; whether it did. */
    boolean compact() {
        var entries = applied - log.firstIndex() + 1;
        var due = log.isSnapshotDue() && entries > 1 || entries >= ENTRIES;
        if (due) takeSnapshot();
        return due;
    }

    private void takeSnapshot() {
        var i = new Snapshot();
        i.index = applied;
        i.term = log.termAt(applied);
        i.members = membership.at(log, applied);
        i.body = machine.encodeSnapshot();
        log.installSnapshot(i);
    }

    /** Goes on from a snapshot of the leader's. */
    void install(Snapshot snapshot) {
        log.installSnapshot(snapshot);
        machine.restoreSnapshot(snapshot.body);
        applied = snapshot.index;
        commit = applied;
        membership.find(log);
    }
}
