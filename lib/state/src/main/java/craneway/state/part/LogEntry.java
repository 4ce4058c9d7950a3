package craneway.state.part;

public final class LogEntry {
    public static final int NO_OP = 0, COMMAND = 1, MEMBERSHIP = 2;

    public long index;
    public long term;
    public int type;
    public byte[] body;

    public LogEntry() {}

    public LogEntry(long index, long term, int type, byte[] body) {
        this.index = index;
        this.term = term;
        this.type = type;
        this.body = body;
    }
}
