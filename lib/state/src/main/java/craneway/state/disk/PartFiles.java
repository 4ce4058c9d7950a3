package craneway.state.disk;

import craneway.state.message.Codec;
import craneway.state.part.Snapshot;
import java.util.List;

/** The files of one part in the folder of a store: segments by their number, snapshots by their index, and a mark. */
final class PartFiles {
    private static final String SEGMENT = "log.";
    private static final String SNAPSHOT = "image.";
    private static final String MARK = "mark";

    private final Folder folder;
    private final String prefix;

    PartFiles(Folder folder, String prefix) {
        this.folder = folder;
        this.prefix = prefix;
    }

    String segment(int number) {
        return prefix + SEGMENT + number;
    }

    String snapshot(long index) {
        return prefix + SNAPSHOT + index;
    }

    /** The numbers of all segments, from the lowest. */
    List<Integer> segments() {
        return folder.fileNames().stream()
                .filter(n -> n.matches("\\Q" + prefix + SEGMENT + "\\E\\d+"))
                .map(n -> Integer.parseInt(n.substring(n.lastIndexOf('.') + 1)))
                .sorted()
                .toList();
    }

    /** What was read of the newest segment, or null in a folder that never had one. */
    SegmentContents newest() {
        var all = segments();
        var mark = SyncMark.decode(folder.read(prefix + MARK));
        var newest = all.isEmpty() ? 0 : all.get(all.size() - 1);
        if (mark != null && mark.segment() > newest) throw new DiskLostException(segment(mark.segment()) + ": missing");
        if (newest > 0) return new SegmentReader(segment(newest), newest, folder.read(segment(newest)), mark).read();
        if (folder.fileNames().stream().anyMatch(n -> n.startsWith(prefix + SNAPSHOT)))
            throw new DiskLostException(prefix + SEGMENT + ": missing beside a snapshot");
        return null;
    }

    /** Leaves a mark; its loss is borne, since the records themselves prove what was synced before them. */
    void mark(SyncMark mark) {
        try {
            folder.overwrite(prefix + MARK, mark.encode());
        } catch (DiskException e) {
            // A full or failing disk shows at the next append.
        }
    }

    void write(Snapshot i) {
        folder.replace(snapshot(i.index), ChecksumEnvelope.wrap(Codec.encode(i)));
    }

    Snapshot read(long index, long term) {
        var b = folder.read(snapshot(index));
        if (b == null) throw new DiskLostException(snapshot(index) + ": missing");
        var i = Codec.decode(Snapshot.class, ChecksumEnvelope.unwrap(snapshot(index), b));
        if (i.index != index || i.term != term)
            throw new DiskLostException(snapshot(index) + ": of another index or term");
        return i;
    }

    /** Removes all segments and snapshots but those named; what cannot be removed is left to the next time. */
    void removeBut(int segment, long snapshotIndex) {
        for (var n : folder.fileNames()) {
            var old = n.startsWith(prefix + SEGMENT) && !n.equals(segment(segment));
            var unused = n.startsWith(prefix + SNAPSHOT) && !n.equals(snapshot(snapshotIndex));
            if (old || unused) remove(n);
        }
    }

    private void remove(String name) {
        try {
            folder.delete(name);
        } catch (DiskException e) {
            // The newest segment counts, whatever else is there.
        }
    }
}
