package craneway.state.part;

import java.util.ArrayList;
import java.util.List;

/**
 * A message between two stores of a part's group. Which fields are set depends on the kind. The order of the fields is
 * the wire format.
 */
public final class PartMessage {
    /** Asks whether the receiver would vote for the sender in {@link #term}. */
    public static final int PRE_VOTE = 1;

    /** Answers {@link #PRE_VOTE}; {@link #index} is the current term of the answering voter. */
    public static final int PRE_VOTE_REPLY = 2;

    /**
     * Asks for a vote in {@link #term}. If {@link #granted} is set, the election is unconditional, and the voter does
     * not ignore the request because of a leader it heard.
     */
    public static final int VOTE = 3;

    /** Answers {@link #VOTE}. */
    public static final int VOTE_REPLY = 4;

    /** Carries entries that follow {@link #index}, or none as a heartbeat. */
    public static final int APPEND = 5;

    /** Answers {@link #APPEND} and completed snapshots; {@link #index} is the matching index or, if refused, a hint. */
    public static final int APPEND_REPLY = 6;

    /** Carries a whole snapshot. */
    public static final int SNAPSHOT = 7;

    /** Tells the receiver to start an election at once, to complete a leadership transfer. */
    public static final int TIMEOUT_NOW = 8;

    /** Carries one piece of a snapshot. */
    public static final int SNAPSHOT_PIECE = 9;

    /** Answers {@link #SNAPSHOT_PIECE} with the number of bytes held. */
    public static final int SNAPSHOT_PIECE_REPLY = 10;

    public int part;
    public int kind;
    public long from;
    public long to;
    public long term;
    /** A log index: the entry before {@link #entries}, the candidate's last entry, or the matching index of a reply. */
    public long index;
    /** The term of the entry at {@link #index}. */
    public long logTerm;
    /** The leader's commit index. */
    public long commitIndex;
    /** When the request was sent, in microseconds of its sender's clock; a reply returns it unchanged. */
    public long sentAt;

    public boolean granted;
    public List<LogEntry> entries = new ArrayList<>();
    public Snapshot wholeSnapshot;
    /** Whether the answering voter has just started, so that its pre-vote counts only if all voters agree. */
    public boolean recentlyStarted;
    /** Whether the sender supports snapshots in pieces; false from a process too old to say. */
    public boolean supportsSnapshotPieces;
    /** The piece of a {@link #SNAPSHOT_PIECE}, or the number of bytes held in a {@link #SNAPSHOT_PIECE_REPLY}. */
    public SnapshotPiece snapshotPiece;
}
