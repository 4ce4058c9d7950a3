package craneway.gateway.proxy;

import craneway.data.placement.RunnerPlacer;
import craneway.model.event.Event;
import craneway.model.manifest.Route;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.StatusCodes;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Set;
import org.xnio.XnioExecutor;

/**
 * Handles one client request from the moment its body is complete until its response has ended: selects a runner, sends
 * the request, relays the response, and retries or fails over where the route allows it. A request is sent at most once
 * unless its route allows more. All methods run on the one I/O thread. Times are microseconds.
 */
final class RequestExchange {
    /** How long requests wait on a router that has just started, until its manifest and runners are known. */
    static final long STARTUP_WAIT_MICROS = 1_200_000;

    private static final long CONNECT_TIMEOUT_MICROS = 400_000;

    /** Delay before runner selection is repeated, if no runner is available or the selected one is crowded. */
    private static final long SELECTION_RETRY_DELAY_MICROS = 25_000;

    private final ProxyContext context;
    private final IncomingRequest request;
    private final ResponseRelay response;
    private final ClientDisconnectDetector disconnectDetector;
    private final Route route;
    private final ResponseTiming timing = new ResponseTiming();
    private final Set<String> triedRunnerIds = new HashSet<>();
    private ExchangeState state = ExchangeState.SELECTING_RUNNER;
    private RunnerPlacer.Placement placement;
    private RunnerCall call;
    private long sentAt;
    private String choiceDescription = "";
    private final AttemptHistory attempts = new AttemptHistory();
    private XnioExecutor.Key deadlineTimer;
    private XnioExecutor.Key selectionTimer;

    RequestExchange(
            ProxyContext context,
            HttpServerExchange exchange,
            ClientDisconnectDetector disconnectDetector,
            Route route,
            byte[] body,
            long receivedAt) {
        this.context = context;
        request = new IncomingRequest(exchange, context.names(), route, body, receivedAt);
        this.route = route;
        response = new ResponseRelay(
                new ClientResponse(exchange, this::abandon),
                route,
                context.names().weightVersions());
        this.disconnectDetector = disconnectDetector;
    }

    /** Starts the deadline timer and selects the first runner. */
    void start() {
        context.add(this);
        var now = context.now();
        context.retryBudget().recordRequest(now);
        deadlineTimer = context.schedule(request.deadlineAt - now, this::handleDeadline);
        selectRunner();
    }

    /**
     * Selects a runner and sends the request to it. A first attempt waits for up to 40% of the route's target while the
     * best runner is crowded.
     */
    private void selectRunner() {
        if (state == ExchangeState.FINISHED) return;
        var now = context.now();
        context.refreshRunners();
        if (attempts.sentCount() > 0 && !acquireRetry(now)) {
            fail(StatusCodes.BAD_GATEWAY, "no further try is left");
            return;
        }
        var selected = context.placer().selectRunner(route, request.service, request.prompt, triedRunnerIds, now);
        if (selected == null) waitOrFail(now);
        else if (context.placer().shouldWait(selected, now)
                && now - request.receivedAt < route.firstChunkTarget() * 4 / 10
                && attempts.sentCount() == 0)
            selectionTimer = context.schedule(SELECTION_RETRY_DELAY_MICROS, this::selectRunner);
        else sendTo(selected, now);
    }

    /**
     * Takes one retry from the attempts that the route allows and from the retry budget; returns false if none is left.
     */
    private boolean acquireRetry(long now) {
        return attempts.sentCount() < route.maxAttempts()
                && context.retryBudget()
                        .tryAcquire(context.placer().servingRouters().size(), now);
    }

    /** No runner is available: schedules another selection, or fails if the request has waited for too long. */
    private void waitOrFail(long now) {
        if (response.isStarted()) {
            abortResponse("no runner to go on with");
            return;
        }
        if (attempts.sentCount() > 0 || now - request.receivedAt > maxSelectionWait()) {
            fail(StatusCodes.BAD_GATEWAY, "no runner may take it");
            return;
        }
        triedRunnerIds.clear();
        selectionTimer = context.schedule(SELECTION_RETRY_DELAY_MICROS, this::selectRunner);
    }

    /**
     * How long the request may wait for a runner, in microseconds: a quarter of its route's target but at least 0.1 s,
     * and longer while this router does not know the runners of the service yet.
     */
    private long maxSelectionWait() {
        return context.pool().hasService(request.service)
                ? Math.max(100_000, route.firstChunkTarget() / 4)
                : STARTUP_WAIT_MICROS;
    }

