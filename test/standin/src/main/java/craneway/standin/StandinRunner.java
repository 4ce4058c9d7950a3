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

public final class StandinRunner {
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
    private static final Pattern SUB = Pattern.compile("submission=(\\S+) key=(\\S*)");

    private final Settings shape;
    private final List<String> routers;
    private final PrintWriter journal;
    private final long incarnation = System.currentTimeMillis();
    private final long born = System.nanoTime();
    private final AtomicInteger requestsInFlight = new AtomicInteger();
    private final Map<String, Boolean> cache;
    private final XnioWorker worker;
    private final AsyncHttpClient caller;
    private final ScheduledExecutorService beats = Executors.newScheduledThreadPool(2);
    private Undertow server;
    private volatile boolean leaving;

    public StandinRunner(Settings shape, List<String> routers, Path journal) throws IOException {
        this.shape = shape;
        this.routers = routers;
        this.journal =
                new PrintWriter(Files.newBufferedWriter(journal, StandardOpenOption.CREATE, StandardOpenOption.APPEND));
        this.cache = new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Boolean> e) {
                return size() > shape.prefixCacheSize;
            }
        };
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 2)
                        .set(Options.WORKER_TASK_CORE_THREADS, shape.slots + 8)
                        .set(Options.WORKER_TASK_MAX_THREADS, shape.slots + 8)
                        .set(Options.TCP_NODELAY, true)
                        .getMap());
        caller = new AsyncHttpClient(worker);
    }

    public void start() {
        var at = shape.listenAddress.lastIndexOf(':');
        server = Undertow.builder()
                .setWorker(worker)
                .addHttpListener(
                        Integer.parseInt(shape.listenAddress.substring(at + 1)),
                        shape.listenAddress.substring(0, at),
                        x -> x.dispatch(() -> serve(x)))
                .build();
        server.start();
        beats.scheduleWithFixedDelay(this::announce, 0, 500, TimeUnit.MILLISECONDS);
    }

    public int requestsInFlight() {
        return requestsInFlight.get();
    }

    private boolean cold() {
        return System.nanoTime() - born < shape.warmUpMillis * 1_000_000L;
    }

    private void announce() {
        if (leaving) return;
        for (var r : routers) {
            var body = JSON.createObjectNode()
                    .put("service", shape.service)
                    .put("name", shape.name)
                    .put("address", shape.listenAddress)
                    .put("cell", shape.cell)
                    .put("slots", shape.slots)
                    .put("incarnation", incarnation)
                    .put("cold", cold())
                    .put("load", requestsInFlight.get())
                    .toString();
            beats.execute(() -> tell(r, "/v1/announce", body));
        }
    }

    private boolean tell(String router, String path, String body) {
        try {
            return BufferedHttpResponse.fetch(
                                    caller,
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

    public boolean announceLeave() {
        leaving = true;
        var body = JSON.createObjectNode()
                .put("service", shape.service)
                .put("name", shape.name)
                .put("incarnation", incarnation)
                .toString();
        var told = false;
        for (var r : routers) told |= tell(r, "/v1/leave", body);
        note("leave", "", "", told ? 1 : 0);
        return told;
    }

    public void drainAndClose() throws InterruptedException {
        for (var quiet = 0; quiet < 40; quiet = requestsInFlight.get() == 0 ? quiet + 1 : 0) Thread.sleep(100);
        close();
    }

    public void close() {
        beats.shutdownNow();
        server.stop();
        worker.shutdownNow();
        journal.close();
    }

    private synchronized void note(String what, String sub, String key, int n) {
        journal.println("{\"at\":" + System.currentTimeMillis() + ",\"runner\":\"" + shape.name + "\",\"what\":\""
                + what + "\",\"sub\":\"" + sub + "\",\"key\":\"" + key + "\",\"n\":" + n + "}");
        journal.flush();
    }

    private void serve(HttpServerExchange x) {
        x.startBlocking();
        x.getResponseHeaders().put(new HttpString("craneway-load"), requestsInFlight.get());
        if (requestsInFlight.incrementAndGet() > shape.slots) {
            requestsInFlight.decrementAndGet();
            x.setStatusCode(503).endExchange();
            return;
        }
        try {
            stream(x);
        } catch (IOException e) {
            IoUtils.safeClose(x.getConnection());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            requestsInFlight.decrementAndGet();
        }
    }

    private void stream(HttpServerExchange x) throws IOException, InterruptedException {
        var n = JSON.readTree(x.getInputStream().readAllBytes());
        var prompt = n.get("messages").get(0).get("content").asText();
        Matcher m = SUB.matcher(n.get("messages")
                .get(n.get("messages").size() - 1)
                .get("content")
                .asText());
        var sub = m.find() ? m.group(1) : "";
        var key = sub.isEmpty() ? "" : m.group(2);
        var tokens = n.path("max_tokens").asInt(16);
        note("start", sub, key, tokens);
        var hit = hit(prompt);
        Thread.sleep((hit ? 2 : shape.prefillMillis) * (cold() ? 3L : 1L));
        x.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
        var o = x.getOutputStream();
        for (var i = 0; i < tokens; i++) {
            var extra = i == 0 ? ",\"prefix\":\"" + (hit ? "hit" : "miss") + "\"" : "";
            o.write(("data: {\"object\":\"chat.completion.chunk\",\"index_of_token\":" + i + extra
                            + ",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t" + i + " \"}}]}\n\n")
                    .getBytes(StandardCharsets.UTF_8));
            o.flush();
            Thread.sleep(shape.millisPerToken);
        }
        o.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
        o.close();
        note("end", sub, key, tokens);
    }

    private boolean hit(String prompt) {
        synchronized (cache) {
            return cache.put(prompt, true) != null;
        }
    }
}
