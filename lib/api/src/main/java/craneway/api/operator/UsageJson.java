package craneway.api.operator;

import craneway.data.request.UsageLog;
import craneway.http.JsonResponses;

/** Writes the usage records of a router as JSON. */
public final class UsageJson {
    /** The most records in one response. */
    public static final int MAX_ROWS = 1_000;

    private UsageJson() {}

    /**
     * Returns a page of usage records as JSON.
     *
     * @param router the name of the router
     * @param after the number of the last record that the caller has
     * @param wallClockOffset what to add to a time of the monotonic clock to get the wall clock time, in microseconds
     */
    public static String of(String router, UsageLog usage, long after, long wallClockOffset) {
        var root = JsonResponses.JSON.createObjectNode();
        root.put("router", router);
        var rows = root.putArray("rows");
        for (var row : usage.rowsAfter(after, MAX_ROWS))
            rows.addObject()
                    .put("no", row.number())
                    .put("tenant", row.tenant())
                    .put("service", row.service())
                    .put("work", row.work())
                    .put("region", row.region())
                    .put("runner", row.runner())
                    .put("tokens", row.tokens())
                    .put("verdict", row.outcome())
                    .put("takenAt", row.acceptedAtMicros() + wallClockOffset)
                    .put("firstAt", row.firstDataAtMicros() == 0 ? 0 : row.firstDataAtMicros() + wallClockOffset)
                    .put("endedAt", row.endedAtMicros() + wallClockOffset);
        return root.toString();
    }
}
