package craneway.gateway.proxy;

import java.util.ArrayList;
import java.util.List;

/**
 * What is known of each time a request was handed to a runner. An answer that promises that the request has not run and
 * never will may be given only where that is known of every attempt. Decides without I/O.
 */
final class Attempts {
    /** What is known of one attempt. */
    enum Fate {
        /** It was handed on, and nothing says that it has not run: it may have run, or may still. */
        MAY_HAVE_RUN,
        /** No byte of it left this process, and none will. */
        NEVER_LEFT,
        /** The runner's own word that it has not run it and will not. */
        TURNED_AWAY
    }

    private final List<Fate> fates = new ArrayList<>(2);

    /** An attempt begins; until something else is known of it, it may run. */
    void begin() {
        fates.add(Fate.MAY_HAVE_RUN);
    }

    /** The last attempt ended before a byte of it left. */
    void neverLeft() {
        settle(Fate.NEVER_LEFT);
    }

    /** The runner said of the last attempt that it has not run. */
    void turnedAway() {
        settle(Fate.TURNED_AWAY);
    }

    private void settle(Fate fate) {
        var last = fates.size() - 1;
        if (last < 0 || fates.get(last) != Fate.MAY_HAVE_RUN) throw new IllegalStateException(fates + ", " + fate);
        fates.set(last, fate);
    }

    /** How many reached a runner, or may have; only these count against a route's tries. */
    int sent() {
        var n = 0;
        for (var f : fates) if (f != Fate.NEVER_LEFT) n++;
        return n;
    }

    /** Whether any of them may have run: then no answer may promise that the request has not. */
    boolean mayHaveRun() {
        return fates.contains(Fate.MAY_HAVE_RUN);
    }
}
