package craneway.state.disk;

import craneway.state.part.LogEntry;
import craneway.state.part.Snapshot;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** A log under test with all states it went through and the last acknowledged one. */
final class LogHistory {
    /** One call on the log. */
    interface Call {
        void applyTo(LogHistory history);
    }

    static final int CORE_HASH = 7;
    static final String PREFIX = "p0.";

    final PowerLossFolder folder;
    final List<String> states = new ArrayList<>();
    SegmentLog log;
    int acknowledgedState;
    boolean opened;

    LogHistory(PowerLossFolder folder) {
        this.folder = folder;
        states.add("term 0 vote 0 snapshot 0/0 entries []");
    }

    /** Returns a history that continues from what the log reads back. */
    static LogHistory continueFrom(PowerLossFolder folder) {
        var history = new LogHistory(folder);
        history.log = new SegmentLog(folder, PREFIX, CORE_HASH);
        history.states.set(0, describe(history.log));
        return history;
    }

    /** Opens the log and makes the calls; returns false if a crash or a disk failure ended them early. */
    boolean play(List<Call> calls) {
        try {
            log = new SegmentLog(folder, PREFIX, CORE_HASH);
            opened = log.failure() == null;
        } catch (PowerLossFolder.Crash crash) {
            return false;
        }
        return makeCalls(calls);
    }

    /** Makes the calls; returns false if a crash or a disk failure ended them early. */
    boolean makeCalls(List<Call> calls) {
        try {
            for (var call : calls) call.applyTo(this);
            return true;
        } catch (PowerLossFolder.Crash | DiskException e) {
            return false;
        }
    }

    private void change(Call call, String expected) {
        states.add(expected);
        call.applyTo(this);
        var actual = describe(log);
        if (!actual.equals(expected)) throw new AssertionError(actual + " instead of " + expected);
    }

    private String describeNext(long term, long vote, Snapshot snapshot, List<LogEntry> entries) {
        return description(term, vote, snapshot, entries);
    }

    private List<LogEntry> entries() {
        return entries(log);
    }

    private static List<LogEntry> entries(SegmentLog log) {
        var entries = new ArrayList<LogEntry>();
        for (var index = log.firstIndex(); index <= log.lastIndex(); index++) entries.add(log.entryAt(index));
        return entries;
    }

    /** Returns the call that saves a term and a vote. */
    static Call vote(long term, long vote) {
        return history -> history.change(
                changed -> changed.log.saveTermAndVote(term, vote),
                history.describeNext(term, vote, history.log.snapshot(), history.entries()));
    }

    /** Returns the call that appends an entry with a body of the given size. */
    static Call entry(long term, int bytes) {
        return history -> {
            var body = new byte[bytes];
            Arrays.fill(body, (byte) (history.states.size() * 31 + 5));
            var entry = new LogEntry(history.log.lastIndex() + 1, term, LogEntry.COMMAND, body);
            var entries = history.entries();
            entries.add(entry);
            history.change(
                    changed -> changed.log.append(entry),
                    history.describeNext(
                            history.log.currentTerm(), history.log.votedFor(), history.log.snapshot(), entries));
        };
    }

    /** Returns the call that removes the entries from an index on. */
    static Call truncate(long from) {
        return history -> {
            var entries = history.entries();
            entries.removeIf(entry -> entry.index >= from);
            history.change(
                    changed -> changed.log.truncateFrom(from),
                    history.describeNext(
                            history.log.currentTerm(), history.log.votedFor(), history.log.snapshot(), entries));
        };
    }

    /** Returns the call that installs a snapshot, which acknowledges all changes so far. */
    static Call installSnapshot(long index, long term) {
        return history -> {
            var snapshot = new Snapshot();
            snapshot.index = index;
            snapshot.term = term;
            snapshot.body = new byte[] {(byte) index, 3, 4};
            var entries = history.entries();
            var matches = history.log.termAt(index) == term;
            entries.removeIf(entry -> !matches || entry.index <= index);
            history.change(
                    changed -> changed.log.installSnapshot(snapshot),
                    history.describeNext(history.log.currentTerm(), history.log.votedFor(), snapshot, entries));
            history.acknowledgedState = history.states.size() - 1;
        };
    }

    /** Returns the call that syncs the log, which acknowledges all changes so far. */
    static Call sync() {
        return history -> {
            history.log.sync();
            history.acknowledgedState = history.states.size() - 1;
        };
    }

    /** Returns the complete state of a log as text. */
    static String describe(SegmentLog log) {
        return description(log.currentTerm(), log.votedFor(), log.snapshot(), entries(log));
    }

    private static String description(long term, long vote, Snapshot snapshot, List<LogEntry> entries) {
        var describedEntries = entries.stream()
                .map(entry ->
                        entry.index + "/" + entry.term + ":" + entry.body.length + "x" + Arrays.hashCode(entry.body))
                .toList();
        var snapshotPosition = snapshot == null ? "0/0" : snapshot.index + "/" + snapshot.term;
        return "term " + term + " vote " + vote + " snapshot " + snapshotPosition + " entries " + describedEntries;
    }

    /** Checks that a reopened log holds everything acknowledged and nothing that was never written. */
    void check(PowerLossFolder reopened, String where) {
        try {
            var actual = describe(new SegmentLog(reopened, PREFIX, CORE_HASH));
            if (states.subList(acknowledgedState, states.size()).contains(actual)) return;
            throw new AssertionError(where + ": read " + actual + ", acknowledged " + states.get(acknowledgedState));
        } catch (DiskLostException e) {
            throw new AssertionError(where + ": a healthy disk was reported as lost: " + e.getMessage());
        }
    }
}
