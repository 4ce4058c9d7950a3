package craneway.model.problem;

/** What a problem says of the work that was asked for: not run, recorded before, perhaps run, or broken off. */
public enum WorkOutcome {
    DECLINED,
    RECORDED,
    UNKNOWN,
    BROKEN
}
