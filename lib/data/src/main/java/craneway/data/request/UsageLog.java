package craneway.data.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

public final class UsageLog {
    private static final int MOST = 50_000;

    public record Row(
            long number,
            String tenant,
            String service,
            String work,
            String region,
            String runner,
            int tokens,
            String outcome,
            long acceptedAtMicros,
            long firstDataAtMicros,
            long endedAtMicros) {}

    private final Deque<Row> rows = new ArrayDeque<>();
    private long count;

    synchronized void add(RequestState c, String region, String verdict, long now) {
        rows.add(new Row(
                ++count,
                c.t.tenant(),
                c.t.service(),
                c.t.work(),
                region,
                c.ranOn,
                c.tokens,
                verdict,
                c.takenAt,
                c.firstAt,
                now));
        if (rows.size() > MOST) rows.poll();
    }

    public synchronized List<Row> rowsAfter(long no, int most) {
        var all = new ArrayList<Row>();
        for (var r : rows) if (r.number > no && all.size() < most) all.add(r);
        return all;
    }
}
