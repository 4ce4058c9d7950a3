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

public final class RequestRelay implements RequestOutput {
    private final Request t;
    private final RequestExecutor executor;
    private final Loads loads;
    private final LongSupplier now;
    private final String router;
    private final HttpExchange wire;
    private HttpExchange.Call call;
    private Rows.Runner runner;
    private StreamScan scan;
    private int attempt;
    private int status;
    private boolean streaming;
    private boolean over;

    public RequestRelay(
            Request t, RequestExecutor executor, Loads loads, LongSupplier now, String router, HttpExchange wire) {
        this.t = t;
        this.executor = executor;
        this.loads = loads;
        this.now = now;
        this.router = router;
        this.wire = wire;
    }

    public void begin() {
        executor.take(t, this);
    }

    public boolean over() {
        return over;
    }

    @Override
    public void serve(int no, Rows.Runner r) {
        wire.later(() -> serveNow(no, r));
    }

    @Override
    public void forward(int no, Node r) {
        wire.later(() -> forwardNow(no, r));
    }

    @Override
    public void verdict(Problem p) {
        wire.later(() -> finish(p, false));
    }

    @Override
    public void cut(Problem p) {
        wire.later(() -> finish(p, true));
    }

    private void serveNow(int no, Rows.Runner r) {
        var h = headers();
        h.put(HttpExchange.TRANSACTION, router + "/" + t.id());
        if (!t.regions().isEmpty()) h.put(HttpExchange.REGIONS, String.join(",", t.regions()));
        open(no, r, r.address, HttpExchange.TO_RUNNER, h);
    }

    private void forwardNow(int no, Node r) {
        var h = headers();
        h.put(HttpExchange.HOP, "1");
        if (!t.regions().isEmpty()) h.put(HttpExchange.REGIONS, String.join(",", t.regions()));
        open(no, null, r.peerAddress, HttpExchange.TO_ROUTER, h);
    }

    private Map<String, String> headers() {
        var h = new HashMap<String, String>();
        h.put(HttpExchange.TENANT, t.tenant());
        h.put(HttpExchange.WORK, t.work());
        if (!t.key().isEmpty()) h.put(HttpExchange.KEY, t.key());
        h.put(HttpExchange.DEADLINE, Long.toString(Math.max(1, (t.deadline() - now.getAsLong()) / 1000)));
        return h;
    }

    private void open(int no, Rows.Runner r, String address, String path, Map<String, String> h) {
        if (over || !executor.clear(t.id(), no)) return;
        if (r != null) executor.stamp(t.service(), h);
        if (call != null) call.cancel();
        attempt = no;
        runner = r;
        status = 0;
        scan = new StreamScan();
        call = wire.open(address, path, h, t.body(), new HttpExchange.Sink() {
            private void post(Runnable step) {
                wire.later(() -> {
                    if (!over && attempt == no) step.run();
                });
            }

            @Override
            public void refused() {
                post(() -> executor.notRun(t.id(), no, Problem.of(ProblemKind.NO_PATH)));
            }

            @Override
            public void status(int code, Map<String, String> headers) {
                post(() -> statusCame(code, headers));
            }

            @Override
            public void chunk(byte[] b) {
                post(() -> chunkCame(b));
            }

            @Override
            public void end() {
                post(RequestRelay.this::endCame);
            }

            @Override
            public void broken() {
                post(() -> executor.broken(t.id(), no));
            }
        });
    }

    private void statusCame(int code, Map<String, String> h) {
        status = code;
        if (runner != null && isNumber(h.get(HttpExchange.LOAD)))
            loads.reported(runner.name, Integer.parseInt(h.get(HttpExchange.LOAD)), now.getAsLong());
        if (code == 200) return;
        call.cancel();
        if (runner != null) runnerSaid(code);
        else peerSaid(h);
    }

    private static boolean isNumber(String s) {
        return s != null && s.matches("\\d{1,9}");
    }

    private void runnerSaid(int code) {
        if (code == 503 || code == 429) executor.notRun(t.id(), attempt, Problem.of(ProblemKind.BUSY));
        else if (code >= 400 && code < 500)
            executor.refusedWork(
                    t.id(), attempt, Problem.of(ProblemKind.BAD_FIELD, "the runner declined the body with status " + code));
        else executor.broken(t.id(), attempt);
    }

    private void peerSaid(Map<String, String> h) {
        var k = isNumber(h.get(HttpExchange.PROBLEM)) ? ProblemKind.find(Integer.parseInt(h.get(HttpExchange.PROBLEM))) : null;
        if (k == null) {
            executor.broken(t.id(), attempt);
            return;
        }
        var p = new Problem(
                k,
                k.text(),
                isNumber(h.get(HttpExchange.RETRY_MICROS)) ? Long.parseLong(h.get(HttpExchange.RETRY_MICROS)) : 0);
        if (k.workOutcome() == WorkOutcome.DECLINED) executor.notRun(t.id(), attempt, p);
        else if (k.workOutcome() == WorkOutcome.BROKEN && t.key().isEmpty()) executor.broken(t.id(), attempt);
        else executor.refusedWork(t.id(), attempt, p);
    }

    private void chunkCame(byte[] b) {
        if (status != 200 || !startOnce()) return;
        scan.accept(b, b.length);
        executor.progress(t.id(), scan.events());
        if (!wire.write(b)) executor.gone(t.id());
        else if (scan.whole()) wholeCame();
        else call.took();
    }

    private void wholeCame() {
        executor.whole(t.id(), attempt);
        over = true;
        wire.whole();
    }

    private boolean startOnce() {
        if (streaming) return true;
        if (!executor.opened(t.id(), attempt)) return false;
        streaming = true;
        wire.start();
        return true;
    }

    private void endCame() {
        if (status != 0 && status != 200) return;
        if (streaming && scan.done()) wholeCame();
        else executor.broken(t.id(), attempt);
    }

    private void finish(Problem p, boolean cut) {
        if (over) return;
        over = true;
        if (call != null) call.cancel();
        if (streaming || cut) wire.cut(p, streaming);
        else wire.verdict(p);
    }
}
