package craneway.state.disk;

import java.nio.ByteBuffer;
import java.util.ArrayList;

/**
 * Reads a segment and tells a torn tail from damage. Writes that no sync covered may each be there, missing or torn; the
 * first of them that is not whole ends the log. Damage before a length that is proven to be synced means a lost disk. The
 * header, the mark and every whole record behind the damage prove such a length.
 */
final class SegmentReader {
    private final String name;
    private final int segmentNumber;
    private final byte[] file;
    private final SyncMark mark;

    /** Reads the segment of a number; the mark may be null or of an earlier segment. */
    SegmentReader(String name, int number, byte[] file, SyncMark mark) {
        this.name = name;
        this.segmentNumber = number;
        this.file = file;
        this.mark = mark != null && mark.segmentNumber() == number ? mark : null;
    }

    SegmentContents read() {
        var header = SegmentHeader.decode(name, file);
        if (header == null) return new LegacySegmentReader(name, file, mark).read();
        if (header.segmentNumber() != segmentNumber)
            throw new DiskLostException(name + ": holds the segment " + header.segmentNumber());
        if (mark != null && mark.nonce() != header.nonce())
            throw new DiskLostException(name + ": another file of this name");
        var codec = new RecordCodec(header.nonce());
        var buffer = ByteBuffer.wrap(file);
        var records = new ArrayList<LogRecord>();
        var at = SegmentHeader.HEADER_BYTES;
        while (codec.isValid(buffer, at)) {
            records.add(RecordCodec.decode(buffer, at));
            at += RecordCodec.recordSize(buffer, at);
        }
        var marked = mark == null ? 0 : mark.syncedBytes();
        if (at < Math.max(header.initialBytes(), marked) || laterRecordProvesSynced(codec, buffer, at))
            throw new DiskLostException(name + ": damaged at byte " + at + " of " + file.length + ", which was synced");
        return new SegmentContents(
                header.coreHash(),
                header.snapshotIndex(),
                header.snapshotTerm(),
                records,
                mark != null && at == marked);
    }

    private static boolean laterRecordProvesSynced(RecordCodec codec, ByteBuffer buffer, int damage) {
        for (var i = damage + 1; i <= buffer.limit() - RecordCodec.HEADER_BYTES; i++)
            if (codec.provesSyncedBeyond(damage, buffer, i)) return true;
        return false;
    }
}
