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

public final class RequestRelay implements RequestOutput {
    private final Request t;
    private final RequestExecutor executor;
    private final RunnerLoads loads;
    private final LongSupplier now;
    private final String router;
    private final HttpExchange wire;
    private HttpExchange.OutgoingCall call;
    private Rows.Runner runner;
    private SseScanner scan;
    private int attempt;
    private int status;
    private boolean streaming;
    private boolean isFinished;

    public RequestRelay(
            Request t, RequestExecutor executor, RunnerLoads loads, LongSupplier now, String router, HttpExchange wire) {
        this.t = t;
        this.executor = executor;
        this.loads = loads;
        this.now = now;
        this.router = router;
        this.wire = wire;
    }

    public void start() {
        executor.accept(t, this);
    }

    public boolean isFinished() {
        return isFinished;
    }

    @Override
    public void dispatchToRunner(int no, Rows.Runner r) {
        wire.runLater(() -> serveNow(no, r));
    }

    @Override
    public void forwardToRouter(int no, Node r) {
        wire.runLater(() -> forwardNow(no, r));
    }

    @Override
    public void endWithProblem(Problem p) {
        wire.runLater(() -> finish(p, false));
    }

    @Override
    public void cutStream(Problem p) {
        wire.runLater(() -> finish(p, true));
    }

    private void serveNow(int no, Rows.Runner r) {
        var h = headers();
        h.put(HttpExchange.TRANSACTION_HEADER, router + "/" + t.id());
        if (!t.regions().isEmpty()) h.put(HttpExchange.REGIONS_HEADER, String.join(",", t.regions()));
        open(no, r, r.address, HttpExchange.RUNNER_PATH, h);
    }

    private void forwardNow(int no, Node r) {
        var h = headers();
        h.put(HttpExchange.HOP_HEADER, "1");
        if (!t.regions().isEmpty()) h.put(HttpExchange.REGIONS_HEADER, String.join(",", t.regions()));
        open(no, null, r.peerAddress, HttpExchange.ROUTER_PATH, h);
    }

    private Map<String, String> headers() {
        var h = new HashMap<String, String>();
        h.put(HttpExchange.TENANT_HEADER, t.tenant());
        h.put(HttpExchange.WORK_HEADER, t.work());
        if (!t.idempotencyKey().isEmpty()) h.put(HttpExchange.KEY_HEADER, t.idempotencyKey());
        h.put(HttpExchange.DEADLINE_MS_HEADER, Long.toString(Math.max(1, (t.deadlineMicros() - now.getAsLong()) / 1000)));
        return h;
    }

    private void open(int no, Rows.Runner r, String address, String path, Map<String, String> h) {
        if (isFinished || !executor.confirmDispatch(t.id(), no)) return;
        if (r != null) executor.addVersionHeaders(t.service(), h);
        if (call != null) call.cancel();
        attempt = no;
        runner = r;
        status = 0;
        scan = new SseScanner();
        call = wire.openCall(address, path, h, t.body(), new HttpExchange.ResponseListener() {
            private void post(Runnable step) {
                wire.runLater(() -> {
                    if (!isFinished && attempt == no) step.run();
                });
            }

            @Override
            public void onRefused() {
                post(() -> executor.onNotRun(t.id(), no, Problem.of(ProblemKind.NO_PATH)));
            }

            @Override
            public void onStatus(int code, Map<String, String> headers) {
                post(() -> statusCame(code, headers));
            }

            @Override
            public void onChunk(byte[] b) {
                post(() -> chunkCame(b));
            }

            @Override
            public void onEnd() {
                post(RequestRelay.this::endCame);
            }

            @Override
            public void onBroken() {
                post(() -> executor.onAttemptBroken(t.id(), no));
            }
        });
    }

    private void statusCame(int code, Map<String, String> h) {
        status = code;
        if (runner != null && isNumber(h.get(HttpExchange.LOAD_HEADER)))
            loads.recordLoadReport(runner.name, Integer.parseInt(h.get(HttpExchange.LOAD_HEADER)), now.getAsLong());
        if (code == 200) return;
        call.cancel();
        if (runner != null) runnerSaid(code);
        else peerSaid(h);
    }

    private static boolean isNumber(String s) {
        return s != null && s.matches("\\d{1,9}");
    }

    private void runnerSaid(int code) {
        if (code == 503 || code == 429) executor.onNotRun(t.id(), attempt, Problem.of(ProblemKind.BUSY));
        else if (code >= 400 && code < 500)
            executor.onRejected(
                    t.id(),
                    attempt,
                    Problem.of(ProblemKind.BAD_FIELD, "the runner declined the body with status " + code));
        else executor.onAttemptBroken(t.id(), attempt);
    }

    private void peerSaid(Map<String, String> h) {
        var k = isNumber(h.get(HttpExchange.PROBLEM_HEADER))
                ? ProblemKind.find(Integer.parseInt(h.get(HttpExchange.PROBLEM_HEADER)))
                : null;
        if (k == null) {
            executor.onAttemptBroken(t.id(), attempt);
            return;
        }
        var p = new Problem(
                k,
                k.text(),
                isNumber(h.get(HttpExchange.RETRY_MICROS_HEADER)) ? Long.parseLong(h.get(HttpExchange.RETRY_MICROS_HEADER)) : 0);
        if (k.workOutcome() == WorkOutcome.DECLINED) executor.onNotRun(t.id(), attempt, p);
        else if (k.workOutcome() == WorkOutcome.BROKEN && t.idempotencyKey().isEmpty()) executor.onAttemptBroken(t.id(), attempt);
        else executor.onRejected(t.id(), attempt, p);
    }

    private void chunkCame(byte[] b) {
        if (status != 200 || !startOnce()) return;
        scan.scan(b, b.length);
        executor.onProgress(t.id(), scan.eventCount());
        if (!wire.writeChunk(b)) executor.onClientDisconnected(t.id());
        else if (scan.isComplete()) wholeCame();
        else call.acknowledgeChunk();
    }

    private void wholeCame() {
        executor.onStreamCompleted(t.id(), attempt);
        isFinished = true;
        wire.endResponse();
    }

    private boolean startOnce() {
        if (streaming) return true;
        if (!executor.onStreamStarted(t.id(), attempt)) return false;
        streaming = true;
        wire.startResponse();
        return true;
    }

    private void endCame() {
        if (status != 0 && status != 200) return;
        if (streaming && scan.isDone()) wholeCame();
        else executor.onAttemptBroken(t.id(), attempt);
    }

    private void finish(Problem p, boolean cut) {
        if (isFinished) return;
        isFinished = true;
        if (call != null) call.cancel();
        if (streaming || cut) wire.abortResponse(p, streaming);
        else wire.sendProblem(p);
    }
}
