package craneway.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import craneway.http.AsyncHttpClient;
import craneway.http.BufferedHttpResponse;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * A stand-in for a model server: it streams made-up tokens at a fixed pace, simulates a prefix cache and a cold start,
 * announces itself to routers and writes a journal of the requests it ran. Requests are served on several threads.
 */
public final class StandinRunner {
    /**
     * The address, capacity and speed of a runner.
     *
     * @param slots number of requests that run at once; further ones get status 503
     * @param millisPerToken time for each token
     * @param prefillMillis time before the first token if the prompt is not in the prefix cache
     * @param prefixCacheSize number of prompts in the prefix cache
     * @param warmUpMillis time after the start during which the runner is cold
     */
    public record Settings(
            String name,
            String listenAddress,
            String service,
            String cell,
            int slots,
            int millisPerToken,
            int prefillMillis,
            int prefixCacheSize,
            int warmUpMillis) {}

    private static final ObjectMapper JSON = new ObjectMapper();
    /** Finds the submission id and the idempotency key in the last message of a prompt. */
    private static final Pattern SUBMISSION = Pattern.compile("submission=(\\S+) key=(\\S*)");

    private final Settings settings;
    private final List<String> routers;
    private final PrintWriter journal;
    private final long incarnation = System.currentTimeMillis();
    private final long startedAtNanos = System.nanoTime();
    private final AtomicInteger requestsInFlight = new AtomicInteger();
    private final Map<String, Boolean> prefixCache;
    private final XnioWorker worker;
    private final AsyncHttpClient httpClient;
    private final ScheduledExecutorService announcementScheduler = Executors.newScheduledThreadPool(2);
    private Undertow server;
    private volatile boolean leaving;

