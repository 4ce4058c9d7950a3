package craneway.state.disk;

import java.nio.ByteBuffer;
import java.util.ArrayList;

/**
 * Reads a segment of format 1, which has no header and starts with a record of its snapshot and core instead. Its
 * records prove nothing about syncs: without a sync mark, a valid record behind damaged bytes has to be treated as a
 * lost disk.
 */
final class LegacySegmentReader {
    private final String name;
    private final ByteBuffer file;
    private final SyncMark mark;
    private final LegacyRecord record = new LegacyRecord();

    LegacySegmentReader(String name, byte[] file, SyncMark mark) {
        this.name = name;
        this.file = ByteBuffer.wrap(file);
        this.mark = mark;
    }

    SegmentContents read() {
        if (!record.wrap(file, 0).isValid() || record.type() != LegacyRecord.SEGMENT_BASE)
            throw new DiskLostException(name + ": damaged at byte 0 of " + file.limit());
        var coreHash = record.kind();
        var snapshotIndex = record.index();
        var snapshotTerm = record.term();
        var records = new ArrayList<LogRecord>();
        var offset = record.size();
        while (record.wrap(file, offset).isValid()) {
            records.add(new LogRecord(record.type(), record.index(), record.term(), record.kind(), record.body()));
            offset += record.size();
        }
        if (mark == null ? hasValidRecordFrom(offset + 1) : offset < mark.syncedBytes())
            throw new DiskLostException(name + ": damaged at byte " + offset + " of " + file.limit());
        return new SegmentContents(
                coreHash, snapshotIndex, snapshotTerm, records, mark != null && offset == mark.syncedBytes());
    }

    private boolean hasValidRecordFrom(int from) {
        for (var offset = from; offset + LegacyRecord.KIND_OFFSET < file.limit(); offset++)
            if (record.wrap(file, offset).isValid()) return true;
        return false;
    }
}
