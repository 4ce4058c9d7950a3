package craneway.data.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** The usage records of the latest requests that ended in this router, oldest first. Thread-safe. */
public final class UsageLog {
    /** When more requests have ended, the oldest records are dropped. */
    private static final int MAX_ROWS = 50_000;

    /**
     * The usage record of one request. {@link Row#number} rises by one with each record. {@link Row#runner} is the
     * runner of the last attempt, empty if there was none, and {@link Row#tokens} the number of data events that it
     * streamed. Times are microseconds of the steady clock; {@link Row#firstDataAtMicros} is 0 if no response began.
     */
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
    private long rowCount;

    synchronized void add(RequestState state, String region, String outcome, long now) {
        rows.add(new Row(
                ++rowCount,
                state.request.tenant(),
                state.request.service(),
                state.request.work(),
                region,
                state.lastRunnerName,
                state.streamedTokens,
                outcome,
                state.acceptedAt,
                state.firstDataAt,
                now));
        if (rows.size() > MAX_ROWS) rows.poll();
    }

    /** Returns the records with a number above {@code number}, oldest first, at most {@code maxRows} of them. */
    public synchronized List<Row> rowsAfter(long number, int maxRows) {
        var selected = new ArrayList<Row>();
        for (var row : rows) if (row.number > number && selected.size() < maxRows) selected.add(row);
        return selected;
    }
}
