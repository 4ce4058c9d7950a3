package craneway.model.problem;

import static craneway.model.problem.WorkOutcome.BROKEN;
import static craneway.model.problem.WorkOutcome.DECLINED;
import static craneway.model.problem.WorkOutcome.RECORDED;
import static craneway.model.problem.WorkOutcome.UNKNOWN;

/** The closed list of kinds of problems. Numbers and names are part of the interface; see docs/problems.md. */
public enum ProblemKind {
    BAD_JSON(101, 400, DECLINED, "the body is not well-formed JSON"),
    BAD_FIELD(102, 400, DECLINED, "a field is unknown or has the wrong type or value"),
    MISSING_TENANT(103, 400, DECLINED, "no tenant was named"),
    UNKNOWN_SERVICE(104, 404, DECLINED, "the manifest has no such service"),
    UNKNOWN_WORK(105, 400, DECLINED, "the service has no such kind of work"),
    RUN_ONCE_WITHOUT_KEY(106, 400, DECLINED, "work that may run only once needs a key"),
    NO_HOME_REGION(107, 403, DECLINED, "no region satisfies both the tenant's home and the transaction"),
    TOO_LARGE(108, 413, DECLINED, "the body is larger than the manifest allows"),
    DEADLINE_PASSED(109, 504, DECLINED, "the deadline had passed before the work could start"),
    NO_SUCH_PAGE(110, 404, DECLINED, "there is nothing at this path"),
    WRONG_METHOD(111, 405, DECLINED, "this path does not take that method"),
    BUSY(201, 503, DECLINED, "every buffer that could hold this is full"),
    NO_RUNNER(202, 503, DECLINED, "no runner of the home cell can take work now"),
    CUT_OFF(203, 503, DECLINED, "this node has lost touch with the core"),
    NOT_HOME(204, 421, DECLINED, "the unit is not at home here at the current table version"),
    STOPPING(205, 503, DECLINED, "this node is stopping"),
    NO_MANIFEST(206, 503, DECLINED, "no manifest has been taken yet"),
    QUOTA_SPENT(207, 429, DECLINED, "the tenant's quota for this minute is spent"),
    TRIES_SPENT(208, 503, DECLINED, "no further try is allowed now"),
    NO_PATH(209, 503, DECLINED, "no router of the home region can be reached"),
    CLAIMS_LOST(
            210,
            503,
            DECLINED,
            "the core was rebuilt and may have lost claims; run-once work waits for an operator or for the claims to run out"),
    IN_PROGRESS(301, 409, RECORDED, "work under this key is running or was started"),
    ALREADY_DONE(302, 409, RECORDED, "work under this key has been done"),
    OUTCOME_UNKNOWN(303, 409, UNKNOWN, "work under this key may have run; it will not be run again"),
    RUN_BROKEN(304, 502, BROKEN, "the work was started and broke off"),
    BAD_MANIFEST(401, 422, DECLINED, "the manifest is not valid"),
    RACE_LOST(402, 409, DECLINED, "the base version is not the version in force"),
    NO_OWNER(403, 503, DECLINED, "the part has no leader that can be reached"),
    BAD_INTENT(404, 422, DECLINED, "the intent cannot be met"),
    UNKNOWN_PLAN(405, 404, DECLINED, "there is no such plan"),
    STALE_PLAN(406, 409, DECLINED, "the plan's base has moved; ask for a new plan"),
    BAD_OPERATOR_INPUT(407, 400, DECLINED, "the operator's input cannot be read"),
    DISK_FULL(408, 507, DECLINED, "the store's disk is full"),
    NOT_OWNER(501, 421, DECLINED, "this store does not lead the part"),
    STALE_TABLE(502, 409, DECLINED, "the write carries another table version than the one in force"),
    NOT_UNIT_HOME(503, 409, DECLINED, "the write comes from a region that is not the unit's home"),
    STALE_RUNNER(504, 409, DECLINED, "the runner's incarnation is older than the one known"),
    BAD_MESSAGE(505, 400, DECLINED, "the message between processes cannot be read"),
    FOREIGN_CORE(506, 403, DECLINED, "the message belongs to another core or version"),
    STALE_MEMBER(507, 409, DECLINED, "the node's incarnation is older than the one known"),
    UNCERTAIN(508, 503, UNKNOWN, "the part's leader did not reply; the write may or may not stand"),
    LATE_COMMAND(509, 503, DECLINED, "the command came after its bound by the leader's clock; this copy has no effect"),
    UNKNOWN_LIFE(510, 503, DECLINED, "the leader knows no such life of a process; the command has no effect"),
    STALE_CALL(511, 503, DECLINED, "this node was held up and cannot tell whether the caller still waits");

    private final int code;
    private final int status;
    private final WorkOutcome workOutcome;
    private final String text;

    ProblemKind(int code, int status, WorkOutcome workOutcome, String text) {
        this.code = code;
        this.status = status;
        this.workOutcome = workOutcome;
        this.text = text;
    }

    /** Returns the number that identifies the kind to callers and other processes. */
    public int code() {
        return code;
    }

    /** Returns the HTTP status of a response that reports the problem. */
    public int status() {
        return status;
    }

    /** Returns what the problem says about the requested work. */
    public WorkOutcome workOutcome() {
        return workOutcome;
    }

    /** Returns the message used when there is no more specific detail. */
    public String text() {
        return text;
    }

    /** Returns whether the same request may succeed later. */
    public boolean isTransient() {
        return status == 503 || status == 429 || status == 507 || this == NOT_HOME;
    }

    /** Returns the kind with this number, or null if there is none. */
    public static ProblemKind find(int code) {
        for (var kind : values()) if (kind.code == code) return kind;
        return null;
    }

    /**
     * Returns the kind with this number.
     *
     * @throws IllegalArgumentException if there is no such kind
     */
    public static ProblemKind of(int code) {
        var kind = find(code);
        if (kind == null) throw new IllegalArgumentException("unknown problem code " + code);
        return kind;
    }
}
