package craneway.data.request;

import craneway.model.problem.ProblemKind;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

public final class Counts {
    public final AtomicLong taken = new AtomicLong();
    public final AtomicLong forwardedIn = new AtomicLong();
    public final AtomicLong forwardedOut = new AtomicLong();
    public final AtomicLong dispatched = new AtomicLong();
    public final AtomicLong extraTries = new AtomicLong();
    public final AtomicLong whole = new AtomicLong();
    public final AtomicLong cut = new AtomicLong();
    public final AtomicLong buffered = new AtomicLong();
    private final AtomicLongArray verdicts = new AtomicLongArray(ProblemKind.values().length);

    public void verdict(ProblemKind k) {
        verdicts.incrementAndGet(k.ordinal());
    }

    public Map<String, Long> verdicts() {
        var m = new TreeMap<String, Long>();
        for (var k : ProblemKind.values()) if (verdicts.get(k.ordinal()) > 0) m.put(k.name(), verdicts.get(k.ordinal()));
        return m;
    }
}
