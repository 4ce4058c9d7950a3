package craneway.state.disk;

import craneway.state.part.LogEntry;
import craneway.state.part.Snapshot;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** A log under test, with the states that it went through and the last one that was acknowledged. */
final class LogHistory {
    /** One call of the log. */
    interface Call {
        void on(LogHistory h);
    }

    static final int CORE = 7;
    static final String PREFIX = "p0.";

    final PowerLossFolder folder;
    final List<String> states = new ArrayList<>();
    SegmentLog log;
    int acknowledged;
    boolean opened;

    LogHistory(PowerLossFolder folder) {
        this.folder = folder;
        states.add("term 0 vote 0 image 0/0 entries []");
    }

    /** A history that goes on from what a log read back. */
    static LogHistory goingOn(PowerLossFolder folder) {
        var h = new LogHistory(folder);
        h.log = new SegmentLog(folder, PREFIX, CORE);
        h.states.set(0, describe(h.log));
        return h;
    }

    /** Opens the log and makes the calls until the process ends by a crash or the disk fails; false if so. */
    boolean play(List<Call> calls) {
        try {
            log = new SegmentLog(folder, PREFIX, CORE);
            opened = log.failure() == null;
        } catch (PowerLossFolder.Crash e) {
            return false;
        }
        return make(calls);
    }

    /** Makes the calls until the process ends by a crash or the disk fails; false if so. */
    boolean make(List<Call> calls) {
        try {
            for (var c : calls) c.on(this);
            return true;
        } catch (PowerLossFolder.Crash | DiskException e) {
            return false;
        }
    }

    private void change(Call c, String next) {
        states.add(next);
        c.on(this);
        var now = describe(log);
        if (!now.equals(next)) throw new AssertionError(now + " instead of " + next);
    }

    private String next(long term, long vote, Snapshot snapshot, List<LogEntry> entries) {
        return text(term, vote, snapshot, entries);
    }

    private List<LogEntry> entries() {
        return entries(log);
    }

    private static List<LogEntry> entries(SegmentLog log) {
        var all = new ArrayList<LogEntry>();
        for (var i = log.firstIndex(); i <= log.lastIndex(); i++) all.add(log.entryAt(i));
        return all;
    }

    static Call vote(long term, long vote) {
        return h -> h.change(x -> x.log.saveTermAndVote(term, vote), h.next(term, vote, h.log.snapshot(), h.entries()));
    }

    static Call entry(long term, int bytes) {
        return h -> {
            var body = new byte[bytes];
            Arrays.fill(body, (byte) (h.states.size() * 31 + 5));
            var e = new LogEntry(h.log.lastIndex() + 1, term, LogEntry.COMMAND, body);
            var all = h.entries();
            all.add(e);
            h.change(x -> x.log.append(e), h.next(h.log.currentTerm(), h.log.votedFor(), h.log.snapshot(), all));
        };
    }

    static Call cut(long from) {
        return h -> {
            var all = h.entries();
            all.removeIf(e -> e.index >= from);
            h.change(x -> x.log.truncateFrom(from), h.next(h.log.currentTerm(), h.log.votedFor(), h.log.snapshot(), all));
        };
    }

    static Call take(long index, long term) {
        return h -> {
            var i = new Snapshot();
            i.index = index;
            i.term = term;
            i.body = new byte[] {(byte) index, 3, 4};
            var all = h.entries();
            var matches = h.log.termAt(index) == term;
            all.removeIf(e -> !matches || e.index <= index);
            h.change(x -> x.log.installSnapshot(i), h.next(h.log.currentTerm(), h.log.votedFor(), i, all));
            h.acknowledged = h.states.size() - 1;
        };
    }

    static Call sync() {
        return h -> {
            h.log.sync();
            h.acknowledged = h.states.size() - 1;
        };
    }

    static String describe(SegmentLog log) {
        return text(log.currentTerm(), log.votedFor(), log.snapshot(), entries(log));
    }

    private static String text(long term, long vote, Snapshot snapshot, List<LogEntry> entries) {
        var all = entries.stream()
                .map(e -> e.index + "/" + e.term + ":" + e.body.length + "x" + Arrays.hashCode(e.body))
                .toList();
        var base = snapshot == null ? "0/0" : snapshot.index + "/" + snapshot.term;
        return "term " + term + " vote " + vote + " image " + base + " entries " + all;
    }

    /** Whether a log that was read back holds all that was acknowledged, and nothing that was never written. */
    void check(PowerLossFolder back, String where) {
        try {
            var now = describe(new SegmentLog(back, PREFIX, CORE));
            if (states.subList(acknowledged, states.size()).contains(now)) return;
            throw new AssertionError(where + ": read " + now + ", acknowledged " + states.get(acknowledged));
        } catch (DiskLostException e) {
            throw new AssertionError(where + ": a healthy disk was called lost: " + e.getMessage());
        }
    }
}
