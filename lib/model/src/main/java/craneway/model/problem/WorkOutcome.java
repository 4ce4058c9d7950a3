package craneway.model.problem;

/** What a problem says about the requested work: whether it was run. */
public enum WorkOutcome {
    /** The work was not started. */
    DECLINED,
    /** An earlier request with the same key started the work. */
    RECORDED,
    /** The work may or may not have been run. */
    UNKNOWN,
    /** The work was started and broke off. */
    BROKEN
}
