package craneway.link.requester;

import craneway.data.requester.Executor;
import craneway.data.requester.Line;
import craneway.data.requester.StreamScan;
import craneway.data.requester.Transaction;
import craneway.data.runner.Loads;
import craneway.link.http.Caller;
import craneway.link.http.Names;
import craneway.link.http.Problems;
import craneway.model.problem.Bearing;
import craneway.model.problem.Kind;
import craneway.model.problem.Problem;
import craneway.state.message.Node;
import craneway.state.record.Rows;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.LongSupplier;
import org.xnio.IoUtils;

final class HttpLine implements Line {
    private static final long CONNECT_MILLIS = 1_000;
    private static final int DECLINE_MOST = 16 * 1024;

    private record Serve(int tryNo, Rows.Runner runner) { }
    private record Forward(int tryNo, Node router) { }
    private record Final(Problem problem, boolean cut) { }
    private record Refused() { }
    private record Status(int code, HeaderMap headers) { }
    private record Chunk(byte[] bytes) { }
    private record End(boolean clean) { }
    private record Event(int tryNo, Object what) { }

    private final HttpServerExchange x;
    private final Transaction t;
    private final Executor executor;
    private final Loads loads;
    private final Caller caller;
    private final LongSupplier now;
    private final String router;
    private final BlockingQueue<Object> box = new LinkedBlockingQueue<>();
    private Caller.Call call;
    private Rows.Runner runner;
    private int tryNo;
    private Status status;
    private StreamScan scan;
    private boolean streaming;
    private boolean over;

    HttpLine(HttpServerExchange x, Transaction t, Executor executor, Loads loads, Caller caller, LongSupplier now, String router) {
        this.x = x;
        this.t = t;
        this.executor = executor;
        this.loads = loads;
        this.caller = caller;
        this.now = now;
        this.router = router;
    }

    @Override
    public void serve(int no, Rows.Runner r) { box.add(new Serve(no, r)); }

    @Override
    public void forward(int no, Node r) { box.add(new Forward(no, r)); }

    @Override
    public void verdict(Problem p) { box.add(new Final(p, false)); }

    @Override
    public void cut(Problem p) { box.add(new Final(p, true)); }

    void run() {
        x.getConnection().addCloseListener(c -> executor.gone(t.id()));
        executor.take(t, this);
        try {
            while (!over) step(box.take());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            executor.gone(t.id());
            hangUp();
        }
    }

    private void step(Object o) {
        if (o instanceof Serve s) serveNow(s);
        else if (o instanceof Forward f) forwardNow(f);
        else if (o instanceof Final f) finish(f);
        else if (o instanceof Event e && e.tryNo == tryNo) event(e.what);
    }

    private void serveNow(Serve s) {
        runner = s.runner;
        var h = headers();
        h.put(Names.TRANSACTION, router + "/" + t.id());
        call(s.tryNo, s.runner.address, "/v1/chat/completions", h);
    }

    private void forwardNow(Forward f) {
        runner = null;
        var h = headers();
        h.put(Names.HOP, "1");
        h.put(Names.REGIONS, String.join(",", t.regions()));
        call(f.tryNo, f.router.partner, "/transaction", h);
    }

    private Map<HttpString, String> headers() {
        var h = new HashMap<HttpString, String>();
        h.put(Names.TENANT, t.tenant());
        h.put(Names.WORK, t.work());
        if (!t.key().isEmpty()) h.put(Names.KEY, t.key());
        h.put(Names.DEADLINE, Long.toString(Math.max(1, (t.deadline() - now.getAsLong()) / 1000)));
        return h;
    }