    private void sendTo(RunnerPlacer.Placement selected, long now) {
        placement = selected;
        attempts.start();
        triedRunnerIds.add(selected.runner().id());
        state = ExchangeState.AWAITING_RESPONSE;
        sentAt = now;
        context.placer().recordStart(selected, request.prompt, now);
        context.announcePrefill(selected, request.prompt);
        choiceDescription = selected.describe();
        call = new RunnerCall(
                context.runnerConnections(),
                selected.runner().address(),
                request.headFor(selected, now, response.streamToContinue()),
                request.body,
                new ResponseListener(selected));
        call.start(route.isRepeatable(), CONNECT_TIMEOUT_MICROS);
    }

    private void releaseRunner() {
        if (placement == null) return;
        context.placer().recordEnd(placement, request.prompt);
        placement = null;
    }

    private void recordDataReceived() {
        var now = context.now();
        timing.recordData(now);
        placement.runner().recordHeard(now);
    }

    /** Checks whether the client is still connected and whether the runner still responds. */
    void check(long now) {
        if (disconnectDetector.checkDisconnected()) handleClientDisconnect();
        else if (placement != null) checkRunnerSilence(now);
    }

    /**
     * Abandons the request, unless its route allows only one run and it was sent: such a run continues to its end
     * without its client, since its effect may be half done.
     */
    private void handleClientDisconnect() {
        if (route.kind() != Route.Kind.ONCE || placement == null) abandon();
    }

    /** If the runner is silent, a request that may be repeated fails over to another one; any other keeps waiting. */
    private void checkRunnerSilence(long now) {
        var awaitingResponse = state == ExchangeState.AWAITING_RESPONSE;
        var silent = awaitingResponse
                ? RunnerSilenceDetector.isSilentBeforeResponse(placement, sentAt, now)
                : RunnerSilenceDetector.isSilentDuringResponse(placement, timing.lastDataAt(), now);
        if (!silent) return;
        context.reportSilent(placement.runner());
        if (awaitingResponse ? route.isRepeatable() : response.isResumable()) failOver(now);
    }

    /**
     * Moves the request to another runner, if an attempt, a runner that is not suspected and retry budget are
     * available.
     */
    private void failOver(long now) {
        if (attempts.sentCount() >= route.maxAttempts()) return;
        var selected = context.placer().selectRunner(route, request.service, request.prompt, triedRunnerIds, now);
        if (selected == null
                || selected.runner().isSuspected(now)
                || !context.retryBudget()
                        .tryAcquire(context.placer().servingRouters().size(), now)) return;
        call.cancel();
        releaseRunner();
        if (response.isStarted()) response.resume();
        sendTo(selected, now);
    }

    /** The request is known not to have run on the selected runner: another one may run it. */
    private void handleNotRun() {
        releaseRunner();
        state = ExchangeState.SELECTING_RUNNER;
        selectRunner();
    }

    /** The attempt broke off and may have run: retries or resumes where the route allows it, otherwise fails. */
    private void handleBroken(String cause) {
        releaseRunner();
        state = ExchangeState.SELECTING_RUNNER;
        if (response.isStarted()) {
            if (!response.isResumable()) {
                abortResponse(cause);
                return;
            }
            response.resume();
            selectRunner();
        } else if (route.isRepeatable()) {
            selectRunner();
        } else {
            finish();
            context.logEvent(Event.RESPONSE_CUT_OFF, route.name() + " " + request.tryId + " may have run: " + cause);
            response.sendProblem(StatusCodes.BAD_GATEWAY, null, "the runner broke off; it may have run");
        }
    }

    private void handleDeadline() {
        if (state == ExchangeState.FINISHED) return;
        if (call != null) call.cancel();
        releaseRunner();
        fail(StatusCodes.GATEWAY_TIME_OUT, "the deadline passed");
    }

    /**
     * Ends the request as failed. A started response is aborted.
     *
     * @param statusIfMayHaveRun the status if some attempt may have run; otherwise the response is 503, which promises
     *     that the request has not run
     */
    private void fail(int statusIfMayHaveRun, String cause) {
        if (response.isStarted()) {
            abortResponse(cause);
            return;
        }
        finish();
        if (attempts.mayHaveRun()) response.sendProblem(statusIfMayHaveRun, null, cause);
        else
            response.sendProblem(
                    StatusCodes.SERVICE_UNAVAILABLE,
                    context.retryAfterSeconds(route, request.service),
                    cause + "; it did not run");
    }

    /**
     * Ends the request because this router stops: closes the client's connection, whether a response started or not.
     */
    void stop() {
        if (state == ExchangeState.FINISHED) return;
        if (call != null) call.cancel();
        abortResponse("router is stopping");
    }

