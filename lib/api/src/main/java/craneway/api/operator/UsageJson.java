package craneway.api.operator;

import craneway.data.request.Usage;
import craneway.http.JsonResponses;

public final class UsageJson {
    public static final int MAX_ROWS = 1_000;

    private UsageJson() {}

    public static String of(String router, Usage usage, long after, long wallLessNow) {
        var n = JsonResponses.JSON.createObjectNode();
        n.put("router", router);
        var all = n.putArray("rows");
        for (var r : usage.after(after, MAX_ROWS))
            all.addObject()
                    .put("no", r.no())
                    .put("tenant", r.tenant())
                    .put("service", r.service())
                    .put("work", r.work())
                    .put("region", r.region())
                    .put("runner", r.runner())
                    .put("tokens", r.tokens())
                    .put("verdict", r.verdict())
                    .put("takenAt", r.takenAt() + wallLessNow)
                    .put("firstAt", r.firstAt() == 0 ? 0 : r.firstAt() + wallLessNow)
                    .put("endedAt", r.endedAt() + wallLessNow);
        return n.toString();
    }
}
