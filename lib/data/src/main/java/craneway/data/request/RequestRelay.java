package craneway.data.request;

import craneway.data.runner.RunnerLoads;
import craneway.model.problem.Problem;
import craneway.model.problem.ProblemKind;
import craneway.model.problem.WorkOutcome;
import craneway.state.message.Node;
import craneway.state.record.Rows;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Carries one request between its client and the runner or router that serves it: makes the calls that the
 * {@link RequestExecutor} decides on, reports their results to it, and streams the response to the client.
 *
 * <p>The methods of {@link RequestOutput} may be called from any thread. Everything else runs on the thread of the
 * exchange, and so do the results of calls.
 */
public final class RequestRelay implements RequestOutput {
    private final Request request;
    private final RequestExecutor executor;
    private final RunnerLoads loads;
    private final LongSupplier clock;
    private final String routerName;
    private final HttpExchange exchange;
    private HttpExchange.OutgoingCall call;
    private Rows.Runner runner;
    private SseScanner scanner;
    private int attempt;
    private int responseStatus;
    private boolean streaming;
    private boolean finished;

    /**
     * Creates the relay of one request.
     *
     * @param clock the steady clock, in microseconds
     * @param routerName the name of this router
     */
    public RequestRelay(
            Request request,
            RequestExecutor executor,
            RunnerLoads loads,
            LongSupplier clock,
            String routerName,
            HttpExchange exchange) {
        this.request = request;
        this.executor = executor;
        this.loads = loads;
        this.clock = clock;
        this.routerName = routerName;
        this.exchange = exchange;
    }

    /** Passes the request to the executor, which decides what happens with it. */
    public void start() {
        executor.accept(request, this);
    }

    /** Returns whether the response to the client has ended. */
    public boolean isFinished() {
        return finished;
    }

    @Override
    public void dispatchToRunner(int attemptNumber, Rows.Runner target) {
        exchange.runLater(() -> sendToRunner(attemptNumber, target));
    }

    @Override
    public void forwardToRouter(int attemptNumber, Node target) {
        exchange.runLater(() -> sendToRouter(attemptNumber, target));
    }

    @Override
    public void endWithProblem(Problem problem) {
        exchange.runLater(() -> finish(problem, false));
    }

    @Override
    public void cutStream(Problem problem) {
        exchange.runLater(() -> finish(problem, true));
    }

    private void sendToRunner(int attemptNumber, Rows.Runner target) {
        var headers = commonHeaders();
        headers.put(HttpExchange.TRANSACTION_HEADER, routerName + "/" + request.id());
        if (!request.regions().isEmpty()) headers.put(HttpExchange.REGIONS_HEADER, String.join(",", request.regions()));
        send(attemptNumber, target, target.address, HttpExchange.RUNNER_PATH, headers);
    }

    private void sendToRouter(int attemptNumber, Node target) {
        var headers = commonHeaders();
        headers.put(HttpExchange.HOP_HEADER, "1");
        if (!request.regions().isEmpty()) headers.put(HttpExchange.REGIONS_HEADER, String.join(",", request.regions()));
        send(attemptNumber, null, target.peerAddress, HttpExchange.ROUTER_PATH, headers);
    }

    private Map<String, String> commonHeaders() {
        var headers = new HashMap<String, String>();
        headers.put(HttpExchange.TENANT_HEADER, request.tenant());
        headers.put(HttpExchange.WORK_HEADER, request.work());
        if (!request.idempotencyKey().isEmpty()) headers.put(HttpExchange.KEY_HEADER, request.idempotencyKey());
        headers.put(
                HttpExchange.DEADLINE_MS_HEADER,
                Long.toString(Math.max(1, (request.deadlineMicros() - clock.getAsLong()) / 1000)));
        return headers;
    }

