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
        index = log.first() - 1;
        for (var entryIndex = log.last(); entryIndex >= log.first(); entryIndex--) {
            if (log.at(entryIndex).type != Entry.MEMBERSHIP) continue;
            members = Codec.read(Members.class, log.at(entryIndex).body);
            index = entryIndex;
            return;
        }
    }

    /** Updates the membership from an entry that was just appended. */
    void onAppend(Entry entry) {
        if (entry.type != Entry.MEMBERSHIP) return;
        members = Codec.read(Members.class, entry.body);
        index = entry.index;
    }

    /** Returns the membership in force at a log entry. */
    Members membersAt(SegmentLog log, long entryIndex) {
        for (var i = entryIndex; i >= log.first(); i--)
            if (log.at(i).type == Entry.MEMBERSHIP) return Codec.read(Members.class, log.at(i).body);
        return log.snapshot() == null ? initialMembers : log.snapshot().members;
    }

    /** Returns the generation of the core that the log knows, or 0 for an empty log. */
    int coreGeneration(SegmentLog log) {
        return index < log.first() && log.snapshot() == null ? 0 : members.generation;
    }
}
