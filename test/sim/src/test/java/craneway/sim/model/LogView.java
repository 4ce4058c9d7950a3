package craneway.sim.model;

import craneway.sim.SimulatedDisk;
import craneway.state.disk.SegmentLog;
import craneway.state.part.LogEntry;
import java.util.ArrayList;
import java.util.List;

/**
 * What a disk holds of one log, read by the production class from a copy.
 *
 * @param votedFor the candidate that the stored term's vote went to, 0 for none
 * @param firstIndex the index of the first entry
 * @param snapshotTerm the term of the last entry that the snapshot covers, 0 without a snapshot
 */
record LogView(long term, long votedFor, long firstIndex, long snapshotTerm, List<LogEntry> entries) {
    /** Reads the log from a copy of a disk; recovery may write to it. */
    static LogView of(SimulatedDisk copy) {
        var log = new SegmentLog(copy, "p" + World.PART + ".", Long.hashCode(World.CORE_ID));
        var entries = new ArrayList<LogEntry>();
        for (var i = log.firstIndex(); i <= log.lastIndex(); i++) entries.add(log.entryAt(i));
        var snapshotTerm = log.snapshot() == null ? 0 : log.snapshot().term;
        return new LogView(log.currentTerm(), log.votedFor(), log.firstIndex(), snapshotTerm, entries);
    }

    /** Whether the log, including its snapshot, holds the entry. Whatever the snapshot covers counts as held. */
    boolean holds(long index, long term) {
        if (index < firstIndex - 1) return true;
        if (index == firstIndex - 1) return snapshotTerm == term;
        return index < firstIndex + entries.size() && entries.get((int) (index - firstIndex)).term == term;
    }

    /** The term of the entry at an index, or -1 if the log does not hold it. */
    long termAt(long index) {
        if (index == firstIndex - 1) return snapshotTerm;
        return index < firstIndex || index >= firstIndex + entries.size()
                ? -1
                : entries.get((int) (index - firstIndex)).term;
    }
}
