package craneway.state.disk;

import java.util.List;

/**
 * What was read from a segment: the hash of its core's id (0 if it names none), its snapshot, its valid records up to a
 * torn tail, and whether all of them are known to be synced.
 */
record SegmentContents(
        int coreHash, long snapshotIndex, long snapshotTerm, List<LogRecord> records, boolean allSynced) {}
