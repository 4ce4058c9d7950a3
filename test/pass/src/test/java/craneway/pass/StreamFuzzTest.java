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
 * Many streams at once, of random events, whose runs break off at random bytes in random ways, before clients that read
 * slowly or leave. What a client got is always the begin of its stream, and all of it where it looks whole.
 */
class StreamFuzzTest {
    private static final int STREAMS = 40;
    private static final int LANES = 8;
    private static final int MOST_EVENTS = 40;
    private static final int LARGE = 30_000;
    private static final int SMALL = 50;
    private static final int SMALL_WINDOW = 4_096;

    /** How a run ends behind the byte at which it breaks off. */
    private enum Break {
        CLOSE,
        RESET,
        HALF_CLOSE,
        GARBAGE
    }

    /** All that a seed decides of one stream. */
    private static final class Plan {
        final String tryId;
        final List<String> events = new ArrayList<>();
        final boolean framed;
        final boolean slowClient;
        private final Random random;

        Plan(long seed) {
            random = new Random(seed);
            tryId = "t" + seed;
            framed = random.nextInt(4) > 0;
            slowClient = random.nextInt(3) == 0;
            var most = random.nextInt(4) == 0 ? LARGE : SMALL;
            for (var i = 0; i < 1 + random.nextInt(MOST_EVENTS); i++)
                events.add("id: " + i + "\ndata: " + "x".repeat(random.nextInt(most)) + "\n\n");
        }

        String whole() {
            return String.join("", events);
        }

        String after(String lastId) {
            var from = lastId.isEmpty() ? 0 : Integer.parseInt(lastId) + 1;
            return String.join("", events.subList(from, events.size()));
        }
    }

    private static void run(ScriptedRunner.Connection c, int breaksLeft) throws Exception {
        var plan = new Plan(Long.parseLong(c.header("Try").substring(1)));
        var random = new Random(plan.random.nextLong() + breaksLeft);
        var left = plan.after(c.header("Last-Event-Id"));
        var breaks = breaksLeft > 0 && !left.isEmpty();
        var head = ScriptedRunner.streamHead(plan.tryId);
        c.write(plan.framed ? head : head.replace("Transfer-Encoding: chunked", "Connection: close"));
        write(c, plan, breaks ? left.substring(0, random.nextInt(left.length())) : left, random);
        if (breaks) breakOff(c, plan, random);
        else if (plan.framed) c.write("0\r\n\r\n");
        else c.close();
    }

    private static void write(ScriptedRunner.Connection c, Plan plan, String text, Random random) throws IOException {
        for (var at = 0; at < text.length(); ) {
            var n = Math.min(text.length() - at, 1 + random.nextInt(Math.max(200, text.length() / 3)));
            var piece = text.substring(at, at + n);
            c.write(plan.framed ? ScriptedRunner.chunk(piece) : piece);
            at += n;
        }
    }

    /** A close between the events of a run without a length is its end, so that such a run is reset. */
    private static void breakOff(ScriptedRunner.Connection c, Plan plan, Random random) throws IOException {
        switch (plan.framed ? Break.values()[random.nextInt(Break.values().length)] : Break.RESET) {
            case CLOSE -> c.close();
            case RESET -> c.reset();
            case HALF_CLOSE -> {
                c.halfClose();
                c.untilClosed();
            }
            case GARBAGE -> {
                c.write("no chunk");
                c.untilClosed();
            }
        }
    }

    private static Bed.Answer ask(Bed bed, String path, Plan plan) throws Exception {
        try (var s = new Socket()) {
            if (plan.slowClient) s.setReceiveBufferSize(SMALL_WINDOW);
            bed.connect(s);
            Bed.send(s, path, plan.tryId, "", "");
            return Bed.answer(plan.slowClient ? new Slow(s.getInputStream()) : s.getInputStream());
        }
    }

    /** Lets others run between reads of a few bytes. */
    private static final class Slow extends java.io.FilterInputStream {
        private static final int FEW = 512;

        Slow(InputStream in) {
            super(in);
        }

        @Override
        public int read(byte[] b, int from, int n) throws IOException {
            Thread.yield();
            return super.read(b, from, Math.min(n, FEW));
        }
    }

    @ParameterizedTest
    @CsvSource({"/stream/x,0,1", "/stream/x,1,2", "/resume/x,0,3", "/resume/x,1,4", "/resume/x,2,5", "/resume/x,1,6"})
    void whatAClientGetsIsTheBeginOfItsStream(String path, int breaks, int seed) throws Exception {
        var runs = new java.util.concurrent.ConcurrentHashMap<String, AtomicInteger>();
        ScriptedRunner.Script script = c -> {
            for (var id = c.run(); id != null; id = c.run()) {
                var n = runs.computeIfAbsent(id, k -> new AtomicInteger()).getAndIncrement();
                run(c, breaks - n);
            }
        };
        var lanes = Executors.newFixedThreadPool(LANES);
        try (var bed = new Bed();
                var one = new ScriptedRunner(script);
                var two = new ScriptedRunner(script);
                var three = new ScriptedRunner(script)) {
            bed.stopClock(); // no runner counts as silent on a busy machine
            bed.runner("i1", one.address(), "a", Rows.Runner.UP);
            bed.runner("i2", two.address(), "a", Rows.Runner.UP);
            bed.runner("i3", three.address(), "a", Rows.Runner.UP);
            var all = new ArrayList<Callable<Void>>();
            for (var i = 0; i < STREAMS; i++) {
                var plan = new Plan(seed * 1_000L + i);
                all.add(() -> {
                    check(plan, ask(bed, path, plan), breaks);
                    return null;
                });
            }
            for (var f : lanes.invokeAll(all)) f.get();
            for (var n : runs.values()) assertTrue(n.get() <= (path.startsWith("/resume") ? 2 : 1), "runs " + n);
        } finally {
            lanes.shutdownNow();
        }
    }

    private static void check(Plan plan, Bed.Answer a, int breaks) {
        var whole = plan.whole();
        assertEquals(200, a.status(), plan.tryId);
        assertTrue(whole.startsWith(a.text()), plan.tryId + " got what is no begin of its stream");
        if (a.whole()) assertEquals(whole.length(), new String(a.body(), StandardCharsets.ISO_8859_1).length());
        if (breaks == 0) assertTrue(a.whole(), plan.tryId);
    }
}
