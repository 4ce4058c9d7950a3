package craneway.state.part;

/** One entry of the replicated log. The fields are part of the wire format. */
public final class LogEntry {
    /** An empty entry, which a new leader appends to commit the entries of earlier terms. */
    public static final int NO_OP = 0;

    /** A command for the state machine. */
    public static final int COMMAND = 1;

    /** A membership change; the body is an encoded {@link Members}. */
    public static final int MEMBERSHIP = 2;

    public long index;
    public long term;
    /** One of {@link #NO_OP}, {@link #COMMAND} and {@link #MEMBERSHIP}. */
    public int type;

    public byte[] body;

    /** Creates an empty entry to be filled by the decoder. */
    public LogEntry() {}

    /** Creates an entry. */
    public LogEntry(long index, long term, int type, byte[] body) {
        this.index = index;
        this.term = term;
        this.type = type;
        this.body = body;
    }
}