    private void abortResponse(String cause) {
        releaseRunner();
        finish();
        context.logEvent(Event.RESPONSE_CUT_OFF, route.name() + " " + request.tryId + ": " + cause);
        response.abort();
    }

    /** Ends the request without a response, since the client has disconnected. */
    private void abandon() {
        if (state == ExchangeState.FINISHED) return;
        if (call != null) call.cancel();
        releaseRunner();
        finish();
    }

    private void finish() {
        state = ExchangeState.FINISHED;
        if (deadlineTimer != null) deadlineTimer.remove();
        if (selectionTimer != null) selectionTimer.remove();
        context.remove(this);
    }

    /** Handles the callbacks of one attempt; ignores them once the request has finished or moved to another runner. */
    private final class ResponseListener implements RunnerCall.Listener {
        private final RunnerPlacer.Placement attemptPlacement;

        ResponseListener(RunnerPlacer.Placement attemptPlacement) {
            this.attemptPlacement = attemptPlacement;
        }

        private boolean isStale() {
            return state == ExchangeState.FINISHED || placement != attemptPlacement;
        }

        @Override
        public void onNotSent(String cause) {
            if (isStale()) return;
            attemptPlacement.runner().markSuspected(context.now());
            attempts.markNeverSent();
            handleNotRun();
        }

        @Override
        public void onHead(int status, HeaderMap headers) {
            if (isStale()) return;
            var names = context.names();
            var outcome = ResponseOutcome.of(status, headers, request.tryId, call.isFreshConnection(), names);
            if (outcome == ResponseOutcome.UNUSABLE) {
                handleUnusableResponse();
                return;
            }
            placement.runner().recordHeard(context.now());
            context.recordLoad(placement.runner(), headers.getFirst(names.runnerLoad()));
            if (outcome == ResponseOutcome.NOT_RUN) {
                if (status == ResponseOutcome.MISDIRECTED_STATUS && !response.expectsWeightVersion())
                    context.markReplaced(placement.runner());
                call.cancel();
                attempts.markRejected();
                handleNotRun();
            } else if (outcome == ResponseOutcome.FAILURE
                    && !response.isStarted()
                    && route.isRepeatable()
                    && status >= StatusCodes.INTERNAL_SERVER_ERROR
                    && attempts.sentCount() < route.maxAttempts()) {
                call.cancel();
                handleBroken("runner responded with status " + status);
            } else {
                startRelaying(status, headers);
            }
        }

        private void handleUnusableResponse() {
            call.cancel();
            handleBroken("runner's response is malformed or belongs to another request");
        }

        private void startRelaying(int status, HeaderMap headers) {
            state = ExchangeState.RELAYING_RESPONSE;
            if (response.startRun(status, headers, request.lastEventId())) return;
            call.cancel();
            abortResponse("stream cannot be resumed: next runner responded with status " + status
                    + " or another weight version");
        }

        @Override
        public void onData(ByteBuffer data) {
            if (isStale()) return;
            recordDataReceived();
            switch (response.relay(data)) {
                case RELAYED -> {}
                case CLIENT_IS_SLOW -> {
                    call.pause();
                    response.whenDrained(call::resume);
                }
                case OUT_OF_SEQUENCE -> {
                    call.cancel();
                    abortResponse("runner's events do not follow the last relayed event");
                }
            }
        }

        @Override
        public void onEnd() {
            if (isStale()) return;
            recordDataReceived();
            if (!call.endedByClose()) completeResponse();
            else if (!response.mayEnd()) onBroken("connection closed within an event");
            else
                context.runnerConnections()
                        .probe(attemptPlacement.runner().address(), CONNECT_TIMEOUT_MICROS, this::handleProbeResult);
        }

        /** A closed connection counts as the end of the response only if its runner is still alive. */
        private void handleProbeResult(boolean alive) {
            if (isStale()) return;
            if (alive) completeResponse();
            else onBroken("connection closed and runner no longer accepts connections");
        }

        private void completeResponse() {
            timing.logIfSlow(context, request, sentAt, attempts.sentCount(), choiceDescription);
            releaseRunner();
            finish();
            response.end();
        }

        @Override
        public void onBroken(String cause) {
            if (isStale()) return;
            context.recordBreak(attemptPlacement.runner(), cause);
            handleBroken(cause);
        }

        @Override
        public void onInternalFault(RuntimeException fault) {
            context.logEvent(Event.INTERNAL_ERROR, route.name() + " " + request.tryId + ": " + fault);
            if (isStale()) return;
            releaseRunner();
            fail(StatusCodes.BAD_GATEWAY, "an internal fault");
        }
    }
}
