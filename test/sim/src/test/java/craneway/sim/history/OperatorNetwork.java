package craneway.sim.history;

import craneway.sim.Simulation;
import craneway.sim.history.OperatorEndpoint.Request;
import craneway.sim.history.OperatorEndpoint.Response;
import java.util.function.Consumer;

/**
 * The operators' connections to stores. A call or its response may be lost; a call may be delayed and be read seconds
 * later, when its caller has given up, which also happens at a store that was frozen. A store whose process ends resets
 * its connections; one without power is silent.
 */
final class OperatorNetwork {
    private static final long MAX_READ_DELAY_MICROS = 190_000;
    private static final long MIN_LATENCY_MICROS = 1_000;
    private static final long LATENCY_SPREAD_MICROS = 500;
    private static final long MAX_LATE_DELAY_MICROS = 5_000_000;

    private final StoreFleet fleet;
    private final Simulation sim;
    private final OperatorEndpoint endpoint;
    double lostCallShare;
    double lostAnswerShare;
    double lateCallShare;

    /** A call that is read later than this after it was sent is dropped; see {@link HistoryRun#withLateReads}. */
    long maxReadDelayMicros = MAX_READ_DELAY_MICROS;

    /** Whether stores refuse zone commands whose caller has given up, as the platform's process does. */
    boolean pauseGuardEnabled = true;

    OperatorNetwork(StoreFleet fleet, OperatorEndpoint endpoint) {
        this.fleet = fleet;
        this.endpoint = endpoint;
        sim = fleet.sim;
    }

    /** Sends a call; {@code callback} runs once or never. */
    void call(StoreNode node, Request request, Consumer<Response> callback) {
        var session = node.session();
        var sentAt = sim.now();
        if (sim.random.nextDouble() < lostCallShare) return;
        var extraDelay =
                sim.random.nextDouble() < lateCallShare ? (long) (sim.random.nextDouble() * MAX_LATE_DELAY_MICROS) : 0;
        sim.scheduleAfter(drawLatency() + extraDelay, () -> {
            if (node.isRunning() && node.session() == session) read(node, request, sentAt, callback);
            else if (node.hasPower()) callback.accept(Response.BROKEN);
        });
    }

    private void read(StoreNode node, Request request, long sentAt, Consumer<Response> callback) {
        Runnable reset = () -> sim.scheduleAfter(drawLatency(), () -> callback.accept(Response.BROKEN));
        node.registerConnection(reset);
        node.run(() -> {
            if (sim.now() - sentAt > maxReadDelayMicros) return;
            var callerGaveUp = pauseGuardEnabled
                    && request.isZoneCommand()
                    && (sim.now() - sentAt >= OperatorCall.ATTEMPT_TIMEOUT_MICROS || !node.mayCallerBeWaiting());
            if (callerGaveUp) respond(node, Response.of(503), reset, callback);
            else endpoint.handle(node, request, response -> respond(node, response, reset, callback));
        });
    }

    private void respond(StoreNode node, Response response, Runnable reset, Consumer<Response> callback) {
        node.unregisterConnection(reset);
        if (sim.random.nextDouble() >= lostAnswerShare)
            sim.scheduleAfter(drawLatency(), () -> callback.accept(response));
    }

    private long drawLatency() {
        return MIN_LATENCY_MICROS + (long) (sim.random.nextDouble() * LATENCY_SPREAD_MICROS);
    }

    StoreNode node(String name) {
        return fleet.node(name);
    }
}
