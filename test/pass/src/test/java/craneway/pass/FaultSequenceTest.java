package craneway.pass;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.state.record.Rows;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/**
 * Random sequences of runners' faults, by seed: every request of a client meets a fault of its own at each runner that it
 * reaches, on connections that earlier requests left behind. The judge knows only what the client saw and what the runners
 * ran, and holds it against the rules.
 */
class FaultSequenceTest {
    private static final int SEEDS = 120;
    private static final int LANES = 6;
    private static final int RUNNERS = 3;
    private static final int REQUESTS = 6;
    private static final int DEADLINE_MILLIS = 300;
    private static final int FAULTS_IN_TEN = 6;
    private static final List<RunnerFault> TURNS_AWAY =
            List.of(RunnerFault.TURNED_AWAY_503, RunnerFault.TURNED_AWAY_429, RunnerFault.TURNED_AWAY_421);
    private static final List<Integer> PROMISES = List.of(408, 421, 429, 503);

    /** A route, how many runners one request of it may reach, and whether more than one may run it. */
    private record Path(String path, int tries, boolean once) {}

    private static final List<Path> PATHS = List.of(
            new Path("/once/x", 2, true),
            new Path("/thrice/x", 3, true),
            new Path("/again/x", 2, false),
            new Path("/stream/x", 1, true),
            new Path("/resume/x", 2, false));

    /** What the client got for one request; status 0 where its connection ended without an answer. */
    private record Seen(String tryId, Path path, int status, boolean whole, String text, Map<String, String> headers) {}

    private static final class Sequence implements AutoCloseable {
        private final long seed;
        private final Bed bed = new Bed();
        private final List<ScriptedRunner> runners = new ArrayList<>();
        private final Map<String, AtomicInteger> reached = new ConcurrentHashMap<>();
        private final List<Seen> seen = new ArrayList<>();

        Sequence(long seed) throws IOException {
            this.seed = seed;
            for (var i = 0; i < RUNNERS; i++) {
                var random = new Random(seed * RUNNERS + i);
                var runner = new ScriptedRunner(c -> play(c, random));
                runners.add(runner);
                bed.runner("i" + i, runner.address(), "a", Rows.Runner.UP);
            }
        }

        private void play(ScriptedRunner.Connection c, Random random) throws Exception {
            while (!c.socket.isClosed()) {
                var fault = next(random);
                if (fault != null) fault.play.on(c, stage(c));
                if (fault != null && c.socket.isClosed()) return;
                var id = c.run();
                if (id == null) return;
                c.write(ScriptedRunner.success(id));
            }
        }

        private static RunnerFault next(Random random) {
            synchronized (random) {
                if (random.nextInt(10) >= FAULTS_IN_TEN) return null;
                var all = RunnerFault.values();
                var some = random.nextInt(4) == 0 ? TURNS_AWAY : List.of(all);
                return some.get(random.nextInt(some.size()));
            }
        }

        private RunnerFault.Stage stage(ScriptedRunner.Connection c) {
            return new RunnerFault.Stage() {
                @Override
                public void silence() {
                    c.untilClosed();
                }

                @Override
                public void clientHasHead() {}
            };
        }

        void run() throws IOException {
            var random = new Random(seed);
            Socket client = null;
            for (var i = 0; i < REQUESTS; i++) {
                if (client == null) client = bed.connect();
                var path = PATHS.get(random.nextInt(PATHS.size()));
                var answer = ask(client, path, "t" + seed + "-" + i);
                seen.add(answer);
                if (answer.status == 0 || !answer.whole || random.nextInt(4) == 0) {
                    client.close();
                    client = null;
                }
            }
            if (client != null) client.close();
        }

        private static Seen ask(Socket client, Path path, String tryId) {
            try {
                var body = "b".repeat(50);
                client.getOutputStream()
                        .write(("POST " + path.path + " HTTP/1.1\r\nHost: h.example\r\nTry: " + tryId + "\r\nDeadline: "
                                        + DEADLINE_MILLIS + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                                .getBytes(StandardCharsets.ISO_8859_1));
                var a = Bed.answer(client.getInputStream());
                return new Seen(tryId, path, a.status(), a.whole(), a.text(), a.headers());
            } catch (IOException | RuntimeException e) {
                return new Seen(tryId, path, 0, false, "", Map.of());
            }
        }

        private long runs(String tryId) {
            return runners.stream()
                    .flatMap(r -> r.ran.stream())
                    .filter(tryId::equals)
                    .count();
        }

        /** All runs are over: what was promised not to run can't run later. */
        void judge() {
            for (var s : seen) {
                var runs = runs(s.tryId);
                var what = "seed " + seed + " " + s + " runs " + runs;
                if (s.path.once) assertTrue(runs <= 1, "TWICE " + what);
                assertTrue(runs <= s.path.tries, "BUDGET " + what);
                if (s.path.once && PROMISES.contains(s.status)) assertEquals(0, runs, "REFUSED " + what);
                if (s.status / 100 == 2 && s.whole) judgeSuccess(s, what);
                else if (s.headers.containsKey("Stamp") && s.whole) assertEquals("failed", s.text, "MIXED " + what);
            }
        }

        private void judgeSuccess(Seen s, String what) {
            assertEquals("body of " + s.tryId, s.text, "MIXED " + what);
            assertEquals("s-" + s.tryId, s.headers.get("Stamp"), "MIXED " + what);
            assertEquals(s.tryId, s.headers.get("Try"), "MIXED " + what);
        }

        @Override
        public void close() throws IOException {
            for (var r : runners) r.close();
            bed.close();
        }
    }

    @Test
    void noSequenceBreaksARule() throws Exception {
        var lanes = Executors.newFixedThreadPool(LANES);
        var whole = new AtomicInteger();
        var promised = new AtomicInteger();
        var statuses = new ConcurrentHashMap<Integer, Integer>();
        var failures = new ConcurrentHashMap<Long, Throwable>();
        var done = new CountDownLatch(SEEDS);
        for (var i = 0L; i < SEEDS; i++) {
            var seed = i;
            lanes.execute(() -> {
                try (var sequence = new Sequence(seed)) {
                    sequence.run();
                    sequence.judge();
                    for (var s : sequence.seen) {
                        statuses.merge(s.status, 1, Integer::sum);
                        if (s.status == 200 && s.whole) whole.incrementAndGet();
                        if (PROMISES.contains(s.status)) promised.incrementAndGet();
                    }
                } catch (Exception | AssertionError e) {
                    failures.put(seed, e);
                } finally {
                    done.countDown();
                }
            });
        }
        assertTrue(done.await(4, TimeUnit.MINUTES));
        lanes.shutdownNow();
        assertTrue(failures.isEmpty(), failures.toString());
        assertTrue(whole.get() > SEEDS, "whole answers: " + whole);
        assertTrue(promised.get() > SEEDS / 20, "promises: " + promised + " " + statuses);
    }
}
