package craneway.gateway.proxy;

import craneway.model.manifest.Route;

/** Records when the pieces of one response arrived, and logs slow responses. Times are microseconds. */
final class ResponseTiming {
    private long firstDataAt;
    private long lastDataAt;
    private long longestGap;

    /** Records that a piece of the response, or its end, arrived. */
    void recordData(long now) {
        if (firstDataAt == 0) firstDataAt = now;
        else longestGap = Math.max(longestGap, now - lastDataAt);
        lastDataAt = now;
    }

    long lastDataAt() {
        return lastDataAt;
    }

    /** Whether the first piece or the longest gap between pieces took longer than the route's targets. */
    private boolean isSlow(Route route, long receivedAt) {
        return firstDataAt - receivedAt > route.firstChunkTarget()
                || route.gapTarget() != 0 && longestGap > route.gapTarget();
    }

    /** Logs the response if it was slow. */
    void logIfSlow(
            ProxyContext context, IncomingRequest request, long sentAt, int sentCount, String choiceDescription) {
        if (!isSlow(request.route, request.receivedAt)) return;
        context.logSlowResponse(request.route.name() + " " + describe(request.receivedAt, sentAt) + ", sent "
                + sentCount + ", tokens " + request.prompt.promptTokens() + ", " + choiceDescription);
    }

    private String describe(long receivedAt, long sentAt) {
        return "first " + (firstDataAt - receivedAt) / 1000 + " ms, sent after " + (sentAt - receivedAt) / 1000
                + " ms, pause " + longestGap / 1000 + " ms";
    }
}
