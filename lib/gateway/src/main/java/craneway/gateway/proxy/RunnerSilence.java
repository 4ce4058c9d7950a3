package craneway.gateway.proxy;

import craneway.data.placement.RunnerPlacer;

/** When a runner that has a request counts as silent. Times are microseconds. Decides without I/O. */
final class RunnerSilence {
    private static final long FIRST = 300_000;
    private static final long GAP = 600_000;

    private RunnerSilence() {}

    /**
     * Whether a runner that has not begun to answer has been silent for too long; one that spoke to another request since is not.
     */
    static boolean beforeItsAnswer(RunnerPlacer.Placement choice, long sentAt, long now) {
        var bound = FIRST + 2 * choice.costMicros();
        var heardAt = choice.runner().lastHeardAt();
        return now - sentAt >= bound && now - heardAt >= bound && heardAt <= sentAt;
    }

    /** Whether a runner that has begun to answer has been silent for too long, to this request and to all others. */
    static boolean withinItsAnswer(RunnerPlacer.Placement choice, long heardAt, long now) {
        return now - heardAt >= GAP && now - choice.runner().lastHeardAt() >= GAP;
    }
}
