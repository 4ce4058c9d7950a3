package craneway.state.disk;

import java.nio.ByteBuffer;
import java.util.ArrayList;

/**
 * Reads a segment of the format without a header, which starts with a record of its snapshot and core. Its records prove
 * nothing about syncs: without a mark, a whole record behind the damage has to be taken for a lost disk.
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
        var core = record.kind();
        var snapshotIndex = record.index();
        var snapshotTerm = record.term();
        var records = new ArrayList<LogRecord>();
        var at = record.size();
        while (record.wrap(file, at).isValid()) {
            records.add(new LogRecord(record.type(), record.index(), record.term(), record.kind(), record.body()));
            at += record.size();
        }
        if (mark == null ? hasValidRecordFrom(at + 1) : at < mark.syncedBytes())
            throw new DiskLostException(name + ": damaged at byte " + at + " of " + file.limit());
        return new SegmentContents(
                core, snapshotIndex, snapshotTerm, records, mark != null && at == mark.syncedBytes());
    }

    private boolean hasValidRecordFrom(int from) {
        for (var i = from; i + LegacyRecord.KIND_OFFSET < file.limit(); i++)
            if (record.wrap(file, i).isValid()) return true;
        return false;
    }
}
