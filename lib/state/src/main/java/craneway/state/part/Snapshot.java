package craneway.state.part;

/** The state of a part up to an entry of its log. The fields are part of the wire format and of the snapshot files. */
public final class Snapshot {
    /** The index of the last entry that the snapshot includes. */
    public long index;
    /** The term of that entry. */
    public long term;
    /** The membership in force at that entry. */
    public Members members = new Members();
    /** The encoded state of the state machine. */
    public byte[] body;
}
