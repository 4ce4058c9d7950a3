package craneway.pass;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.state.record.Rows;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Many concurrent streams of random events whose runs break off at random bytes in random ways, some of them with
 * clients that read slowly. What a client receives is always a prefix of its stream, and the whole stream if the
 * response is complete.
 */
class StreamFuzzTest {
    private static final int STREAM_COUNT = 40;
    private static final int THREAD_COUNT = 8;
    private static final int MAX_EVENTS = 40;
    private static final int LARGE_EVENT_CHARS = 30_000;
    private static final int SMALL_EVENT_CHARS = 50;
    private static final int SMALL_RECEIVE_BUFFER_BYTES = 4_096;

    /** What a runner does after the last byte of a run that it breaks off. */
    private enum StreamBreak {
        CLOSE,
        RESET,
        HALF_CLOSE,
        GARBAGE
    }

    /** Everything that a seed determines about one stream. */
    private static final class StreamPlan {
        final String attemptId;
        final List<String> events = new ArrayList<>();
        final boolean chunked;
        final boolean hasSlowClient;
        private final Random random;

        StreamPlan(long seed) {
            random = new Random(seed);
            attemptId = "t" + seed;
            chunked = random.nextInt(4) > 0;
            hasSlowClient = random.nextInt(3) == 0;
            var maxEventChars = random.nextInt(4) == 0 ? LARGE_EVENT_CHARS : SMALL_EVENT_CHARS;
            for (var i = 0; i < 1 + random.nextInt(MAX_EVENTS); i++)
                events.add("id: " + i + "\ndata: " + "x".repeat(random.nextInt(maxEventChars)) + "\n\n");
        }

        String allEvents() {
            return String.join("", events);
        }

        String eventsAfter(String lastId) {
            var from = lastId.isEmpty() ? 0 : Integer.parseInt(lastId) + 1;
            return String.join("", events.subList(from, events.size()));
        }
    }

    /** Plays one run of the stream that the attempt id names, and breaks it off if breaks are left. */
    private static void playRun(ScriptedRunner.Connection connection, int breaksLeft) throws Exception {
        var plan = new StreamPlan(Long.parseLong(connection.header("Try").substring(1)));
        var random = new Random(plan.random.nextLong() + breaksLeft);
        var remaining = plan.eventsAfter(connection.header("Last-Event-Id"));
        var breaksOff = breaksLeft > 0 && !remaining.isEmpty();
        var head = ScriptedRunner.streamResponseHead(plan.attemptId);
        connection.write(plan.chunked ? head : head.replace("Transfer-Encoding: chunked", "Connection: close"));
        writeInPieces(
                connection,
                plan,
                breaksOff ? remaining.substring(0, random.nextInt(remaining.length())) : remaining,
                random);
        if (breaksOff) breakOff(connection, plan, random);
        else if (plan.chunked) connection.write("0\r\n\r\n");
        else connection.close();
    }

    private static void writeInPieces(
            ScriptedRunner.Connection connection, StreamPlan plan, String events, Random random) throws IOException {
        for (var offset = 0; offset < events.length(); ) {
            var length = Math.min(events.length() - offset, 1 + random.nextInt(Math.max(200, events.length() / 3)));
            var piece = events.substring(offset, offset + length);
            connection.write(plan.chunked ? ScriptedRunner.chunk(piece) : piece);
            offset += length;
        }
    }

    /** Breaks the run off. A plain close would be a valid end of a run without chunks, so such a run is reset. */
    private static void breakOff(ScriptedRunner.Connection connection, StreamPlan plan, Random random)
            throws IOException {
        switch (plan.chunked ? StreamBreak.values()[random.nextInt(StreamBreak.values().length)] : StreamBreak.RESET) {
            case CLOSE -> connection.close();
            case RESET -> connection.reset();
            case HALF_CLOSE -> {
                connection.halfClose();
                connection.awaitPeerClose();
            }
            case GARBAGE -> {
                connection.write("no chunk");
                connection.awaitPeerClose();
            }
        }
    }

    private static ProxyRig.Response request(ProxyRig proxy, String path, StreamPlan plan) throws Exception {
        try (var client = new Socket()) {
            if (plan.hasSlowClient) client.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
            proxy.connect(client);
            ProxyRig.sendPost(client, path, plan.attemptId, "", "");
            return ProxyRig.read(
                    plan.hasSlowClient ? new SlowInputStream(client.getInputStream()) : client.getInputStream());
        }
    }

    /** Reads at most a few hundred bytes at a time and yields to other threads between reads. */
    private static final class SlowInputStream extends java.io.FilterInputStream {
        private static final int MAX_BYTES_PER_READ = 512;

        SlowInputStream(InputStream in) {
            super(in);
        }

        @Override
        public int read(byte[] buffer, int offset, int length) throws IOException {
            Thread.yield();
            return super.read(buffer, offset, Math.min(length, MAX_BYTES_PER_READ));
        }
    }

    @ParameterizedTest
    @CsvSource({"/stream/x,0,1", "/stream/x,1,2", "/resume/x,0,3", "/resume/x,1,4", "/resume/x,2,5", "/resume/x,1,6"})
    void clientReceivesPrefixOfItsStream(String path, int breaksPerStream, int seed) throws Exception {
        var runsByAttempt = new java.util.concurrent.ConcurrentHashMap<String, AtomicInteger>();
        ScriptedRunner.Script script = connection -> {
            for (var attemptId = connection.runRequest(); attemptId != null; attemptId = connection.runRequest()) {
                var earlierRuns = runsByAttempt
                        .computeIfAbsent(attemptId, k -> new AtomicInteger())
                        .getAndIncrement();
                playRun(connection, breaksPerStream - earlierRuns);
            }
        };
        var executor = Executors.newFixedThreadPool(THREAD_COUNT);
        try (var proxy = new ProxyRig();
                var firstRunner = new ScriptedRunner(script);
                var secondRunner = new ScriptedRunner(script);
                var thirdRunner = new ScriptedRunner(script)) {
            proxy.stopClock(); // otherwise a runner could count as silent on a busy machine
            proxy.putRunner("i1", firstRunner.address(), "a", Rows.Runner.UP);
            proxy.putRunner("i2", secondRunner.address(), "a", Rows.Runner.UP);
            proxy.putRunner("i3", thirdRunner.address(), "a", Rows.Runner.UP);
            var tasks = new ArrayList<Callable<Void>>();
            for (var i = 0; i < STREAM_COUNT; i++) {
                var plan = new StreamPlan(seed * 1_000L + i);
                tasks.add(() -> {
                    checkResponse(plan, request(proxy, path, plan), breaksPerStream);
                    return null;
                });
            }
            for (var future : executor.invokeAll(tasks)) future.get();
            for (var runCount : runsByAttempt.values())
                assertTrue(runCount.get() <= (path.startsWith("/resume") ? 2 : 1), "runs " + runCount);
        } finally {
            executor.shutdownNow();
        }
    }

    private static void checkResponse(StreamPlan plan, ProxyRig.Response response, int breaksPerStream) {
        var allEvents = plan.allEvents();
        assertEquals(200, response.status(), plan.attemptId);
        assertTrue(
                allEvents.startsWith(response.text()),
                plan.attemptId + " received something other than a prefix of its stream");
        if (response.complete())
            assertEquals(allEvents.length(), new String(response.body(), StandardCharsets.ISO_8859_1).length());
        if (breaksPerStream == 0) assertTrue(response.complete(), plan.attemptId);
    }
}
