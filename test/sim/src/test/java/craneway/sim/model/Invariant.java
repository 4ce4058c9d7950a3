package craneway.sim.model;

/** What must hold after every step of the consensus group. */
enum Invariant {
    /** At most one member leads in each term. */
    ONE_LEADER_A_TERM,
    /** Entries with the same index and term have the same content and the same predecessor. */
    LOGS_MATCH,
    /** A committed entry is synced to disk on a majority of the voters. */
    COMMITTED_ON_MAJORITY,
    /** A leader holds every entry that was committed in an earlier term. */
    LEADER_COMPLETE,
    /** A leader that holds its lease has applied every committed entry, so that it may answer reads. */
    FRESH_LEADER_IS_CURRENT,
    /** A member votes for at most one candidate in each term. */
    ONE_VOTE_A_TERM,
    /** After a restart a member has at least the term and the vote that it sent to others. */
    TERM_NEVER_GOES_BACK,
    /** All members apply the same entries with the same results. */
    SAME_APPLIED_EVERYWHERE,
    /** At most one membership change is uncommitted, and only after an entry of the leader's own term is committed. */
    ONE_CHANGE_AT_A_TIME,
    /** A disk that lost nothing that was synced is never taken for a damaged one. */
    HEALTHY_DISK_IS_KEPT,
    /** No call of a member throws. */
    PROBLEMS_ARE_CONTAINED,
    /** After all faults the leader has applied everything that was ever committed. */
    ACKNOWLEDGED_STAYS,
    /** After all faults a leader serves again in time. */
    SERVES_AGAIN
}
