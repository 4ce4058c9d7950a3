package craneway.state.disk;

import craneway.state.part.LogEntry;
import craneway.state.part.Snapshot;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * The log of one part: term and vote, the snapshot, and the entries behind it. All changes are appended to one segment and
 * last once {@link #sync} returned. Each start and each snapshot writes a fresh segment with all that is known, and only
 * then removes older files. After the first failed write or sync nothing more is taken: a new log has to be made from the
 * folder, which writes and syncs all bytes anew.
 */
public final class SegmentLog {
    private static final long ROLL = 4L << 20;

    private final Folder folder;
    private final PartFiles files;
    private final int core;
    private final List<LogEntry> entries = new ArrayList<>();
    private Snapshot snapshot;
    private long currentTerm;
    private long votedFor;
    private int segment;
    private long nonce;
    private RecordCodec codec;
    private int size;
    private int synced;
    private boolean isDirty;
    private DiskException failure;

    /**
     * Reads the log of a part and writes a fresh segment. Where that cannot be written, the log can be read but takes
     * nothing, and is dirty unless all that was read is known to be synced.
     */
    public SegmentLog(Folder folder, String prefix, int core) {
        this.folder = folder;
        this.core = core;
        files = new PartFiles(folder, prefix);
        load();
        try {
            rewriteSegment();
        } catch (DiskException e) {
            failure = e;
        }
    }

    /** Throws {@link UnknownFormatException} if any segment of a folder is of a newer format; nothing is written. */
    public static void checkFormats(Folder folder) {
        for (var n : folder.fileNames()) {
            if (!n.matches("p\\d+\\.log\\.\\d+")) continue;
            var head = folder.readHead(n, SegmentHeader.FORMAT_SIZE);
            if (head != null && head.length == SegmentHeader.FORMAT_SIZE) formatOrDamage(n, head);
        }
    }

    private static void formatOrDamage(String name, byte[] head) {
        try {
            SegmentHeader.formatOf(name, head);
        } catch (DiskLostException e) {
            // Told when the part is opened.
        }
    }

    /** The newest term known. */
    public long currentTerm() {
        return currentTerm;
    }

    /** Who got the vote of this term, or 0. */
    public long votedFor() {
        return votedFor;
    }

    /** The newest snapshot, or null. */
    public Snapshot snapshot() {
        return snapshot;
    }

    /** Whether something of the log is not known to be synced. */
    public boolean isDirty() {
        return isDirty;
    }

    /** The problem since which this log takes nothing more, or null. */
    public DiskException failure() {
        return failure;
    }

    /** Whether the segment has grown so much that a snapshot is due. */
    public boolean isSnapshotDue() {
        return size > ROLL;
    }

    /** The index of the first entry behind the snapshot. */
    public long firstIndex() {
        return snapshot == null ? 1 : snapshot.index + 1;
    }

    /** The index of the last entry. */
    public long lastIndex() {
        return firstIndex() + entries.size() - 1;
    }

    /** The term of an entry, of the snapshot's last one too; -1 if it is not known. */
    public long termAt(long i) {
        if (i == firstIndex() - 1) return snapshot == null ? 0 : snapshot.term;
        return i < firstIndex() || i > lastIndex() ? -1 : entryAt(i).term;
    }

    /** The entry of an index. */
    public LogEntry entryAt(long i) {
        return entries.get((int) (i - firstIndex()));
    }

    /** Sets the term and the vote. */
    public void saveTermAndVote(long newTerm, long newVote) {
        put(LogRecord.vote(newTerm, newVote));
        currentTerm = newTerm;
        votedFor = newVote;
    }

    /** Appends an entry. */
    public void append(LogEntry e) {
        put(LogRecord.entry(e.index, e.term, e.type, e.body));
        entries.add(e);
    }

    /** Drops the entries from an index on. */
    public void truncateFrom(long i) {
        if (i > lastIndex()) return;
        put(LogRecord.cut(i));
        entries.subList((int) (i - firstIndex()), entries.size()).clear();
    }

    /** Makes all changes so far last. */
    public void sync() {
        if (!isDirty) return;
        attempt(() -> folder.sync(files.segment(segment)));
        synced = size;
        isDirty = false;
        mark();
    }

    /** Takes a snapshot in place of the entries up to its index; all changes so far last afterwards. */
    public void installSnapshot(Snapshot i) {
        attempt(() -> files.write(i));
        var keep = new ArrayList<LogEntry>();
        if (termAt(i.index) == i.term)
            entries.stream().filter(e -> e.index > i.index).forEach(keep::add);
        snapshot = i;
        entries.clear();
        entries.addAll(keep);
        attempt(this::rewriteSegment);
    }

    private void put(LogRecord r) {
        attempt(() -> {
            var b = codec.encode(r, size, synced);
            isDirty = true;
            folder.append(files.segment(segment), b, b.length);
            size += b.length;
        });
    }

    /** After a failure it is not known which bytes are on the disk, so nothing may be added behind them. */
    private void attempt(Runnable work) {
        if (failure != null) throw failure;
        try {
            work.run();
        } catch (DiskException e) {
            failure = e;
            isDirty = true;
            throw e;
        }
    }

    private void mark() {
        files.mark(new SyncMark(segment, size, nonce));
    }

    private void rewriteSegment() {
        var old = files.segments();
        var number = old.isEmpty() ? 1 : old.get(old.size() - 1) + 1;
        var records = new ArrayList<LogRecord>();
        records.add(LogRecord.vote(currentTerm, votedFor));
        for (var e : entries) records.add(LogRecord.entry(e.index, e.term, e.type, e.body));
        var length = SegmentHeader.SIZE
                + records.stream().mapToInt(RecordCodec::size).sum();
        var header = new SegmentHeader(
                number,
                core,
                ThreadLocalRandom.current().nextLong(),
                snapshot == null ? 0 : snapshot.index,
                snapshot == null ? 0 : snapshot.term,
                length);
        begin(header, records);
        files.removeBut(segment, header.snapshotIndex());
    }

    private void begin(SegmentHeader header, List<LogRecord> records) {
        var newCodec = new RecordCodec(header.nonce());
        var whole = Arrays.copyOf(header.encode().array(), header.initialLength());
        var at = SegmentHeader.SIZE;
        for (var r : records) {
            var b = newCodec.encode(r, at, 0);
            System.arraycopy(b, 0, whole, at, b.length);
            at += b.length;
        }
        folder.replace(files.segment(header.segment()), whole);
        segment = header.segment();
        nonce = header.nonce();
        codec = newCodec;
        size = at;
        synced = at;
        isDirty = false;
        mark();
    }

    private void load() {
        var contents = files.newest();
        if (contents == null) return;
        if (contents.core() != 0 && contents.core() != core)
            throw new DiskLostException(files.segment(segment) + ": belongs to another core");
        if (contents.snapshotIndex() != 0) snapshot = files.read(contents.snapshotIndex(), contents.snapshotTerm());
        contents.records().forEach(this::replay);
        isDirty = !contents.allSynced();
    }

    private void replay(LogRecord r) {
        switch (r.type()) {
            case RecordView.HARD -> {
                currentTerm = r.term();
                votedFor = r.index();
            }
            case RecordView.ENTRY -> {
                if (r.index() != lastIndex() + 1) throw new DiskLostException("gap in the log at entry " + r.index());
                entries.add(new LogEntry(r.index(), r.term(), r.kind(), r.body()));
            }
            case RecordView.CUT -> {
                if (r.index() < firstIndex() || r.index() > lastIndex()) throw new DiskLostException("cut at entry " + r.index());
                entries.subList((int) (r.index() - firstIndex()), entries.size()).clear();
            }
            default -> throw new DiskLostException("record of unknown type " + r.type());
        }
    }
}
