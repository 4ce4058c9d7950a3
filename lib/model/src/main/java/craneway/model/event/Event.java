package craneway.model.event;

/** All events that a process logs. The number of an event never changes its meaning; see docs/events.md. */
public enum Event {
    STARTED(1001, "process started"),
    STOPPING(1002, "graceful shutdown started"),
    STOPPED(1003, "process stopped"),
    INVALID_SETTINGS(1004, "startup settings are invalid"),
    CORE_BOOTSTRAPPED(1101, "core bootstrapped"),
    WAITING_TO_BOOTSTRAP(1102, "core not bootstrapped yet"),
    JOINED_CORE(1103, "this empty store joined an existing core as a learner"),
    CORE_REBUILT(1104, "this store rebuilt the core as a new generation"),
    GENERATION_SUPERSEDED(1105, "core generation superseded; this node follows the newer one"),
    PART_RECOVERED(1206, "part recovered from this store's log alone"),
    LEADER(1201, "this store became leader of a part"),
    LEADERSHIP_LOST(1202, "this store is no longer leader of a part"),
    MEMBERS_CHANGED(1203, "members of a part's group changed"),
    SNAPSHOT_TAKEN(1204, "snapshot written and log truncated"),
    SNAPSHOT_LOADED(1205, "snapshot from the leader installed"),
    SNAPSHOT_REJECTED(1207, "snapshot or snapshot chunk rejected"),
    DATA_DIRECTORY_DAMAGED(1301, "data directory damaged; it was set aside and this store starts empty"),
    DISK_WRITE_FAILED(1302, "disk write failed"),
    LEASE_ACQUIRED(1401, "lease acquired for a part"),
    LEASE_LAPSED(1402, "lease for a part lapsed"),
    MEMBER_LEASE_LAPSED(1403, "a member's lease lapsed"),
    MANIFEST_APPLIED(1501, "manifest applied on this node"),
    TABLE_APPLIED(1502, "placement table applied on this node"),
    MOVE_STEP(1601, "units moved in one step"),
    ZONE_EMPTIED(1602, "zone emptied"),
    ZONE_TAKEN_BACK(1603, "zone returned to service"),
    MOVE_STEP_CANCELLED(1604, "move step dropped or rolled back"),
    CELL_LOAD_CHANGED(1605, "cell overloaded or recovered; units are displaced or may return"),
    RUNNER_UP(1701, "runner announced"),
    RUNNER_LEAVING(1702, "runner leaving"),
    RUNNER_DARK(1703, "runner went dark after missed heartbeats"),
    BAD_MESSAGE(1801, "message from another process rejected"),
    LATE_COMMAND(1802, "late copy of a command rejected"),
    UNKNOWN_INSTANCE(1803, "command from an unknown process instance rejected"),
    STALE_REPLY(1804, "reply to an earlier process instance at this address dropped"),
    STALE_CALL(1805, "request rejected because its caller may have given up"),
    RESPONSE_CUT_OFF(1901, "response cut off"),
    SLOW_RESPONSE(1902, "response later than its target"),
    INTERNAL_ERROR(1999, "unexpected internal error");

    private final int code;
    private final String text;

    Event(int code, String text) {
        this.code = code;
        this.text = text;
    }

    /** Returns the number, which log lines show as CWnnnn. */
    public int code() {
        return code;
    }

    /** Returns a short description of what happened. */
    public String text() {
        return text;
    }
}
