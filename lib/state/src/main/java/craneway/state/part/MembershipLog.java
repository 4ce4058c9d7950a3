package craneway.state.part;

import craneway.state.disk.SegmentLog;
import craneway.state.message.Codec;

/** The members in force: those of the last entry that names members, committed or not, else of the snapshot, else the first. */
final class MembershipLog {
    private final Members initialMembers;
    private Members members;
    private long index;

    MembershipLog(Members first) {
        this.initialMembers = first;
        members = first;
    }

    Members members() {
        return members;
    }

    /** The index of the entry that names them; the last index before the log where none does. */
    long index() {
        return index;
    }

    /** Finds them anew, after the log was opened, cut or replaced. */
    void reload(SegmentLog log) {
        members = log.snapshot() == null ? initialMembers : log.snapshot().members;
        index = log.first() - 1;
        for (var i = log.last(); i >= log.first(); i--) {
            if (log.at(i).type != Entry.MEMBERSHIP) continue;
            members = Codec.read(Members.class, log.at(i).body);
            index = i;
            return;
        }
    }

    /** Takes note of an entry that was just appended. */
    void onAppend(Entry e) {
        if (e.type != Entry.MEMBERSHIP) return;
        members = Codec.read(Members.class, e.body);
        index = e.index;
    }

    /** The members in force at an entry of the log. */
    Members membersAt(SegmentLog log, long at) {
        for (var i = at; i >= log.first(); i--)
            if (log.at(i).type == Entry.MEMBERSHIP) return Codec.read(Members.class, log.at(i).body);
        return log.snapshot() == null ? initialMembers : log.snapshot().members;
    }

    /** The generation of the core that the log knows; 0 for an empty log. */
    int coreGeneration(SegmentLog log) {
        return index < log.first() && log.snapshot() == null ? 0 : members.generation;
    }
}
