package craneway.state.part;

import java.util.ArrayList;
import java.util.List;

public final class PartMessage {
    public static final int PRE_VOTE = 1,
            PRE_VOTE_REPLY = 2,
            VOTE = 3,
            VOTE_REPLY = 4,
            APPEND = 5,
            APPEND_REPLY = 6,
            SNAPSHOT = 7,
            TIMEOUT_NOW = 8,
            SNAPSHOT_PIECE = 9,
            SNAPSHOT_PIECE_REPLY = 10;

    public int part;
    public int kind;
    public long from;
    public long to;
    public long term;
    public long index;
    public long logTerm;
    public long commitIndex;
    public long sentAt;
    public boolean granted;
    public List<LogEntry> entries = new ArrayList<>();
    public Snapshot wholeSnapshot;
    public boolean recentlyStarted;
    /** Whether the sender reads snapshots in pieces; false where an older process does not tell. */
    public boolean supportsSnapshotPieces;
    /** The piece of a SNAPSHOT_PIECE, or how much of it is held in a SNAPSHOT_PIECE_REPLY. */
    public SnapshotPiece snapshotPiece;
}
