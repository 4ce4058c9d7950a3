package craneway.command.load;

import craneway.http.AsyncHttpClient;
import craneway.http.HeaderNames;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

final class LoadClient {
    record Options(int tenantCount, int meanTokens, int maxSubmissions, int deadlineMillis) {}

    private record ConnectFailure(String cause) {}

    private record ResponseHead(int statusCode, HeaderMap headers) {}

    private record StreamEnd(boolean complete, String cause) {}

    private final AsyncHttpClient httpClient;
    private final RouterSelector routerSelector;
    private final String service;
    private final WorkMix workMix;
    private final Random random;
    private final String clientName;
    private final Options options;
    private final LoadReport report;
    private int submissionCount;

    LoadClient(
            AsyncHttpClient caller,
            RouterSelector to,
            String service,
            WorkMix mix,
            Random random,
            String name,
            Options options,
            LoadReport report) {
        this.httpClient = caller;
        this.routerSelector = to;
        this.service = service;
        this.workMix = mix;
        this.random = random;
        this.clientName = name;
        this.options = options;
        this.report = report;
    }

    void runWorkItem() {
        var kind = workMix.selectKind(random);
        var tenant = "tenant-" + random.nextInt(options.tenantCount);
        var tokens = Math.max(1, (int) (options.meanTokens * (0.5 + random.nextDouble())));
        var key = clientName + "-k" + submissionCount;
        for (var i = 0; i < options.maxSubmissions; i++) {
            var sub = clientName + "-" + submissionCount++;
            var told = submit(sub, kind, tenant, key, tokens);
            report.addRecord(told);
            if (told.retryAfterMillis() < 0) return;
            sleepMillis(told.retryAfterMillis());
        }
    }

    private static void sleepMillis(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private SubmissionRecord submit(String sub, WorkMix.WorkKind kind, String tenant, String key, int tokens) {
        var h = new HashMap<HttpString, String>();
        h.put(HeaderNames.TENANT, tenant);
        h.put(HeaderNames.WORK_KIND, kind.name());
        h.put(HeaderNames.DEADLINE_MILLIS, Integer.toString(options.deadlineMillis));
        if (kind.runOnce()) h.put(HeaderNames.IDEMPOTENCY_KEY, key);
        var body = "{\"model\":\"" + service + "\",\"stream\":true,\"max_tokens\":" + tokens
                + ",\"messages\":[{\"role\":\"system\",\"content\":\""
                + ("The rules for a " + kind.name() + " are long. ").repeat(30)
                + "\"},{\"role\":\"user\",\"content\":\"submission=" + sub + " key=" + (kind.runOnce() ? key : "")
                + "\"}]}";
        return sendAndAwaitEnd(sub, kind, kind.runOnce() ? key : "", h, body.getBytes(StandardCharsets.UTF_8));
    }

    private SubmissionRecord sendAndAwaitEnd(String sub, WorkMix.WorkKind kind, String key, Map<HttpString, String> h, byte[] body) {
        var box = new LinkedBlockingQueue<Object>();
        var start = System.nanoTime();
        var call = httpClient.open(routerSelector.selectAddress(random), Methods.POST, "/v1/chat/completions", h, body, 2_000, enqueueingListener(box));
        var parser = new ResponseStreamParser();
        ResponseHead status = null;
        var first = 0L;
        while (true) {
            var o = nextEvent(box);
            if (o == null) {
                call.cancel();
                return SubmissionRecord.of(sub, kind, key, "silent", 0, parser, first, microsSince(start), -1);
            }
            if (o instanceof ConnectFailure)
                return SubmissionRecord.of(sub, kind, key, "refused", 0, parser, 0, microsSince(start), 200);
            if (o instanceof ResponseHead s) status = s;
            if (o instanceof byte[] b) {
                if (first == 0) first = microsSince(start);
                parser.feed(b);
                call.chunkConsumed();
            }
            if (o instanceof StreamEnd e) return recordOfEndedResponse(sub, kind, key, status, e, parser, first, microsSince(start));
        }
    }

    private static long microsSince(long start) {
        return (System.nanoTime() - start) / 1000;
    }

    private Object nextEvent(BlockingQueue<Object> box) {
        try {
            return box.poll(options.deadlineMillis + 15_000L, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
    }

    private static AsyncHttpClient.ResponseListener enqueueingListener(BlockingQueue<Object> box) {
        return new AsyncHttpClient.ResponseListener() {
            @Override
            public void onConnectFailure(String cause) {
                box.add(new ConnectFailure(cause));
            }

            @Override
            public void onHeaders(int code, HeaderMap headers) {
                box.add(new ResponseHead(code, headers));
            }

            @Override
            public void onChunk(byte[] b) {
                box.add(b);
            }

            @Override
            public void onEnd() {
                box.add(new StreamEnd(true, ""));
            }

            @Override
            public void onFailure(String cause) {
                box.add(new StreamEnd(false, cause));
            }
        };
    }

    private static SubmissionRecord recordOfEndedResponse(
            String sub, WorkMix.WorkKind kind, String key, ResponseHead s, StreamEnd e, ResponseStreamParser parser, long first, long micros) {
        if (s == null) return SubmissionRecord.of(sub, kind, key, "lost", 0, parser, first, micros, -1);
        if (s.statusCode == 200) {
            var verdict = !parser.tokensInOrder()
                    ? "disordered"
                    : e.complete && parser.doneMarkerSeen() ? "whole" : e.complete || parser.doneMarkerSeen() ? "false-end" : "cut";
            return SubmissionRecord.of(sub, kind, key, verdict, 200, parser, first, micros, -1);
        }
        var p = s.headers.getFirst(HeaderNames.PROBLEM);
        var retry = s.headers.getFirst("Retry-After");
        var code = p == null ? 0 : Integer.parseInt(p);
        var bearing = code == 0
                ? "strange"
                : craneway.model.problem.ProblemKind.of(code)
                        .workOutcome()
                        .name()
                        .toLowerCase();
        return SubmissionRecord.of(
                sub, kind, key, bearing, code, parser, 0, micros, retry == null ? -1 : Long.parseLong(retry) * 1000);
    }
}
