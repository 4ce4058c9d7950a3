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

/**
 * A simulated requester that submits work, follows the streamed responses and records the outcomes. Each instance is
 * used by one thread.
 */
final class LoadClient {
    /**
     * Settings that all clients of a run share.
     *
     * @param meanTokens mean number of tokens to ask for; a request asks for half to one and a half times as many
     * @param maxSubmissions how often the same work is submitted at most
     */
    record Options(int tenantCount, int meanTokens, int maxSubmissions, int deadlineMillis) {}

    /** No connection was made, so the request was not sent. */
    private record ConnectFailure(String cause) {}

    /** The status and headers of the response. */
    private record ResponseHead(int statusCode, HeaderMap headers) {}

    /** The response is complete, or the connection broke. */
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
            AsyncHttpClient httpClient,
            RouterSelector routerSelector,
            String service,
            WorkMix workMix,
            Random random,
            String clientName,
            Options options,
            LoadReport report) {
        this.httpClient = httpClient;
        this.routerSelector = routerSelector;
        this.service = service;
        this.workMix = workMix;
        this.random = random;
        this.clientName = clientName;
        this.options = options;
        this.report = report;
    }

    /**
     * Submits new work, and again under the same key while a response asks for a retry, up to the permitted number of
     * times.
     */
    void runWorkItem() {
        var kind = workMix.selectKind(random);
        var tenant = "tenant-" + random.nextInt(options.tenantCount);
        var tokens = Math.max(1, (int) (options.meanTokens * (0.5 + random.nextDouble())));
        var key = clientName + "-k" + submissionCount;
        for (var attempt = 0; attempt < options.maxSubmissions; attempt++) {
            var submissionId = clientName + "-" + submissionCount++;
            var outcome = submit(submissionId, kind, tenant, key, tokens);
            report.addRecord(outcome);
            if (outcome.retryAfterMillis() < 0) return;
            sleepMillis(outcome.retryAfterMillis());
        }
    }

    private static void sleepMillis(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Submits work with a prompt of a system message that all work of its kind shares, so that runners can cache it,
     * and a user message that names the submission for the journals.
     */
    private SubmissionRecord submit(String submissionId, WorkMix.WorkKind kind, String tenant, String key, int tokens) {
        var headers = new HashMap<HttpString, String>();
        headers.put(HeaderNames.TENANT, tenant);
        headers.put(HeaderNames.WORK_KIND, kind.name());
        headers.put(HeaderNames.DEADLINE_MILLIS, Integer.toString(options.deadlineMillis));
        if (kind.runOnce()) headers.put(HeaderNames.IDEMPOTENCY_KEY, key);
        var body = "{\"model\":\"" + service + "\",\"stream\":true,\"max_tokens\":" + tokens
                + ",\"messages\":[{\"role\":\"system\",\"content\":\""
                + ("The rules for a " + kind.name() + " are long. ").repeat(30)
                + "\"},{\"role\":\"user\",\"content\":\"submission=" + submissionId + " key="
                + (kind.runOnce() ? key : "")
                + "\"}]}";
        return sendAndAwaitEnd(
                submissionId, kind, kind.runOnce() ? key : "", headers, body.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Sends the request and handles the events of the response on this thread until the response ends. A refused
     * connection is retried after 200 ms.
     */
    private SubmissionRecord sendAndAwaitEnd(
            String submissionId, WorkMix.WorkKind kind, String key, Map<HttpString, String> headers, byte[] body) {
        var events = new LinkedBlockingQueue<Object>();
        var startNanos = System.nanoTime();
        var call = httpClient.open(
                routerSelector.selectAddress(random),
                Methods.POST,
                "/v1/chat/completions",
                headers,
                body,
                2_000,
                enqueueingListener(events));
        var parser = new ResponseStreamParser();
        ResponseHead responseHead = null;
        var firstChunkMicros = 0L;
        while (true) {
            var event = nextEvent(events);
            if (event == null) {
                call.cancel();
                return SubmissionRecord.of(
                        submissionId, kind, key, "silent", 0, parser, firstChunkMicros, microsSince(startNanos), -1);
            }
            if (event instanceof ConnectFailure)
                return SubmissionRecord.of(
                        submissionId, kind, key, "refused", 0, parser, 0, microsSince(startNanos), 200);
            if (event instanceof ResponseHead head) responseHead = head;
            if (event instanceof byte[] chunk) {
                if (firstChunkMicros == 0) firstChunkMicros = microsSince(startNanos);
                parser.feed(chunk);
                call.chunkConsumed();
            }
            if (event instanceof StreamEnd end)
                return recordOfEndedResponse(
                        submissionId, kind, key, responseHead, end, parser, firstChunkMicros, microsSince(startNanos));
        }
    }

    private static long microsSince(long startNanos) {
        return (System.nanoTime() - startNanos) / 1000;
    }

    /** Returns the next event, or null if none comes for 15 s longer than the deadline of the request. */
    private Object nextEvent(BlockingQueue<Object> events) {
        try {
            return events.poll(options.deadlineMillis + 15_000L, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
    }

    private static AsyncHttpClient.ResponseListener enqueueingListener(BlockingQueue<Object> events) {
        return new AsyncHttpClient.ResponseListener() {
            @Override
            public void onConnectFailure(String cause) {
                events.add(new ConnectFailure(cause));
            }

            @Override
            public void onHeaders(int statusCode, HeaderMap headers) {
                events.add(new ResponseHead(statusCode, headers));
            }

            @Override
            public void onChunk(byte[] bytes) {
                events.add(bytes);
            }

            @Override
            public void onEnd() {
                events.add(new StreamEnd(true, ""));
            }

            @Override
            public void onFailure(String cause) {
                events.add(new StreamEnd(false, cause));
            }
        };
    }

    /**
     * Classifies a response that has ended. A complete stream has its end marker and a clean end of the connection; if
     * only one of the two is there, the stream counts as a false end.
     */
    private static SubmissionRecord recordOfEndedResponse(
            String submissionId,
            WorkMix.WorkKind kind,
            String key,
            ResponseHead head,
            StreamEnd end,
            ResponseStreamParser parser,
            long firstChunkMicros,
            long durationMicros) {
        if (head == null)
            return SubmissionRecord.of(
                    submissionId, kind, key, "lost", 0, parser, firstChunkMicros, durationMicros, -1);
        if (head.statusCode == 200) {
            var verdict = !parser.tokensInOrder()
                    ? "disordered"
                    : end.complete && parser.doneMarkerSeen()
                            ? "whole"
                            : end.complete || parser.doneMarkerSeen() ? "false-end" : "cut";
            return SubmissionRecord.of(
                    submissionId, kind, key, verdict, 200, parser, firstChunkMicros, durationMicros, -1);
        }
        var problemHeader = head.headers.getFirst(HeaderNames.PROBLEM);
        var retryAfterSeconds = head.headers.getFirst("Retry-After");
        var problemCode = problemHeader == null ? 0 : Integer.parseInt(problemHeader);
        var workOutcome = problemCode == 0
                ? "strange"
                : craneway.model.problem.ProblemKind.of(problemCode)
                        .workOutcome()
                        .name()
                        .toLowerCase();
        return SubmissionRecord.of(
                submissionId,
                kind,
                key,
                workOutcome,
                problemCode,
                parser,
                0,
                durationMicros,
                retryAfterSeconds == null ? -1 : Long.parseLong(retryAfterSeconds) * 1000);
    }
}
