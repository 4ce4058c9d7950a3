package craneway.state.disk;

import craneway.state.message.Codec;
import craneway.state.part.Snapshot;
import java.util.List;

/** The files of one part in the folder of a store: segments by their number, snapshots by their index, and a mark. */
final class PartFiles {
    private static final String SEGMENT_NAME = "log.";
    private static final String SNAPSHOT_NAME = "image.";
    private static final String SYNC_MARK_NAME = "mark";

    private final Folder folder;
    private final String prefix;

    PartFiles(Folder folder, String prefix) {
        this.folder = folder;
        this.prefix = prefix;
    }

    String segmentName(int number) {
        return prefix + SEGMENT_NAME + number;
    }

    String snapshotName(long index) {
        return prefix + SNAPSHOT_NAME + index;
    }

    /** The numbers of all segments, from the lowest. */
    List<Integer> segmentNumbers() {
        return folder.names().stream()
                .filter(n -> n.matches("\\Q" + prefix + SEGMENT_NAME + "\\E\\d+"))
                .map(n -> Integer.parseInt(n.substring(n.lastIndexOf('.') + 1)))
                .sorted()
                .toList();
    }

    /** What was read of the newest segment, or null in a folder that never had one. */
    SegmentContents readNewestSegment() {
        var all = segmentNumbers();
        var mark = SyncMark.decode(folder.read(prefix + SYNC_MARK_NAME));
        var newest = all.isEmpty() ? 0 : all.get(all.size() - 1);
        if (mark != null && mark.segmentNumber() > newest)
            throw new DiskLostException(segmentName(mark.segmentNumber()) + ": missing");
        if (newest > 0)
            return new SegmentReader(segmentName(newest), newest, folder.read(segmentName(newest)), mark).read();
        if (folder.names().stream().anyMatch(n -> n.startsWith(prefix + SNAPSHOT_NAME)))
            throw new DiskLostException(prefix + SEGMENT_NAME + ": missing beside a snapshot");
        return null;
    }

    /** Leaves a mark; its loss is borne, since the records themselves prove what was synced before them. */
    void writeSyncMark(SyncMark mark) {
        try {
            folder.overwrite(prefix + SYNC_MARK_NAME, mark.encode());
        } catch (DiskException e) {
            // A full or failing disk shows at the next append.
        }
    }

    void writeSnapshot(Snapshot i) {
        folder.replace(snapshotName(i.index), Seal.close(Codec.write(i)));
    }

    Snapshot readSnapshot(long index, long term) {
        var b = folder.read(snapshotName(index));
        if (b == null) throw new DiskLostException(snapshotName(index) + ": missing");
        var i = Codec.read(Snapshot.class, Seal.open(snapshotName(index), b));
        if (i.index != index || i.term != term)
            throw new DiskLostException(snapshotName(index) + ": of another index or term");
        return i;
    }

    /** Removes all segments and snapshots but those named; what cannot be removed is left to the next time. */
    void removeAllExcept(int segment, long snapshotIndex) {
        for (var n : folder.names()) {
            var old = n.startsWith(prefix + SEGMENT_NAME) && !n.equals(segmentName(segment));
            var unused = n.startsWith(prefix + SNAPSHOT_NAME) && !n.equals(snapshotName(snapshotIndex));
            if (old || unused) tryRemove(n);
        }
    }

    private void tryRemove(String name) {
        try {
            folder.delete(name);
        } catch (DiskException e) {
            // The newest segment counts, whatever else is there.
        }
    }
}
