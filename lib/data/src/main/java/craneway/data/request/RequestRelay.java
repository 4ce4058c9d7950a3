package craneway.data.request;

import craneway.data.runner.Loads;
import craneway.model.problem.WorkOutcome;
import craneway.model.problem.ProblemKind;
import craneway.model.problem.Problem;
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
    private final Loads loads;
    private final LongSupplier clock;
    private final String routerName;
    private final HttpExchange exchange;
    private HttpExchange.Call call;
    private Rows.Runner runner;
    private StreamScan scanner;
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
            Loads loads,
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
    public void begin() {
        executor.take(request, this);
    }

    /** Returns whether the response to the client has ended. */
    public boolean over() {
        return finished;
    }

    @Override
    public void serve(int attemptNumber, Rows.Runner target) {
        exchange.later(() -> sendToRunner(attemptNumber, target));
    }

    @Override
    public void forward(int attemptNumber, Node target) {
        exchange.later(() -> sendToRouter(attemptNumber, target));
    }

    @Override
    public void verdict(Problem problem) {
        exchange.later(() -> finish(problem, false));
    }

    @Override
    public void cut(Problem problem) {
        exchange.later(() -> finish(problem, true));
    }

    private void sendToRunner(int attemptNumber, Rows.Runner target) {
        var headers = commonHeaders();
        headers.put(HttpExchange.TRANSACTION, routerName + "/" + request.id());
        if (!request.regions().isEmpty()) headers.put(HttpExchange.REGIONS, String.join(",", request.regions()));
        send(attemptNumber, target, target.address, HttpExchange.TO_RUNNER, headers);
    }

    private void sendToRouter(int attemptNumber, Node target) {
        var headers = commonHeaders();
        headers.put(HttpExchange.HOP, "1");
        if (!request.regions().isEmpty()) headers.put(HttpExchange.REGIONS, String.join(",", request.regions()));
        send(attemptNumber, null, target.peerAddress, HttpExchange.TO_ROUTER, headers);
    }

    private Map<String, String> commonHeaders() {
        var headers = new HashMap<String, String>();
        headers.put(HttpExchange.TENANT, request.tenant());
        headers.put(HttpExchange.WORK, request.work());
        if (!request.key().isEmpty()) headers.put(HttpExchange.KEY, request.key());
        headers.put(HttpExchange.DEADLINE, Long.toString(Math.max(1, (request.deadline() - clock.getAsLong()) / 1000)));
        return headers;
    }

    /** Makes the call of an attempt, if the executor still allows it; {@code target} is null for a forward. */
    private void send(int attemptNumber, Rows.Runner target, String address, String path, Map<String, String> headers) {
        if (finished || !executor.clear(request.id(), attemptNumber)) return;
        if (target != null) executor.stamp(request.service(), headers);
        if (call != null) call.cancel();
        attempt = attemptNumber;
        runner = target;
        responseStatus = 0;
        scanner = new StreamScan();
        call = exchange.open(address, path, headers, request.body(), new HttpExchange.Sink() {
            /**
             * Runs a step on the thread of the exchange, unless another attempt has begun or the response ended.
             */
            private void runIfCurrent(Runnable step) {
                exchange.later(() -> {
                    if (!finished && attempt == attemptNumber) step.run();
                });
            }

            @Override
            public void refused() {
                runIfCurrent(() -> executor.notRun(request.id(), attemptNumber, Problem.of(ProblemKind.NO_PATH)));
            }

            @Override
            public void status(int code, Map<String, String> responseHeaders) {
                runIfCurrent(() -> handleStatus(code, responseHeaders));
            }

            @Override
            public void chunk(byte[] bytes) {
                runIfCurrent(() -> handleChunk(bytes));
            }

            @Override
            public void end() {
                runIfCurrent(RequestRelay.this::handleEnd);
            }

            @Override
            public void broken() {
                runIfCurrent(() -> executor.broken(request.id(), attemptNumber));
            }
        });
    }

    private void handleStatus(int code, Map<String, String> headers) {
        responseStatus = code;
        if (runner != null && isNumber(headers.get(HttpExchange.LOAD)))
            loads.reported(runner.name, Integer.parseInt(headers.get(HttpExchange.LOAD)), clock.getAsLong());
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
        if (code == 503 || code == 429) executor.notRun(request.id(), attempt, Problem.of(ProblemKind.BUSY));
        else if (code >= 400 && code < 500)
            executor.refusedWork(
                    request.id(),
                    attempt,
                    Problem.of(ProblemKind.BAD_FIELD, "the runner rejected the request with status " + code));
        else executor.broken(request.id(), attempt);
    }

    /** Without a known problem code, the request may have run. */
    private void handleRouterError(Map<String, String> headers) {
        var kind = isNumber(headers.get(HttpExchange.PROBLEM))
                ? ProblemKind.find(Integer.parseInt(headers.get(HttpExchange.PROBLEM)))
                : null;
        if (kind == null) {
            executor.broken(request.id(), attempt);
            return;
        }
        var problem = new Problem(
                kind,
                kind.text(),
                isNumber(headers.get(HttpExchange.RETRY_MICROS))
                        ? Long.parseLong(headers.get(HttpExchange.RETRY_MICROS))
                        : 0);
        if (kind.workOutcome() == WorkOutcome.DECLINED) executor.notRun(request.id(), attempt, problem);
        else if (kind.workOutcome() == WorkOutcome.BROKEN && request.key().isEmpty()) executor.broken(request.id(), attempt);
        else executor.refusedWork(request.id(), attempt, problem);
    }

    private void handleChunk(byte[] bytes) {
        if (responseStatus != 200 || !ensureStreaming()) return;
        scanner.accept(bytes, bytes.length);
        executor.progress(request.id(), scanner.events());
        if (!exchange.write(bytes)) executor.gone(request.id());
        else if (scanner.whole()) complete();
        else call.took();
    }

    private void complete() {
        executor.whole(request.id(), attempt);
        finished = true;
        exchange.whole();
    }

    /**
     * Starts the response to the client with the first chunk; returns false if the executor no longer allows that.
     */
    private boolean ensureStreaming() {
        if (streaming) return true;
        if (!executor.opened(request.id(), attempt)) return false;
        streaming = true;
        exchange.start();
        return true;
    }

    private void handleEnd() {
        if (responseStatus != 0 && responseStatus != 200) return;
        if (streaming && scanner.done()) complete();
        else executor.broken(request.id(), attempt);
    }

    private void finish(Problem problem, boolean cut) {
        if (finished) return;
        finished = true;
        if (call != null) call.cancel();
        if (streaming || cut) exchange.cut(problem, streaming);
        else exchange.verdict(problem);
    }
}
