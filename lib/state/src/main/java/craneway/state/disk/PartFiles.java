package craneway.state.disk;

import craneway.state.message.Codec;
import craneway.state.part.Snapshot;
import java.util.List;

/** The files of one part in the folder of a store: segments by number, snapshots by index, and one sync mark. */
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

    String segmentName(int segmentNumber) {
        return prefix + SEGMENT_NAME + segmentNumber;
    }

    String snapshotName(long index) {
        return prefix + SNAPSHOT_NAME + index;
    }

    /** Returns the numbers of all segments in ascending order. */
    List<Integer> segmentNumbers() {
        return folder.fileNames().stream()
                .filter(name -> name.matches("\\Q" + prefix + SEGMENT_NAME + "\\E\\d+"))
                .map(name -> Integer.parseInt(name.substring(name.lastIndexOf('.') + 1)))
                .sorted()
                .toList();
    }

    /** Reads the newest segment; returns null if the folder never had one. */
    SegmentContents readNewestSegment() {
        var numbers = segmentNumbers();
        var mark = SyncMark.decode(folder.read(prefix + SYNC_MARK_NAME));
        var newest = numbers.isEmpty() ? 0 : numbers.get(numbers.size() - 1);
        if (mark != null && mark.segmentNumber() > newest)
            throw new DiskLostException(segmentName(mark.segmentNumber()) + ": missing");
        if (newest > 0)
            return new SegmentReader(segmentName(newest), newest, folder.read(segmentName(newest)), mark).read();
        if (folder.fileNames().stream().anyMatch(name -> name.startsWith(prefix + SNAPSHOT_NAME)))
            throw new DiskLostException(prefix + SEGMENT_NAME + ": missing although a snapshot exists");
        return null;
    }

    /** Writes the sync mark. A failure is ignored, because the records themselves prove what was synced before them. */
    void writeSyncMark(SyncMark mark) {
        try {
            folder.overwrite(prefix + SYNC_MARK_NAME, mark.encode());
        } catch (DiskException e) {
            // A full or failing disk is reported by the next append.
        }
    }

    void writeSnapshot(Snapshot snapshot) {
        folder.replace(snapshotName(snapshot.index), ChecksumEnvelope.wrap(Codec.encode(snapshot)));
    }

    Snapshot readSnapshot(long index, long term) {
        var bytes = folder.read(snapshotName(index));
        if (bytes == null) throw new DiskLostException(snapshotName(index) + ": missing");
        var snapshot = Codec.decode(Snapshot.class, ChecksumEnvelope.unwrap(snapshotName(index), bytes));
        if (snapshot.index != index || snapshot.term != term)
            throw new DiskLostException(snapshotName(index) + ": belongs to another index or term");
        return snapshot;
    }

    /** Removes all other segments and snapshots. A file that cannot be removed is left for the next time. */
    void removeAllExcept(int segmentNumber, long snapshotIndex) {
        for (var name : folder.fileNames()) {
            var isOldSegment = name.startsWith(prefix + SEGMENT_NAME) && !name.equals(segmentName(segmentNumber));
            var isUnusedSnapshot = name.startsWith(prefix + SNAPSHOT_NAME) && !name.equals(snapshotName(snapshotIndex));
            if (isOldSegment || isUnusedSnapshot) tryRemove(name);
        }
    }

    private void tryRemove(String name) {
        try {
            folder.delete(name);
        } catch (DiskException e) {
            // Only the newest segment is read, so leftover files do no harm.
        }
    }
}
