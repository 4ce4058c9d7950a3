package craneway.state.disk;

import craneway.state.part.LogEntry;
import craneway.state.part.Snapshot;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * The write-ahead log of one part: term and vote, the latest snapshot, and the entries after it. Changes are appended
 * to one segment and are durable once {@link #sync} has returned.
 *
 * <p>Every start and every snapshot writes a new segment with everything that is known, and only then removes older
 * files. After the first failed write or sync the log accepts no more changes: a new log has to be opened from the
 * folder, which writes and syncs all bytes again. Not thread-safe.
 */
public final class SegmentLog {
    /** A snapshot is due once the segment is larger than this. */
    private static final long SNAPSHOT_DUE_BYTES = 4L << 20;

    private final Folder folder;
    private final PartFiles files;
    private final int coreHash;
    private final List<LogEntry> entries = new ArrayList<>();
    private Snapshot snapshot;
    private long currentTerm;
    private long votedFor;
    private int segmentNumber;
    private long nonce;
    private RecordCodec codec;
    private int segmentBytes;
    private int syncedBytes;
    private boolean isDirty;
    private DiskException failure;

    /**
     * Reads the log of a part and writes a new segment. If that segment cannot be written, the log can be read but
     * accepts no changes, and it is dirty unless everything read is known to be synced.
     */
    public SegmentLog(Folder folder, String prefix, int coreHash) {
        this.folder = folder;
        this.coreHash = coreHash;
        files = new PartFiles(folder, prefix);
        readNewestSegment();
        try {
            rewriteSegment();
        } catch (DiskException e) {
            failure = e;
        }
    }

    /** Throws {@link UnknownFormatException} if a segment in the folder has a newer format. Writes nothing. */
    public static void checkFormats(Folder folder) {
        for (var name : folder.fileNames()) {
            if (!name.matches("p\\d+\\.log\\.\\d+")) continue;
            var start = folder.readHead(name, SegmentHeader.FORMAT_BYTES);
            if (start != null && start.length == SegmentHeader.FORMAT_BYTES) checkFormat(name, start);
        }
    }

    private static void checkFormat(String name, byte[] start) {
        try {
            SegmentHeader.formatOf(name, start);
        } catch (DiskLostException e) {
            // Damage is reported when the part is opened.
        }
    }

    /** Returns the latest term. */
    public long currentTerm() {
        return currentTerm;
    }

    /** Returns the store that got this log's vote in the latest term, or 0. */
    public long votedFor() {
        return votedFor;
    }

    /** Returns the latest snapshot, or null. */
    public Snapshot snapshot() {
        return snapshot;
    }

    /** Returns whether some of the log is not known to be synced. */
    public boolean isDirty() {
        return isDirty;
    }

    /** Returns the failure since which the log accepts no changes, or null. */
    public DiskException failure() {
        return failure;
    }

    /** Returns whether the segment has grown so large that a snapshot is due. */
    public boolean isSnapshotDue() {
        return segmentBytes > SNAPSHOT_DUE_BYTES;
    }

    /** Returns the index of the first entry after the snapshot. */
    public long firstIndex() {
        return snapshot == null ? 1 : snapshot.index + 1;
    }

    /** Returns the index of the last entry. */
    public long lastIndex() {
        return firstIndex() + entries.size() - 1;
    }

    /** Returns the term of an entry or of the snapshot's last entry; -1 if it is not known. */
    public long termAt(long index) {
        if (index == firstIndex() - 1) return snapshot == null ? 0 : snapshot.term;
        return index < firstIndex() || index > lastIndex() ? -1 : entryAt(index).term;
    }

    /** Returns the entry at an index, which must be in the log. */
    public LogEntry entryAt(long index) {
        return entries.get((int) (index - firstIndex()));
    }

    /** Sets the term and the vote in it. */
    public void saveTermAndVote(long newTerm, long newVote) {
        appendRecord(LogRecord.termAndVote(newTerm, newVote));
        currentTerm = newTerm;
        votedFor = newVote;
    }

    /** Appends an entry. */
    public void append(LogEntry entry) {
        appendRecord(LogRecord.entry(entry.index, entry.term, entry.type, entry.body));
        entries.add(entry);
    }

    /** Removes the entries from an index on. */
    public void truncateFrom(long index) {
        if (index > lastIndex()) return;
        appendRecord(LogRecord.truncation(index));
        entries.subList((int) (index - firstIndex()), entries.size()).clear();
    }

    /** Makes all changes so far durable. */
    public void sync() {
        if (!isDirty) return;
        runOrFail(() -> folder.sync(files.segmentName(segmentNumber)));
        syncedBytes = segmentBytes;
        isDirty = false;
        writeSyncMark();
    }

    /** Replaces the entries up to the snapshot's index by the snapshot. All changes so far are durable afterwards. */
    public void installSnapshot(Snapshot newSnapshot) {
        runOrFail(() -> files.writeSnapshot(newSnapshot));
        var remaining = new ArrayList<LogEntry>();
        if (termAt(newSnapshot.index) == newSnapshot.term)
            entries.stream().filter(entry -> entry.index > newSnapshot.index).forEach(remaining::add);
        snapshot = newSnapshot;
        entries.clear();
        entries.addAll(remaining);
        runOrFail(this::rewriteSegment);
    }

    private void appendRecord(LogRecord record) {
        runOrFail(() -> {
            var bytes = codec.encode(record, segmentBytes, syncedBytes);
            isDirty = true;
            folder.append(files.segmentName(segmentNumber), bytes, bytes.length);
            segmentBytes += bytes.length;
        });
    }

    /**
     * Runs a disk operation. After a failure it is unknown which bytes are on disk, so nothing may be appended any
     * more.
     */
    private void runOrFail(Runnable operation) {
        if (failure != null) throw failure;
        try {
            operation.run();
        } catch (DiskException e) {
            failure = e;
            isDirty = true;
            throw e;
        }
    }

    private void writeSyncMark() {
        files.writeSyncMark(new SyncMark(segmentNumber, segmentBytes, nonce));
    }

    private void rewriteSegment() {
        var existing = files.segmentNumbers();
        var newNumber = existing.isEmpty() ? 1 : existing.get(existing.size() - 1) + 1;
        var records = new ArrayList<LogRecord>();
        records.add(LogRecord.termAndVote(currentTerm, votedFor));
        for (var entry : entries) records.add(LogRecord.entry(entry.index, entry.term, entry.type, entry.body));
        var initialBytes = SegmentHeader.HEADER_BYTES
                + records.stream().mapToInt(RecordCodec::recordSize).sum();
        var header = new SegmentHeader(
                newNumber,
                coreHash,
                ThreadLocalRandom.current().nextLong(),
                snapshot == null ? 0 : snapshot.index,
                snapshot == null ? 0 : snapshot.term,
                initialBytes);
        createSegment(header, records);
        files.removeAllExcept(segmentNumber, header.snapshotIndex());
    }

    private void createSegment(SegmentHeader header, List<LogRecord> records) {
        var newCodec = new RecordCodec(header.nonce());
        var bytes = Arrays.copyOf(header.encode().array(), header.initialBytes());
        var offset = SegmentHeader.HEADER_BYTES;
        for (var record : records) {
            var encoded = newCodec.encode(record, offset, 0);
            System.arraycopy(encoded, 0, bytes, offset, encoded.length);
            offset += encoded.length;
        }
        folder.replace(files.segmentName(header.segmentNumber()), bytes);
        segmentNumber = header.segmentNumber();
        nonce = header.nonce();
        codec = newCodec;
        segmentBytes = offset;
        syncedBytes = offset;
        isDirty = false;
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
        isDirty = !contents.allSynced();
    }

    private void replayRecord(LogRecord record) {
        switch (record.recordType()) {
            case LegacyRecord.TERM_AND_VOTE -> {
                currentTerm = record.term();
                votedFor = record.index();
            }
            case LegacyRecord.ENTRY -> {
                if (record.index() != lastIndex() + 1)
                    throw new DiskLostException("gap in the log at entry " + record.index());
                entries.add(new LogEntry(record.index(), record.term(), record.entryType(), record.body()));
            }
            case LegacyRecord.TRUNCATION -> {
                if (record.index() < firstIndex() || record.index() > lastIndex())
                    throw new DiskLostException("truncation at missing entry " + record.index());
                entries.subList((int) (record.index() - firstIndex()), entries.size())
                        .clear();
            }
            default -> throw new DiskLostException("unknown record type " + record.recordType());
        }
    }
}
