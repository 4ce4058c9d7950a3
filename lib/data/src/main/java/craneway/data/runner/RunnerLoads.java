package craneway.data.runner;

import craneway.state.record.Rows;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

public final class RunnerLoads {
    public static final long RECENT_ANNOUNCEMENT_MICROS = 2_500_000;
    private static final long REPORT_FRESH = 1_500_000, EJECTED = 1_000_000;

    private static final class Load {
        long incarnation = Long.MIN_VALUE;
        long since;
        int running;
        int others;
        long reportedAt = Long.MIN_VALUE / 2;
        long heard = Long.MIN_VALUE / 2;
        long heardIncarnation = Long.MIN_VALUE;
        long ejectedAt = Long.MIN_VALUE;
        long ejectedUntil = Long.MIN_VALUE / 2;
        boolean leaving;
    }

    private final Map<String, Load> loads = new ConcurrentHashMap<>();

    private Load of(String runner) {
        return loads.computeIfAbsent(runner, k -> new Load());
    }

    public void registerIncarnation(Rows.Runner r, long now) {
        var l = of(r.name);
        synchronized (l) {
            if (l.incarnation >= r.incarnation) return;
            l.incarnation = r.incarnation;
            l.since = now;
            l.leaving = false;
            l.ejectedUntil = now;
            l.ejectedAt = Long.MIN_VALUE;
            l.reportedAt = Long.MIN_VALUE / 2;
        }
    }

    public void recordAnnouncement(String runner, long incarnation, int load, long now) {
        var l = of(runner);
        synchronized (l) {
            if (incarnation < l.incarnation) return;
            l.heard = now;
            l.heardIncarnation = incarnation;
        }
        recordLoadReport(runner, load, now);
    }

    public void recordLoadReport(String runner, int load, long now) {
        var l = of(runner);
        synchronized (l) {
            l.others = Math.max(0, load - l.running);
            l.reportedAt = now;
        }
    }

    public void markLeaving(String runner, long incarnation) {
        var l = of(runner);
        synchronized (l) {
            if (incarnation >= l.incarnation) l.leaving = true;
        }
    }

    public void eject(String runner, long now) {
        var l = of(runner);
        synchronized (l) {
            l.ejectedAt = now;
            l.ejectedUntil = now + EJECTED;
        }
    }

    public void recordStart(String runner) {
        var l = of(runner);
        synchronized (l) {
            l.running++;
        }
    }

    public void recordEnd(String runner) {
        var l = of(runner);
        synchronized (l) {
            l.running--;
        }
    }

    public int requestsInFlight(String runner) {
        var l = of(runner);
        synchronized (l) {
            return l.running;
        }
    }

    public int currentLoad(String runner, long now) {
        var l = of(runner);
        synchronized (l) {
            return now - l.reportedAt < REPORT_FRESH ? l.running + l.others : l.running;
        }
    }

    public boolean isUsable(Rows.Runner r, long now) {
        var l = of(r.name);
        synchronized (l) {
            var left = l.leaving && l.incarnation >= r.incarnation;
            var heardSince = l.ejectedAt == Long.MIN_VALUE || l.heard > l.ejectedAt;
            return !left && now >= l.ejectedUntil && heardSince && l.heardIncarnation <= r.incarnation;
        }
    }

    public boolean announcedRecently(String runner, long now) {
        var l = of(runner);
        synchronized (l) {
            return now - l.heard < RECENT_ANNOUNCEMENT_MICROS;
        }
    }

    public int usableSlots(Rows.Runner r, long warmUp, long now) {
        registerIncarnation(r, now);
        var l = of(r.name);
        synchronized (l) {
            var past = now - l.since;
            if (!r.cold || past >= warmUp) return r.slots;
            return Math.max(1, (int) (r.slots * past / warmUp));
        }
    }
}
