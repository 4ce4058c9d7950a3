package craneway.gateway.proxy;

import craneway.data.placement.RunnerPlacer;

/** Decides when a runner that has a request counts as silent. Times are microseconds. No I/O. */
final class RunnerSilenceDetector {
    /** How long a runner may take to respond, in addition to twice the estimated cost of the request. */
    private static final long FIRST_RESPONSE_MARGIN_MICROS = 300_000;

    /** How long a runner that has started to respond may send nothing. */
    private static final long MAX_RESPONSE_GAP_MICROS = 600_000;

    private RunnerSilenceDetector() {}

    /**
     * Whether a runner that has not started to respond has been silent for too long. A runner that has sent data for
     * another request since this one was sent is not silent.
     */
    static boolean isSilentBeforeResponse(RunnerPlacer.Placement placement, long sentAt, long now) {
        var maxSilence = FIRST_RESPONSE_MARGIN_MICROS + 2 * placement.costMicros();
        var lastHeardAt = placement.runner().lastHeardAt();
        return now - sentAt >= maxSilence && now - lastHeardAt >= maxSilence && lastHeardAt <= sentAt;
    }

    /** Whether a runner that has started to respond has been silent for too long, on this request and all others. */
    static boolean isSilentDuringResponse(RunnerPlacer.Placement placement, long lastDataAt, long now) {
        return now - lastDataAt >= MAX_RESPONSE_GAP_MICROS
                && now - placement.runner().lastHeardAt() >= MAX_RESPONSE_GAP_MICROS;
    }
}
