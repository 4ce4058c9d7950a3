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
 * Random sequences of runner faults, by seed. Each request may meet a fault of its own at each runner that it reaches,
 * on connections that earlier requests have left open. The checks use only what the client received and what the
 * runners ran: no once-only request runs twice, no attempt limit is exceeded, no status wrongly promises that a request
 * has not run, and no client receives bytes of another response.
 */
class RandomFaultSequenceTest {
    private static final int SEED_COUNT = 120;
    private static final int THREAD_COUNT = 6;
    private static final int RUNNER_COUNT = 3;
    private static final int REQUESTS_PER_SEED = 6;
    private static final int DEADLINE_MILLIS = 300;
    private static final int FAULTS_IN_TEN = 6;
    private static final List<RunnerFault> NOT_RUN_FAULTS =
            List.of(RunnerFault.NOT_RUN_503, RunnerFault.NOT_RUN_429, RunnerFault.NOT_RUN_421);
    private static final List<Integer> NOT_RUN_STATUSES = List.of(408, 421, 429, 503);

    /** A path of a route, the most runners that one of its requests may reach, and whether it may run only once. */
    private record RouteUnderTest(String path, int maxAttempts, boolean runsOnce) {}

    private static final List<RouteUnderTest> ROUTES = List.of(
            new RouteUnderTest("/once/x", 2, true),
            new RouteUnderTest("/thrice/x", 3, true),
            new RouteUnderTest("/again/x", 2, false),
            new RouteUnderTest("/stream/x", 1, true),
            new RouteUnderTest("/resume/x", 2, false));

    /** What the client received for one request; status 0 if its connection ended without a response. */
    private record ClientResult(
            String attemptId,
            RouteUnderTest route,
            int status,
            boolean complete,
            String bodyText,
            Map<String, String> headers) {}

    /** The router, its faulty runners and the client requests of one seed. */
    private static final class Sequence implements AutoCloseable {
        private final long seed;
        private final ProxyRig proxy = new ProxyRig();
        private final List<ScriptedRunner> runners = new ArrayList<>();
        private final Map<String, AtomicInteger> reached = new ConcurrentHashMap<>();
        private final List<ClientResult> results = new ArrayList<>();

        Sequence(long seed) throws IOException {
            this.seed = seed;
            for (var i = 0; i < RUNNER_COUNT; i++) {
                var random = new Random(seed * RUNNER_COUNT + i);
                var runner = new ScriptedRunner(connection -> playFaults(connection, random));
                runners.add(runner);
                proxy.putRunner("i" + i, runner.address(), "a", Rows.Runner.UP);
            }
        }

        private void playFaults(ScriptedRunner.Connection connection, Random random) throws Exception {
            while (!connection.socket.isClosed()) {
                var fault = drawFault(random);
                if (fault != null) fault.script.play(connection, faultContext(connection));
                if (fault != null && connection.socket.isClosed()) return;
                var attemptId = connection.runRequest();
                if (attemptId == null) return;
                connection.write(ScriptedRunner.success(attemptId));
            }
        }

        private static RunnerFault drawFault(Random random) {
            synchronized (random) {
                if (random.nextInt(10) >= FAULTS_IN_TEN) return null;
                var allFaults = RunnerFault.values();
                var candidates = random.nextInt(4) == 0 ? NOT_RUN_FAULTS : List.of(allFaults);
                return candidates.get(random.nextInt(candidates.size()));
            }
        }

        private RunnerFault.FaultContext faultContext(ScriptedRunner.Connection connection) {
            return new RunnerFault.FaultContext() {
                @Override
                public void staySilent() {
                    connection.awaitPeerClose();
                }

                @Override
                public void awaitHeadAtClient() {}
            };
        }

        void sendRequests() throws IOException {
            var random = new Random(seed);
            Socket client = null;
            for (var i = 0; i < REQUESTS_PER_SEED; i++) {
                if (client == null) client = proxy.connect();
                var route = ROUTES.get(random.nextInt(ROUTES.size()));
                var result = request(client, route, "t" + seed + "-" + i);
                results.add(result);
                if (result.status == 0 || !result.complete || random.nextInt(4) == 0) {
                    client.close();
                    client = null;
                }
            }
            if (client != null) client.close();
        }

