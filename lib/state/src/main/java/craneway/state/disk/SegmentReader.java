package craneway.state.disk;

import java.nio.ByteBuffer;
import java.util.ArrayList;

/**
 * Reads a segment and distinguishes a torn tail from damage. Each write after the last sync may be present, missing or
 * torn; the first of them that is not intact ends the log. Damage before a length that is proven to be synced means
 * that the disk is lost. The header, the sync mark and every valid record behind the damage can prove such a length.
 */
final class SegmentReader {
    private final String name;
    private final int segmentNumber;
    private final byte[] file;
    private final SyncMark mark;

    /** Creates a reader for the segment of a number. The sync mark may be null or belong to an earlier segment. */
    SegmentReader(String name, int segmentNumber, byte[] file, SyncMark mark) {
        this.name = name;
        this.segmentNumber = segmentNumber;
        this.file = file;
        this.mark = mark != null && mark.segmentNumber() == segmentNumber ? mark : null;
    }

    SegmentContents read() {
        var header = SegmentHeader.decode(name, file);
        if (header == null) return new LegacySegmentReader(name, file, mark).read();
        if (header.segmentNumber() != segmentNumber)
            throw new DiskLostException(name + ": contains segment " + header.segmentNumber());
        if (mark != null && mark.nonce() != header.nonce())
            throw new DiskLostException(
                    name + ": its nonce differs from the sync mark, so it is another file of this name");
        var codec = new RecordCodec(header.nonce());
        var buffer = ByteBuffer.wrap(file);
        var records = new ArrayList<LogRecord>();
        var offset = SegmentHeader.HEADER_BYTES;
        while (codec.isValid(buffer, offset)) {
            records.add(RecordCodec.decode(buffer, offset));
            offset += RecordCodec.recordSize(buffer, offset);
        }
        var markedBytes = mark == null ? 0 : mark.syncedBytes();
        if (offset < Math.max(header.initialBytes(), markedBytes) || laterRecordProvesSynced(codec, buffer, offset))
            throw new DiskLostException(
                    name + ": damaged at byte " + offset + " of " + file.length + ", which was synced");
        return new SegmentContents(
                header.coreHash(),
                header.snapshotIndex(),
                header.snapshotTerm(),
                records,
                mark != null && offset == markedBytes);
    }

    private static boolean laterRecordProvesSynced(RecordCodec codec, ByteBuffer buffer, int damagedAt) {
        for (var offset = damagedAt + 1; offset <= buffer.limit() - RecordCodec.HEADER_BYTES; offset++)
            if (codec.provesSyncedBeyond(damagedAt, buffer, offset)) return true;
        return false;
    }
}
