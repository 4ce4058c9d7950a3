package craneway.data.request;

import craneway.model.problem.ProblemKind;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/** Running totals of one router's requests since it started, for its metrics. Thread-safe. */
public final class RequestCounters {
    /** Requests accepted, including those forwarded by another router. */
    public final AtomicLong accepted = new AtomicLong();

    /** Requests accepted that were forwarded by another router. */
    public final AtomicLong forwardedIn = new AtomicLong();

    /** Requests forwarded to another router, counted once for each attempt. */
    public final AtomicLong forwardedOut = new AtomicLong();

    /** Requests sent to a runner, counted once for each attempt. */
    public final AtomicLong dispatched = new AtomicLong();

    /** Attempts beyond the first. */
    public final AtomicLong retries = new AtomicLong();

    /** Streams passed to the client to their end. */
    public final AtomicLong completedStreams = new AtomicLong();

    /** Streams that ended before they were complete. */
    public final AtomicLong cutStreams = new AtomicLong();

    /** How often a request was put into the buffer. */
    public final AtomicLong buffered = new AtomicLong();

    private final AtomicLongArray problemsByKind = new AtomicLongArray(ProblemKind.values().length);

    /** Counts a request that ended with this kind of problem. */
    public void countProblem(ProblemKind kind) {
        problemsByKind.incrementAndGet(kind.ordinal());
    }

    /** Returns the number of requests that ended with each kind of problem, by the kind's name, without zeros. */
    public Map<String, Long> problemCounts() {
        var countsByName = new TreeMap<String, Long>();
        for (var kind : ProblemKind.values())
            if (problemsByKind.get(kind.ordinal()) > 0)
                countsByName.put(kind.name(), problemsByKind.get(kind.ordinal()));
        return countsByName;
    }
}
