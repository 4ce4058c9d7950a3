package craneway.state.part;

import craneway.state.disk.SegmentLog;
import craneway.state.message.Codec;

/** The members in force: those of the last entry that names members, committed or not, else of the snapshot, else the first. */
final class MembershipLog {
    private final Members first;
    private Members members;
    private long index;

    MembershipLog(Members first) {
        this.first = first;
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
    void find(SegmentLog log) {
        members = log.snapshot() == null ? first : log.snapshot().members;
        index = log.firstIndex() - 1;
        for (var i = log.lastIndex(); i >= log.firstIndex(); i--) {
            if (log.entryAt(i).type != LogEntry.MEMBERSHIP) continue;
            members = Codec.decode(Members.class, log.entryAt(i).body);
            index = i;
            return;
        }
    }

    /** Takes note of an entry that was just appended. */
    void appended(LogEntry e) {
        if (e.type != LogEntry.MEMBERSHIP) return;
        members = Codec.decode(Members.class, e.body);
        index = e.index;
    }

    /** The members in force at an entry of the log. */
    Members at(SegmentLog log, long at) {
        for (var i = at; i >= log.firstIndex(); i--)
            if (log.entryAt(i).type == LogEntry.MEMBERSHIP) return Codec.decode(Members.class, log.entryAt(i).body);
        return log.snapshot() == null ? first : log.snapshot().members;
    }

    /** The generation of the core that the log knows; 0 for an empty log. */
    int generation(SegmentLog log) {
        return index < log.firstIndex() && log.snapshot() == null ? 0 : members.coreGeneration;
    }
}
