package craneway.model.event;

/** All events that a process logs. A number never changes its meaning; see docs/events.md. */
public enum Event {
    STARTED(1001, "process started"),
    STOPPING(1002, "gentle stop began"),
    STOPPED(1003, "process stopped"),
    INVALID_SETTINGS(1004, "startup values are wrong"),
    CORE_BOOTSTRAPPED(1101, "core founded"),
    WAITING_TO_BOOTSTRAP(1102, "not founding yet"),
    JOINED_CORE(1103, "an empty store joins an existing core as a learner"),
    CORE_REBUILT(1104, "this store rebuilt the core as a new generation"),
    GENERATION_SUPERSEDED(1105, "a newer generation of the core lives; this node follows it"),
    PART_RECOVERED(1206, "a part goes on from this store's log alone"),
    LEADER(1201, "this store leads a part"),
    LEADERSHIP_LOST(1202, "this store no longer leads a part"),
    MEMBERS_CHANGED(1203, "a part's group changed"),
    SNAPSHOT_TAKEN(1204, "snapshot written and log cut"),
    SNAPSHOT_LOADED(1205, "snapshot from the leader loaded"),
    SNAPSHOT_REJECTED(1207, "a snapshot or a piece of one was refused"),
    DATA_DIRECTORY_DAMAGED(1301, "data folder damaged; it is set aside and this store starts empty"),
    DISK_WRITE_FAILED(1302, "disk write failed"),
    LEASE_ACQUIRED(1401, "lease held at a part"),
    LEASE_LAPSED(1402, "lease at a part lapsed"),
    MEMBER_LEASE_LAPSED(1403, "a member's lease lapsed"),
    MANIFEST_APPLIED(1501, "manifest in force on this node"),
    TABLE_APPLIED(1502, "table in force on this node"),
    MOVE_STEP(1601, "units moved in one step"),
    ZONE_EMPTIED(1602, "zone emptied"),
    ZONE_TAKEN_BACK(1603, "zone taken back"),
    MOVE_STEP_CANCELLED(1604, "a move stopped"),
    CELL_LOAD_CHANGED(1605, "a cell filled or calmed; units are displaced or may go back"),
    RUNNER_UP(1701, "runner announced"),
    RUNNER_LEAVING(1702, "runner leaving"),
    RUNNER_DARK(1703, "runner gone dark"),
    BAD_MESSAGE(1801, "message between processes declined"),
    LATE_COMMAND(1802, "late copy of a command declined"),
    UNKNOWN_INSTANCE(1803, "command of an unknown life declined"),
    STALE_REPLY(1804, "answer to an earlier life of this address dropped"),
    STALE_CALL(1805, "order declined whose caller may have gone"),
    RESPONSE_CUT_OFF(1901, "stream cut"),
    SLOW_RESPONSE(1902, "answer later than its target"),
    INTERNAL_ERROR(1999, "unexpected problem inside");

    private final int code;
    private final String text;

    Event(int code, String text) {
        this.code = code;
        this.text = text;
    }

    /** The number, written as CWnnnn. */
    public int code() {
        return code;
    }

    /** What happened, in a few words. */
    public String text() {
        return text;
    }
}
