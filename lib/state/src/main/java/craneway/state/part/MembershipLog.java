package craneway.state.part;

import craneway.state.disk.SegmentLog;
import craneway.state.message.Codec;

/**
 * The membership in force: that of the last membership entry in the log, whether committed or not, else that of the
 * snapshot, else the initial one.
 */
final class MembershipLog {
    private final Members initialMembers;
    private Members members;
    private long index;

    MembershipLog(Members initialMembers) {
        this.initialMembers = initialMembers;
        members = initialMembers;
    }

    /** Returns the membership in force. */
    Members members() {
        return members;
    }

    /**
     * Returns the index of the entry that defines the membership, or the last index before the log if no entry does.
     */
    long index() {
        return index;
    }

    /** Determines the membership again after the log was opened, truncated or replaced. */
    void reload(SegmentLog log) {
        members = log.snapshot() == null ? initialMembers : log.snapshot().members;
        index = log.firstIndex() - 1;
        for (var entryIndex = log.lastIndex(); entryIndex >= log.firstIndex(); entryIndex--) {
            if (log.entryAt(entryIndex).type != LogEntry.MEMBERSHIP) continue;
            members = Codec.decode(Members.class, log.entryAt(entryIndex).body);
            index = entryIndex;
            return;
        }
    }

    /** Updates the membership from an entry that was just appended. */
    void onAppend(LogEntry entry) {
        if (entry.type != LogEntry.MEMBERSHIP) return;
        members = Codec.decode(Members.class, entry.body);
        index = entry.index;
    }

    /** Returns the membership in force at a log entry. */
    Members membersAt(SegmentLog log, long entryIndex) {
        for (var i = entryIndex; i >= log.firstIndex(); i--)
            if (log.entryAt(i).type == LogEntry.MEMBERSHIP) return Codec.decode(Members.class, log.entryAt(i).body);
        return log.snapshot() == null ? initialMembers : log.snapshot().members;
    }

    /** Returns the generation of the core that the log knows, or 0 for an empty log. */
    int coreGeneration(SegmentLog log) {
        return index < log.firstIndex() && log.snapshot() == null ? 0 : members.coreGeneration;
    }
}