    private void call(int no, String address, String path, Map<HttpString, String> h) {
        tryNo = no;
        status = null;
        if (!executor.clear(t.id(), no)) return;
        scan = new StreamScan();
        call = caller.open(address, Methods.POST, path, h, t.body(), CONNECT_MILLIS, new Caller.Sink() {
            private void put(Object what) { box.add(new Event(no, what)); }

            @Override
            public void refused(String cause) { put(new Refused()); }

            @Override
            public void status(int code, HeaderMap headers) { put(new Status(code, headers)); }

            @Override
            public void chunk(byte[] b) { put(new Chunk(b)); }

            @Override
            public void end() { put(new End(true)); }

            @Override
            public void broken(String cause) { put(new End(false)); }
        });
    }

    private void event(Object what) {
        if (what instanceof Refused) executor.notRun(t.id(), tryNo, Problem.of(Kind.NO_PATH));
        else if (what instanceof Status s) status(s);
        else if (what instanceof Chunk c) chunk(c.bytes);
        else if (what instanceof End e) end(e.clean);
    }

    private void status(Status s) {
        status = s;
        var load = s.headers.getFirst(Names.LOAD);
        if (runner != null && load != null && load.matches("\\d{1,6}")) loads.reported(runner.name, Integer.parseInt(load), now.getAsLong());
        if (s.code == 200) return;
        call.cancel();
        if (runner != null) runnerSaid(s);
        else partnerSaid(s);
    }

    private void runnerSaid(Status s) {
        if (s.code == 503 || s.code == 429) executor.notRun(t.id(), tryNo, Problem.of(Kind.BUSY));
        else if (s.code >= 400 && s.code < 500) executor.refusedWork(t.id(), tryNo, Problem.of(Kind.BAD_FIELD, "the runner declined the body with status " + s.code));
        else executor.broken(t.id(), tryNo);
    }

    private void partnerSaid(Status s) {
        var code = s.headers.getFirst(Names.PROBLEM);
        if (code == null || !code.matches("\\d{3}")) {
            executor.broken(t.id(), tryNo);
            return;
        }
        var k = Kind.of(Integer.parseInt(code));
        var retry = s.headers.getFirst(Names.RETRY_MICROS);
        var p = new Problem(k, k.text(), retry == null ? 0 : Long.parseLong(retry));
        if (k == Kind.RUN_BROKEN && !t.key().isEmpty()) executor.refusedWork(t.id(), tryNo, p);
        else if (k == Kind.RUN_BROKEN) executor.broken(t.id(), tryNo);
        else if (k.bearing() == Bearing.DECLINED) executor.notRun(t.id(), tryNo, p);
        else executor.refusedWork(t.id(), tryNo, p);
    }

    private void chunk(byte[] b) {
        if (status == null || status.code != 200 || b.length > 0 && !start()) return;
        scan.accept(b, b.length);
        try {
            var o = x.getOutputStream();
            o.write(b);
            o.flush();
            call.took();
        } catch (IOException e) {
            executor.gone(t.id());
        }
    }

    private boolean start() {
        if (streaming) return true;
        if (!executor.opened(t.id(), tryNo)) return false;
        streaming = true;
        x.setStatusCode(200);
        x.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
        x.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-store");
        x.getResponseHeaders().put(Names.ROUTER, router);
        return true;
    }

    private void end(boolean clean) {
        if (status == null || status.code != 200) {
            if (status == null) executor.broken(t.id(), tryNo);
            return;
        }
        if (!streaming || !scan.whole()) {
            executor.broken(t.id(), tryNo);
            return;
        }
        executor.whole(t.id(), tryNo);
        over = true;
        x.endExchange();
    }

    private void finish(Final f) {
        over = true;
        if (call != null) call.cancel();
        if (!streaming && !f.cut) Problems.send(x, f.problem);
        else {
            if (streaming) sayCut(f.problem);
            hangUp();
        }
    }

    private void sayCut(Problem p) {
        try {
            var o = x.getOutputStream();
            o.write(("\n\nevent: error\ndata: " + Problems.json(p) + "\n\n").getBytes(StandardCharsets.UTF_8));
            o.flush();
        } catch (IOException e) {
            hangUp();
        }
    }

    private void hangUp() { IoUtils.safeClose(x.getConnection()); }
}
