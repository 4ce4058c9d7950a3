package craneway.sim.model;

import craneway.sim.SimulatedDisk;
import craneway.state.disk.SegmentLog;
import craneway.state.part.LogEntry;
import java.util.ArrayList;
import java.util.List;

/** What a disk holds of one log, read by the production class from a copy. */
record LogView(long term, long vote, long first, long imageTerm, List<LogEntry> entries) {
    static LogView of(SimulatedDisk copy) {
        var log = new SegmentLog(copy, "p" + World.PART + ".", Long.hashCode(World.CORE));
        var all = new ArrayList<LogEntry>();
        for (var i = log.firstIndex(); i <= log.lastIndex(); i++) all.add(log.entryAt(i));
        var imageTerm = log.snapshot() == null ? 0 : log.snapshot().term;
        return new LogView(log.currentTerm(), log.votedFor(), log.firstIndex(), imageTerm, all);
    }

    boolean holds(long index, long term) {
        if (index < first - 1) return true;
        if (index == first - 1) return imageTerm == term;
        return index < first + entries.size() && entries.get((int) (index - first)).term == term;
    }

    long termAt(long index) {
        if (index == first - 1) return imageTerm;
        return index < first || index >= first + entries.size() ? -1 : entries.get((int) (index - first)).term;
    }
}
