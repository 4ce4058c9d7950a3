package craneway.data.runner;

import craneway.state.record.Rows;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * What this router knows of each runner by its own requests and by the announcements that the runner sends it:
 * load, last announcement, ejection after a failure, and leave. Times are microseconds of the steady clock.
 * Thread-safe.
 */
public final class RunnerLoads {
    /** An announcement at most this old counts as recent. */
    public static final long RECENT_ANNOUNCEMENT_MICROS = 2_500_000;

    /** A load report older than this is ignored. */
    private static final long REPORT_VALID_MICROS = 1_500_000;

    /** How long a runner gets no requests after a failure; it must also announce itself again. */
    private static final long EJECTION_DURATION_MICROS = 1_000_000;

    private static final class LoadState {
        long incarnation = Long.MIN_VALUE;
        long firstSeenAt;
        int inFlight;
        int othersInFlight;
        long reportedAt = Long.MIN_VALUE / 2;
        long announcedAt = Long.MIN_VALUE / 2;
        long announcedIncarnation = Long.MIN_VALUE;
        long ejectedAt = Long.MIN_VALUE;
        long ejectedUntil = Long.MIN_VALUE / 2;
        boolean leaving;
    }

    private final Map<String, LoadState> loadsByRunner = new ConcurrentHashMap<>();

    private LoadState loadOf(String runner) {
        return loadsByRunner.computeIfAbsent(runner, k -> new LoadState());
    }

    /** Records that the core lists this runner; a new incarnation restarts warm-up and ends ejection and leave. */
    public void registerIncarnation(Rows.Runner runner, long now) {
        var load = loadOf(runner.name);
        synchronized (load) {
            if (load.incarnation >= runner.incarnation) return;
            load.incarnation = runner.incarnation;
            load.firstSeenAt = now;
            load.leaving = false;
            load.ejectedUntil = now;
            load.ejectedAt = Long.MIN_VALUE;
            load.reportedAt = Long.MIN_VALUE / 2;
        }
    }

    /** Records an announcement of a runner with its total load; one of an earlier incarnation is ignored. */
    public void recordAnnouncement(String runner, long incarnation, int totalLoad, long now) {
        var load = loadOf(runner);
        synchronized (load) {
            if (incarnation < load.incarnation) return;
            load.announcedAt = now;
            load.announcedIncarnation = incarnation;
        }
        recordLoadReport(runner, totalLoad, now);
    }

    /** Records a runner's total load, this router's requests included, as the runner reported it. */
    public void recordLoadReport(String runner, int totalLoad, long now) {
        var load = loadOf(runner);
        synchronized (load) {
            load.othersInFlight = Math.max(0, totalLoad - load.inFlight);
            load.reportedAt = now;
        }
    }

    /** Records that this incarnation of a runner is leaving; if a newer one is known, that is ignored. */
    public void markLeaving(String runner, long incarnation) {
        var load = loadOf(runner);
        synchronized (load) {
            if (incarnation >= load.incarnation) load.leaving = true;
        }
    }

    /** Excludes a runner after a failure, for a second and until it announces itself again. */
    public void eject(String runner, long now) {
        var load = loadOf(runner);
        synchronized (load) {
            load.ejectedAt = now;
            load.ejectedUntil = now + EJECTION_DURATION_MICROS;
        }
    }

    /** Records that a request of this router is sent to a runner. */
    public void recordStart(String runner) {
        var load = loadOf(runner);
        synchronized (load) {
            load.inFlight++;
        }
    }

    /** Records that a request of this router no longer runs on a runner. */
    public void recordEnd(String runner) {
        var load = loadOf(runner);
        synchronized (load) {
            load.inFlight--;
        }
    }

    /** Returns how many requests of this router a runner has. */
    public int requestsInFlight(String runner) {
        var load = loadOf(runner);
        synchronized (load) {
            return load.inFlight;
        }
    }

    /** Returns how many requests a runner has: those of this router and, from a recent report, those of others. */
    public int currentLoad(String runner, long now) {
        var load = loadOf(runner);
        synchronized (load) {
            return now - load.reportedAt < REPORT_VALID_MICROS ? load.inFlight + load.othersInFlight : load.inFlight;
        }
    }

    /**
     * Returns whether requests may be sent to this incarnation of a runner: it is not leaving, is not ejected, has
     * announced itself since its last failure, and no newer incarnation has announced itself.
     */
    public boolean isUsable(Rows.Runner runner, long now) {
        var load = loadOf(runner.name);
        synchronized (load) {
            var isLeaving = load.leaving && load.incarnation >= runner.incarnation;
            var announcedSinceFailure = load.ejectedAt == Long.MIN_VALUE || load.announcedAt > load.ejectedAt;
            return !isLeaving
                    && now >= load.ejectedUntil
                    && announcedSinceFailure
                    && load.announcedIncarnation <= runner.incarnation;
        }
    }

    /**
     * Returns whether a runner announced itself to this router within the last
     * {@link RunnerLoads#RECENT_ANNOUNCEMENT_MICROS} microseconds.
     */
    public boolean announcedRecently(String runner, long now) {
        var load = loadOf(runner);
        synchronized (load) {
            return now - load.announcedAt < RECENT_ANNOUNCEMENT_MICROS;
        }
    }

    /**
     * Returns how many slots of a runner all routers together may use now. For a cold runner the number rises
     * linearly from 1 to all slots over the warm-up time, counted from when this router first saw the incarnation.
     */
    public int usableSlots(Rows.Runner runner, long warmUpMicros, long now) {
        registerIncarnation(runner, now);
        var load = loadOf(runner.name);
        synchronized (load) {
            var sinceFirstSeen = now - load.firstSeenAt;
            if (!runner.cold || sinceFirstSeen >= warmUpMicros) return runner.slots;
            return Math.max(1, (int) (runner.slots * sinceFirstSeen / warmUpMicros));
        }
    }
}
