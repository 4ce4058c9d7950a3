package craneway.data.request;

import craneway.model.problem.ProblemKind;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

public final class RequestCounters {
    public final AtomicLong accepted = new AtomicLong();
    public final AtomicLong forwardedIn = new AtomicLong();
    public final AtomicLong forwardedOut = new AtomicLong();
    public final AtomicLong dispatched = new AtomicLong();
    public final AtomicLong retries = new AtomicLong();
    public final AtomicLong completedStreams = new AtomicLong();
    public final AtomicLong cutStreams = new AtomicLong();
    public final AtomicLong buffered = new AtomicLong();
    private final AtomicLongArray problemCounts = new AtomicLongArray(ProblemKind.values().length);

    public void countProblem(ProblemKind k) {
        problemCounts.incrementAndGet(k.ordinal());
    }

    public Map<String, Long> problemCounts() {
        var m = new TreeMap<String, Long>();
        for (var k : ProblemKind.values())
            if (problemCounts.get(k.ordinal()) > 0) m.put(k.name(), problemCounts.get(k.ordinal()));
        return m;
    }
}
