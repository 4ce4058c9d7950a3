package craneway.state.disk;

import java.util.List;

/** What was read of a segment: its core (0 if it names none), its snapshot, and its records up to a torn tail. */
record SegmentContents(
        int coreHash, long snapshotIndex, long snapshotTerm, List<LogRecord> records, boolean allSynced) {}