        private static ClientResult request(Socket client, RouteUnderTest route, String attemptId) {
            try {
                var body = "b".repeat(50);
                client.getOutputStream()
                        .write(("POST " + route.path + " HTTP/1.1\r\nHost: h.example\r\nTry: " + attemptId
                                        + "\r\nDeadline: " + DEADLINE_MILLIS + "\r\nContent-Length: " + body.length()
                                        + "\r\n\r\n" + body)
                                .getBytes(StandardCharsets.ISO_8859_1));
                var response = ProxyRig.read(client.getInputStream());
                return new ClientResult(
                        attemptId, route, response.status(), response.complete(), response.text(), response.headers());
            } catch (IOException | RuntimeException e) {
                return new ClientResult(attemptId, route, 0, false, "", Map.of());
            }
        }

        private long countRuns(String attemptId) {
            return runners.stream()
                    .flatMap(runner -> runner.ranAttemptIds.stream())
                    .filter(attemptId::equals)
                    .count();
        }

        /** Checks the results after all runs have ended, so that nothing can run after a promise that it has not. */
        void checkResults() {
            for (var result : results) {
                var runCount = countRuns(result.attemptId);
                var description = "seed " + seed + " " + result + " runs " + runCount;
                if (result.route.runsOnce) assertTrue(runCount <= 1, "ran twice: " + description);
                assertTrue(runCount <= result.route.maxAttempts, "more runs than attempts allowed: " + description);
                if (result.route.runsOnce && NOT_RUN_STATUSES.contains(result.status))
                    assertEquals(0, runCount, "ran although the status promises otherwise: " + description);
                if (result.status / 100 == 2 && result.complete) checkSuccess(result, description);
                else if (result.headers.containsKey("Stamp") && result.complete)
                    assertEquals("failed", result.bodyText, "bytes of another response: " + description);
            }
        }

        private void checkSuccess(ClientResult result, String description) {
            assertEquals("body of " + result.attemptId, result.bodyText, "bytes of another response: " + description);
            assertEquals(
                    "s-" + result.attemptId, result.headers.get("Stamp"), "bytes of another response: " + description);
            assertEquals(result.attemptId, result.headers.get("Try"), "bytes of another response: " + description);
        }

        @Override
        public void close() throws IOException {
            for (var runner : runners) runner.close();
            proxy.close();
        }
    }

    @Test
    void randomFaultSequencesBreakNoDeliveryRule() throws Exception {
        var executor = Executors.newFixedThreadPool(THREAD_COUNT);
        var completeCount = new AtomicInteger();
        var notRunCount = new AtomicInteger();
        var statusCounts = new ConcurrentHashMap<Integer, Integer>();
        var failures = new ConcurrentHashMap<Long, Throwable>();
        var finished = new CountDownLatch(SEED_COUNT);
        for (var i = 0L; i < SEED_COUNT; i++) {
            var seed = i;
            executor.execute(() -> {
                try (var sequence = new Sequence(seed)) {
                    sequence.sendRequests();
                    sequence.checkResults();
                    for (var result : sequence.results) {
                        statusCounts.merge(result.status, 1, Integer::sum);
                        if (result.status == 200 && result.complete) completeCount.incrementAndGet();
                        if (NOT_RUN_STATUSES.contains(result.status)) notRunCount.incrementAndGet();
                    }
                } catch (Exception | AssertionError e) {
                    failures.put(seed, e);
                } finally {
                    finished.countDown();
                }
            });
        }
        assertTrue(finished.await(4, TimeUnit.MINUTES));
        executor.shutdownNow();
        assertTrue(failures.isEmpty(), failures.toString());
        assertTrue(completeCount.get() > SEED_COUNT, "complete responses: " + completeCount);
        assertTrue(notRunCount.get() > SEED_COUNT / 20, "not-run statuses: " + notRunCount + " " + statusCounts);
    }
}