    /** Creates a runner that appends to this journal; {@link #start} starts it. */
    public StandinRunner(Settings settings, List<String> routers, Path journal) throws IOException {
        this.settings = settings;
        this.routers = routers;
        this.journal =
                new PrintWriter(Files.newBufferedWriter(journal, StandardOpenOption.CREATE, StandardOpenOption.APPEND));
        this.prefixCache = new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                return size() > settings.prefixCacheSize;
            }
        };
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 2)
                        .set(Options.WORKER_TASK_CORE_THREADS, settings.slots + 8)
                        .set(Options.WORKER_TASK_MAX_THREADS, settings.slots + 8)
                        .set(Options.TCP_NODELAY, true)
                        .getMap());
        httpClient = new AsyncHttpClient(worker);
    }

    /** Starts to serve requests and to announce the runner to the routers every 500 ms. */
    public void start() {
        var colon = settings.listenAddress.lastIndexOf(':');
        server = Undertow.builder()
                .setWorker(worker)
                .addHttpListener(
                        Integer.parseInt(settings.listenAddress.substring(colon + 1)),
                        settings.listenAddress.substring(0, colon),
                        exchange -> exchange.dispatch(() -> handleRequest(exchange)))
                .build();
        server.start();
        announcementScheduler.scheduleWithFixedDelay(this::announce, 0, 500, TimeUnit.MILLISECONDS);
    }

    /** Returns the number of requests that are running. */
    public int requestsInFlight() {
        return requestsInFlight.get();
    }

    private boolean isCold() {
        return System.nanoTime() - startedAtNanos < settings.warmUpMillis * 1_000_000L;
    }

    private void announce() {
        if (leaving) return;
        for (var router : routers) {
            var body = JSON.createObjectNode()
                    .put("service", settings.service)
                    .put("name", settings.name)
                    .put("address", settings.listenAddress)
                    .put("cell", settings.cell)
                    .put("slots", settings.slots)
                    .put("incarnation", incarnation)
                    .put("cold", isCold())
                    .put("load", requestsInFlight.get())
                    .toString();
            announcementScheduler.execute(() -> postToRouter(router, "/v1/announce", body));
        }
    }

    /** Sends a message to a router and returns whether it replied with status 200. */
    private boolean postToRouter(String router, String path, String body) {
        try {
            return BufferedHttpResponse.fetch(
                                    httpClient,
                                    router,
                                    Methods.POST,
                                    path,
                                    Map.of(),
                                    body.getBytes(StandardCharsets.UTF_8),
                                    4_000)
                            .status()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Stops announcing and tells all routers that the runner leaves. Returns whether at least one acknowledged. */
    public boolean announceLeave() {
        leaving = true;
        var body = JSON.createObjectNode()
                .put("service", settings.service)
                .put("name", settings.name)
                .put("incarnation", incarnation)
                .toString();
        var acknowledged = false;
        for (var router : routers) acknowledged |= postToRouter(router, "/v1/leave", body);
        writeJournalLine("leave", "", "", acknowledged ? 1 : 0);
        return acknowledged;
    }

    /** Waits until no request has been running at 40 checks in a row, 100 ms apart, and closes the runner. */
    public void drainAndClose() throws InterruptedException {
        for (var idleChecks = 0; idleChecks < 40; idleChecks = requestsInFlight.get() == 0 ? idleChecks + 1 : 0)
            Thread.sleep(100);
        close();
    }

    /** Stops the server and closes the journal; running requests are cut off. */
    public void close() {
        announcementScheduler.shutdownNow();
        server.stop();
        worker.shutdownNow();
        journal.close();
    }

    /**
     * Writes a line of the journal.
     *
     * @param number the number of tokens; for {@code leave}, 1 if a router acknowledged and else 0
     */
    private synchronized void writeJournalLine(String event, String submissionId, String key, int number) {
        journal.println("{\"at\":" + System.currentTimeMillis() + ",\"runner\":\"" + settings.name + "\",\"what\":\""
                + event + "\",\"sub\":\"" + submissionId + "\",\"key\":\"" + key + "\",\"n\":" + number + "}");
        journal.flush();
    }

    /** Runs a request, or answers 503 if all slots are in use. */
    private void handleRequest(HttpServerExchange exchange) {
        exchange.startBlocking();
        exchange.getResponseHeaders().put(new HttpString("craneway-load"), requestsInFlight.get());
        if (requestsInFlight.incrementAndGet() > settings.slots) {
            requestsInFlight.decrementAndGet();
            exchange.setStatusCode(503).endExchange();
            return;
        }
        try {
            streamTokens(exchange);
        } catch (IOException e) {
            IoUtils.safeClose(exchange.getConnection());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            requestsInFlight.decrementAndGet();
        }
    }

    /** Streams the response. Prefill takes 2 ms on a prefix hit, and three times as long while the runner is cold. */
    private void streamTokens(HttpServerExchange exchange) throws IOException, InterruptedException {
        var request = JSON.readTree(exchange.getInputStream().readAllBytes());
        var prompt = request.get("messages").get(0).get("content").asText();
        Matcher matcher = SUBMISSION.matcher(request.get("messages")
                .get(request.get("messages").size() - 1)
                .get("content")
                .asText());
        var submissionId = matcher.find() ? matcher.group(1) : "";
        var key = submissionId.isEmpty() ? "" : matcher.group(2);
        var tokens = request.path("max_tokens").asInt(16);
        writeJournalLine("start", submissionId, key, tokens);
        var prefixHit = cachePrefix(prompt);
        Thread.sleep((prefixHit ? 2 : settings.prefillMillis) * (isCold() ? 3L : 1L));
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
        var output = exchange.getOutputStream();
        for (var i = 0; i < tokens; i++) {
            var prefixField = i == 0 ? ",\"prefix\":\"" + (prefixHit ? "hit" : "miss") + "\"" : "";
            output.write(("data: {\"object\":\"chat.completion.chunk\",\"index_of_token\":" + i + prefixField
                            + ",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t" + i + " \"}}]}\n\n")
                    .getBytes(StandardCharsets.UTF_8));
            output.flush();
            Thread.sleep(settings.millisPerToken);
        }
        output.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
        output.close();
        writeJournalLine("end", submissionId, key, tokens);
    }

    /** Adds the prompt to the prefix cache and returns whether it was there already. */
    private boolean cachePrefix(String prompt) {
        synchronized (prefixCache) {
            return prefixCache.put(prompt, true) != null;
        }
    }
}
