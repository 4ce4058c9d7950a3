package craneway.api.operator;

import craneway.data.request.UsageLog;
import craneway.http.JsonResponses;

public final class UsageJson {
    public static final int MAX_ROWS = 1_000;

    private UsageJson() {}

    public static String of(String router, UsageLog usage, long after, long wallLessNow) {
        var n = JsonResponses.JSON.createObjectNode();
        n.put("router", router);
        var all = n.putArray("rows");
        for (var r : usage.rowsAfter(after, MAX_ROWS))
            all.addObject()
                    .put("no", r.number())
                    .put("tenant", r.tenant())
                    .put("service", r.service())
                    .put("work", r.work())
                    .put("region", r.region())
                    .put("runner", r.runner())
                    .put("tokens", r.tokens())
                    .put("verdict", r.outcome())
                    .put("takenAt", r.acceptedAtMicros() + wallLessNow)
                    .put("firstAt", r.firstDataAtMicros() == 0 ? 0 : r.firstDataAtMicros() + wallLessNow)
                    .put("endedAt", r.endedAtMicros() + wallLessNow);
        return n.toString();
    }
}
