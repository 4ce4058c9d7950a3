package craneway.state.disk;

import craneway.state.part.Entry;
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
    private static final long SNAPSHOT_DUE_BYTES = 4L << 20;

    private final Folder folder;
    private final PartFiles files;
    private final int coreHash;
    private final List<Entry> entries = new ArrayList<>();
    private Snapshot snapshot;
    private long term;
    private long vote;
    private int segmentNumber;
    private long nonce;
    private RecordCodec codec;
    private int segmentBytes;
    private int syncedBytes;
    private boolean dirty;
    private DiskException failure;

    /**
     * Reads the log of a part and writes a fresh segment. Where that cannot be written, the log can be read but takes
     * nothing, and is dirty unless all that was read is known to be synced.
     */
    public SegmentLog(Folder folder, String prefix, int core) {
        this.folder = folder;
        this.coreHash = core;
        files = new PartFiles(folder, prefix);
        readNewestSegment();
        try {
            rewriteSegment();
        } catch (DiskException e) {
            failure = e;
        }
    }

    /** Throws {@link UnknownFormat} if any segment of a folder is of a newer format; nothing is written. */
    public static void checkFormats(Folder folder) {
        for (var n : folder.names()) {
            if (!n.matches("p\\d+\\.log\\.\\d+")) continue;
            var head = folder.readHead(n, SegmentHeader.FORMAT_BYTES);
            if (head != null && head.length == SegmentHeader.FORMAT_BYTES) checkFormat(n, head);
        }
    }

    private static void checkFormat(String name, byte[] head) {
        try {
            SegmentHeader.formatOf(name, head);
        } catch (DiskLostException e) {
            // Told when the part is opened.
        }
    }

    /** The newest term known. */
    public long term() {
        return term;
    }

    /** Who got the vote of this term, or 0. */
    public long vote() {
        return vote;
    }

    /** The newest snapshot, or null. */
    public Snapshot snapshot() {
        return snapshot;
    }

    /** Whether something of the log is not known to be synced. */
    public boolean dirty() {
        return dirty;
    }

    /** The problem since which this log takes nothing more, or null. */
    public DiskException failure() {
        return failure;
    }

    /** Whether the segment has grown so much that a snapshot is due. */
    public boolean needsSnapshot() {
        return segmentBytes > SNAPSHOT_DUE_BYTES;
    }

    /** The index of the first entry behind the snapshot. */
    public long first() {
        return snapshot == null ? 1 : snapshot.index + 1;
    }

    /** The index of the last entry. */
    public long last() {
        return first() + entries.size() - 1;
    }

    /** The term of an entry, of the snapshot's last one too; -1 if it is not known. */
    public long termAt(long i) {
        if (i == first() - 1) return snapshot == null ? 0 : snapshot.term;
        return i < first() || i > last() ? -1 : at(i).term;
    }

    /** The entry of an index. */
    public Entry at(long i) {
        return entries.get((int) (i - first()));
    }

    /** Sets the term and the vote. */
    public void saveTermAndVote(long newTerm, long newVote) {
        appendRecord(LogRecord.termAndVote(newTerm, newVote));
        term = newTerm;
        vote = newVote;
    }

    /** Appends an entry. */
    public void append(Entry e) {
        appendRecord(LogRecord.entry(e.index, e.term, e.type, e.body));
        entries.add(e);
    }

    /** Drops the entries from an index on. */
    public void cutFrom(long i) {
        if (i > last()) return;
        appendRecord(LogRecord.truncation(i));
        entries.subList((int) (i - first()), entries.size()).clear();
    }

    /** Makes all changes so far last. */
    public void sync() {
        if (!dirty) return;
        runOrFail(() -> folder.sync(files.segmentName(segmentNumber)));
        syncedBytes = segmentBytes;
        dirty = false;
        writeSyncMark();
    }

    /** Takes a snapshot in place of the entries up to its index; all changes so far last afterwards. */
    public void install(Snapshot i) {
        runOrFail(() -> files.writeSnapshot(i));
        var keep = new ArrayList<Entry>();
        if (termAt(i.index) == i.term)
            entries.stream().filter(e -> e.index > i.index).forEach(keep::add);
        snapshot = i;
        entries.clear();
        entries.addAll(keep);
        runOrFail(this::rewriteSegment);
    }

    private void appendRecord(LogRecord r) {
        runOrFail(() -> {
            var b = codec.encode(r, segmentBytes, syncedBytes);
            dirty = true;
            folder.append(files.segmentName(segmentNumber), b, b.length);
            segmentBytes += b.length;
        });
    }

    /** After a failure it is not known which bytes are on the disk, so nothing may be added behind them. */
    private void runOrFail(Runnable work) {
        if (failure != null) throw failure;
        try {
            work.run();
        } catch (DiskException e) {
            failure = e;
            dirty = true;
            throw e;
        }
    }

    private void writeSyncMark() {
        files.writeSyncMark(new SyncMark(segmentNumber, segmentBytes, nonce));
    }

    private void rewriteSegment() {
        var old = files.segmentNumbers();
        var number = old.isEmpty() ? 1 : old.get(old.size() - 1) + 1;
        var records = new ArrayList<LogRecord>();
        records.add(LogRecord.termAndVote(term, vote));
        for (var e : entries) records.add(LogRecord.entry(e.index, e.term, e.type, e.body));
        var length = SegmentHeader.HEADER_BYTES
                + records.stream().mapToInt(RecordCodec::recordSize).sum();
        var header = new SegmentHeader(
                number,
                coreHash,
                ThreadLocalRandom.current().nextLong(),
                snapshot == null ? 0 : snapshot.index,
                snapshot == null ? 0 : snapshot.term,
                length);
        createSegment(header, records);
        files.removeAllExcept(segmentNumber, header.snapshotIndex());
    }

    private void createSegment(SegmentHeader header, List<LogRecord> records) {
        var newCodec = new RecordCodec(header.nonce());
        var whole = Arrays.copyOf(header.encode().array(), header.initialBytes());
        var at = SegmentHeader.HEADER_BYTES;
        for (var r : records) {
            var b = newCodec.encode(r, at, 0);
            System.arraycopy(b, 0, whole, at, b.length);
            at += b.length;
        }
        folder.replace(files.segmentName(header.segmentNumber()), whole);
        segmentNumber = header.segmentNumber();
        nonce = header.nonce();
        codec = newCodec;
        segmentBytes = at;
        syncedBytes = at;
        dirty = false;
        writeSyncMark();
    }

    private void readNewestSegment() {
        var contents = files.readNewestSegment();
        if (contents == null) return;
        if (contents.coreHash() != 0 && contents.coreHash() != coreHash)
            throw new DiskLostException(files.segmentName(segmentNumber) + ": belongs to another core");
        if (contents.snapshotIndex() != 0)
            snapshot = files.readSnapshot(contents.snapshotIndex(), contents.snapshotTerm());
        contents.records().forEach(this::replayRecord);
        dirty = !contents.allSynced();
    }

    private void replayRecord(LogRecord r) {
        switch (r.recordType()) {
            case LegacyRecord.TERM_AND_VOTE -> {
                term = r.term();
                vote = r.index();
            }
            case LegacyRecord.ENTRY -> {
                if (r.index() != last() + 1) throw new DiskLostException("gap in the log at entry " + r.index());
                entries.add(new Entry(r.index(), r.term(), r.entryType(), r.body()));
            }
            case LegacyRecord.TRUNCATION -> {
                if (r.index() < first() || r.index() > last()) throw new DiskLostException("cut at entry " + r.index());
                entries.subList((int) (r.index() - first()), entries.size()).clear();
            }
            default -> throw new DiskLostException("record of unknown type " + r.recordType());
        }
    }
}
