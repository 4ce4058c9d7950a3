package craneway.command.load;

import craneway.http.HeaderNames;
import craneway.http.AsyncHttpClient;
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
    record Options(int tenants, int tokens, int asks, int deadline) {}

    private record Refused(String cause) {}

    private record Status(int code, HeaderMap headers) {}

    private record End(boolean clean, String cause) {}

    private final AsyncHttpClient caller;
    private final Choice to;
    private final String service;
    private final Mix mix;
    private final Random random;
    private final String name;
    private final Options options;
    private final Report report;
    private int count;

    LoadClient(
            AsyncHttpClient caller,
            Choice to,
            String service,
            Mix mix,
            Random random,
            String name,
            Options options,
            Report report) {
        this.caller = caller;
        this.to = to;
        this.service = service;
        this.mix = mix;
        this.random = random;
        this.name = name;
        this.options = options;
        this.report = report;
    }

    void one() {
        var kind = mix.pick(random);
        var tenant = "tenant-" + random.nextInt(options.tenants);
        var tokens = Math.max(1, (int) (options.tokens * (0.5 + random.nextDouble())));
        var key = name + "-k" + count;
        for (var i = 0; i < options.asks; i++) {
            var sub = name + "-" + count++;
            var told = submit(sub, kind, tenant, key, tokens);
            report.add(told);
            if (told.retryMillis() < 0) return;
            pause(told.retryMillis());
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private ReplyRecord submit(String sub, Mix.Kind kind, String tenant, String key, int tokens) {
        var h = new HashMap<HttpString, String>();
        h.put(HeaderNames.TENANT, tenant);
        h.put(HeaderNames.WORK_KIND, kind.name());
        h.put(HeaderNames.DEADLINE_MILLIS, Integer.toString(options.deadline));
        if (kind.once()) h.put(HeaderNames.IDEMPOTENCY_KEY, key);
        var body = "{\"model\":\"" + service + "\",\"stream\":true,\"max_tokens\":" + tokens
                + ",\"messages\":[{\"role\":\"system\",\"content\":\""
                + ("The rules for a " + kind.name() + " are long. ").repeat(30)
                + "\"},{\"role\":\"user\",\"content\":\"submission=" + sub + " key=" + (kind.once() ? key : "")
                + "\"}]}";
        return listen(sub, kind, kind.once() ? key : "", h, body.getBytes(StandardCharsets.UTF_8));
    }

    private ReplyRecord listen(String sub, Mix.Kind kind, String key, Map<HttpString, String> h, byte[] body) {
        var box = new LinkedBlockingQueue<Object>();
        var start = System.nanoTime();
        var call = caller.open(to.pick(random), Methods.POST, "/v1/chat/completions", h, body, 2_000, sink(box));
        var parser = new ReplyParser();
        Status status = null;
        var first = 0L;
        while (true) {
            var o = poll(box);
            if (o == null) {
                call.cancel();
                return ReplyRecord.of(sub, kind, key, "silent", 0, parser, first, micros(start), -1);
            }
            if (o instanceof Refused)
                return ReplyRecord.of(sub, kind, key, "refused", 0, parser, 0, micros(start), 200);
            if (o instanceof Status s) status = s;
            if (o instanceof byte[] b) {
                if (first == 0) first = micros(start);
                parser.hear(b);
                call.chunkConsumed();
            }
            if (o instanceof End e) return over(sub, kind, key, status, e, parser, first, micros(start));
        }
    }

    private static long micros(long start) {
        return (System.nanoTime() - start) / 1000;
    }

    private Object poll(BlockingQueue<Object> box) {
        try {
            return box.poll(options.deadline + 15_000L, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
    }

    private static AsyncHttpClient.ResponseListener sink(BlockingQueue<Object> box) {
        return new AsyncHttpClient.ResponseListener() {
            @Override
            public void onConnectFailure(String cause) {
                box.add(new Refused(cause));
            }

            @Override
            public void onHeaders(int code, HeaderMap headers) {
                box.add(new Status(code, headers));
            }

            @Override
            public void onChunk(byte[] b) {
                box.add(b);
            }

            @Override
            public void onEnd() {
                box.add(new End(true, ""));
            }

            @Override
            public void onFailure(String cause) {
                box.add(new End(false, cause));
            }
        };
    }

    private static ReplyRecord over(
            String sub, Mix.Kind kind, String key, Status s, End e, ReplyParser parser, long first, long micros) {
        if (s == null) return ReplyRecord.of(sub, kind, key, "lost", 0, parser, first, micros, -1);
        if (s.code == 200) {
            var verdict = !parser.inOrder()
                    ? "disordered"
                    : e.clean && parser.done() ? "whole" : e.clean || parser.done() ? "false-end" : "cut";
            return ReplyRecord.of(sub, kind, key, verdict, 200, parser, first, micros, -1);
        }
        var p = s.headers.getFirst(HeaderNames.PROBLEM);
        var retry = s.headers.getFirst("Retry-After");
        var code = p == null ? 0 : Integer.parseInt(p);
        var bearing = code == 0
                ? "strange"
                : craneway.model.problem.ProblemKind.of(code).workOutcome().name().toLowerCase();
        return ReplyRecord.of(
                sub, kind, key, bearing, code, parser, 0, micros, retry == null ? -1 : Long.parseLong(retry) * 1000);
    }
}