    /** Makes the call of an attempt, if the executor still allows it; {@code target} is null for a forward. */
    private void send(int attemptNumber, Rows.Runner target, String address, String path, Map<String, String> headers) {
        if (finished || !executor.confirmDispatch(request.id(), attemptNumber)) return;
        if (target != null) executor.addVersionHeaders(request.service(), headers);
        if (call != null) call.cancel();
        attempt = attemptNumber;
        runner = target;
        responseStatus = 0;
        scanner = new SseScanner();
        call = exchange.openCall(address, path, headers, request.body(), new HttpExchange.ResponseListener() {
            /**
             * Runs a step on the thread of the exchange, unless another attempt has begun or the response ended.
             */
            private void runIfCurrent(Runnable step) {
                exchange.runLater(() -> {
                    if (!finished && attempt == attemptNumber) step.run();
                });
            }

            @Override
            public void onRefused() {
                runIfCurrent(() -> executor.onNotRun(request.id(), attemptNumber, Problem.of(ProblemKind.NO_PATH)));
            }

            @Override
            public void onStatus(int code, Map<String, String> responseHeaders) {
                runIfCurrent(() -> handleStatus(code, responseHeaders));
            }

            @Override
            public void onChunk(byte[] bytes) {
                runIfCurrent(() -> handleChunk(bytes));
            }

            @Override
            public void onEnd() {
                runIfCurrent(RequestRelay.this::handleEnd);
            }

            @Override
            public void onBroken() {
                runIfCurrent(() -> executor.onAttemptBroken(request.id(), attemptNumber));
            }
        });
    }

    private void handleStatus(int code, Map<String, String> headers) {
        responseStatus = code;
        if (runner != null && isNumber(headers.get(HttpExchange.LOAD_HEADER)))
            loads.recordLoadReport(
                    runner.name, Integer.parseInt(headers.get(HttpExchange.LOAD_HEADER)), clock.getAsLong());
        if (code == 200) return;
        call.cancel();
        if (runner != null) handleRunnerError(code);
        else handleRouterError(headers);
    }

    private static boolean isNumber(String text) {
        return text != null && text.matches("\\d{1,9}");
    }

    /**
     * Status 503 or 429 means that the runner has not run the request, and any other 4xx that it rejects the
     * request for good. After any other status, the request may have run.
     */
    private void handleRunnerError(int code) {
        if (code == 503 || code == 429) executor.onNotRun(request.id(), attempt, Problem.of(ProblemKind.BUSY));
        else if (code >= 400 && code < 500)
            executor.onRejected(
                    request.id(),
                    attempt,
                    Problem.of(ProblemKind.BAD_FIELD, "the runner rejected the request with status " + code));
        else executor.onAttemptBroken(request.id(), attempt);
    }

    /** Without a known problem code, the request may have run. */
    private void handleRouterError(Map<String, String> headers) {
        var kind = isNumber(headers.get(HttpExchange.PROBLEM_HEADER))
                ? ProblemKind.find(Integer.parseInt(headers.get(HttpExchange.PROBLEM_HEADER)))
                : null;
        if (kind == null) {
            executor.onAttemptBroken(request.id(), attempt);
            return;
        }
        var problem = new Problem(
                kind,
                kind.text(),
                isNumber(headers.get(HttpExchange.RETRY_MICROS_HEADER))
                        ? Long.parseLong(headers.get(HttpExchange.RETRY_MICROS_HEADER))
                        : 0);
        if (kind.workOutcome() == WorkOutcome.DECLINED) executor.onNotRun(request.id(), attempt, problem);
        else if (kind.workOutcome() == WorkOutcome.BROKEN
                && request.idempotencyKey().isEmpty()) executor.onAttemptBroken(request.id(), attempt);
        else executor.onRejected(request.id(), attempt, problem);
    }

    private void handleChunk(byte[] bytes) {
        if (responseStatus != 200 || !ensureStreaming()) return;
        scanner.scan(bytes, bytes.length);
        executor.onProgress(request.id(), scanner.eventCount());
        if (!exchange.writeChunk(bytes)) executor.onClientDisconnected(request.id());
        else if (scanner.isComplete()) complete();
        else call.acknowledgeChunk();
    }

    private void complete() {
        executor.onStreamCompleted(request.id(), attempt);
        finished = true;
        exchange.endResponse();
    }

    /**
     * Starts the response to the client with the first chunk; returns false if the executor no longer allows that.
     */
    private boolean ensureStreaming() {
        if (streaming) return true;
        if (!executor.onStreamStarted(request.id(), attempt)) return false;
        streaming = true;
        exchange.startResponse();
        return true;
    }

    private void handleEnd() {
        if (responseStatus != 0 && responseStatus != 200) return;
        if (streaming && scanner.isDone()) complete();
        else executor.onAttemptBroken(request.id(), attempt);
    }

    private void finish(Problem problem, boolean cut) {
        if (finished) return;
        finished = true;
        if (call != null) call.cancel();
        if (streaming || cut) exchange.abortResponse(problem, streaming);
        else exchange.sendProblem(problem);
    }
}
