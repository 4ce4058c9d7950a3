package craneway.gateway.proxy;

import craneway.model.manifest.Route;

/** When the pieces of one answer came. Times are microseconds. */
final class AnswerTiming {
    private long firstAt;
    private long heardAt;
    private long gap;

    void heard(long now) {
        if (firstAt == 0) firstAt = now;
        else gap = Math.max(gap, now - heardAt);
        heardAt = now;
    }

    long heardAt() {
        return heardAt;
    }

    /** Whether the first piece or a pause took longer than the route's targets. */
    private boolean slow(Route route, long begun) {
        return firstAt - begun > route.firstChunkTarget() || route.gapTarget() != 0 && gap > route.gapTarget();
    }

    /** Tells of an answer that was slow. */
    void tellSlow(RequestContext all, IncomingRequest request, long sentAt, int sent, String choice) {
        if (!slow(request.route, request.begun)) return;
        all.slow(request.route.name() + " " + about(request.begun, sentAt) + ", sent " + sent + ", tokens "
                + request.prompt.promptTokens() + ", " + choice);
    }

    private String about(long begun, long sentAt) {
        return "first " + (firstAt - begun) / 1000 + " ms, sent after " + (sentAt - begun) / 1000 + " ms, pause "
                + gap / 1000 + " ms";
    }
}
