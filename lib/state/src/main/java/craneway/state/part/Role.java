package craneway.state.part;

/** The role of a store in a group. */
public enum Role {
    /** Accepts entries from a leader, or waits to hear one. */
    FOLLOWER,
    /** Asks the voters whether they would vote for it. */
    PRE_CANDIDATE,
    /** Asks for votes in a new term. */
    CANDIDATE,
    /** Accepts proposals and replicates its log. */
    LEADER,
    /** The log cannot be written; the store takes no part until its disk works again. */
    DISK_FAILED
}
