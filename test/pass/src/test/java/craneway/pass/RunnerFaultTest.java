package craneway.pass;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.pass.RunnerFault.Outcome;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Each {@link RunnerFault} against a once-only request, a repeatable request and a resumable stream. */
class RunnerFaultTest {
    private static final List<Integer> NOT_RUN_STATUSES = List.of(408, 421, 429, 503);

    /** A router, two runners and a client connection; the first runner connection performs the fault, once. */
    private static final class Scene implements AutoCloseable {
        final ProxyRig proxy = new ProxyRig();
        final AtomicInteger acceptedConnections = new AtomicInteger();
        final CountDownLatch headAtClient = new CountDownLatch(1);
        final List<ScriptedRunner> runners = new ArrayList<>();
        final Socket client;
        volatile ScriptedRunner.Connection faultyConnection;

        Scene(RunnerFault fault) throws Exception {
            for (var i = 0; i < 2; i++) {
                var runner = new ScriptedRunner(connection -> playFaultThenServe(fault, connection));
                runners.add(runner);
                proxy.putRunner("i" + i, runner.address(), "a", craneway.state.record.Rows.Runner.UP);
            }
            client = proxy.connect();
        }

        private void playFaultThenServe(RunnerFault fault, ScriptedRunner.Connection connection) throws Exception {
            if (acceptedConnections.getAndIncrement() == 0) {
                faultyConnection = connection;
                fault.script.play(connection, faultContext());
            }
            for (var id = connection.runRequest(); id != null; id = connection.runRequest())
                connection.write(ScriptedRunner.success(id));
        }

        private RunnerFault.FaultContext faultContext() {
            return new RunnerFault.FaultContext() {
                @Override
                public void staySilent() throws InterruptedException {
                    proxy.advanceClock(700_000);
                    runners.get(0).awaitTestEnd();
                }

                @Override
                public void awaitHeadAtClient() throws InterruptedException {
                    headAtClient.await();
                }
            };
        }

        ProxyRig.Response request(String path, String attemptId, int deadlineMillis) throws Exception {
            var body = "b".repeat(50);
            client.getOutputStream()
                    .write(("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nTry: " + attemptId + "\r\nDeadline: "
                                    + deadlineMillis + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.ISO_8859_1));
            return ProxyRig.read(new TextLatchInputStream(client.getInputStream(), "\r\n\r\n", headAtClient));
        }

        long countRuns(String attemptId) {
            return runners.stream()
                    .flatMap(runner -> runner.ranAttemptIds.stream())
                    .filter(attemptId::equals)
                    .count();
        }

        @Override
        public void close() throws Exception {
            client.close();
            for (var runner : runners) runner.close();
            proxy.close();
        }
    }

    @ParameterizedTest
    @EnumSource
    void onceOnlyRequestGetsExpectedOutcome(RunnerFault fault) throws Exception {
        checkFault(fault, fault.outcomeIfRunOnce, "/once/x", true);
    }

    @ParameterizedTest
    @EnumSource
    void repeatableRequestGetsExpectedOutcome(RunnerFault fault) throws Exception {
        checkFault(fault, fault.outcomeIfRepeatable, "/again/x", false);
    }

    @ParameterizedTest
    @EnumSource
    void resumableRequestGetsExpectedOutcome(RunnerFault fault) throws Exception {
        checkFault(fault, fault.outcomeIfRepeatable, "/resume/x", false);
    }

    private static void checkFault(RunnerFault fault, Outcome outcome, String path, boolean runsOnce) throws Exception {
        try (var scene = new Scene(fault)) {
            var needsShortDeadline = outcome == Outcome.GATEWAY_TIMEOUT || fault == RunnerFault.SILENCE_WITHIN_BODY;
            var response = scene.request(path, "t1", needsShortDeadline ? 250 : 4_000);
            checkInvariants(response, scene.countRuns("t1"), runsOnce);
            checkOutcome(outcome, response);
            if (outcome != Outcome.TIMING_DEPENDENT)
                assertEquals(
                        (scene.faultyConnection.hasRunRequest ? 1 : 0) + (outcome == Outcome.SERVED_BY_SECOND ? 1 : 0),
                        scene.countRuns("t1"));
            if (!response.complete()) return;
            var nextResponse = scene.request("/again/x", "t2", 4_000);
            assertEquals(
                    "t2",
                    nextResponse.headers().get("Try"),
                    "the next response on the connection belongs to the next request");
            assertEquals("body of t2", nextResponse.text());
        }
    }

    private static void checkInvariants(ProxyRig.Response response, long runCount, boolean runsOnce) {
        if (runsOnce) assertTrue(runCount <= 1, "ran " + runCount + " times");
        if (NOT_RUN_STATUSES.contains(response.status()))
            assertEquals(0, runCount, "status promises that the request has not run, although it has");
        if (response.status() / 100 == 2 && response.complete()) {
            assertEquals("body of t1", response.text());
            assertEquals("s-t1", response.headers().get("Stamp"));
            assertEquals("t1", response.headers().get("Try"));
        }
        if (response.status() / 100 != 2) assertFalse(response.text().contains("whose"));
    }

    private static void checkOutcome(Outcome outcome, ProxyRig.Response response) {
        switch (outcome) {
            case SERVED_BY_FIRST, SERVED_BY_SECOND -> {
                assertEquals(200, response.status());
                assertTrue(response.complete());
            }
            case FAILURE_FORWARDED -> {
                assertEquals("failed", response.text());
                assertEquals("s", response.headers().get("Stamp"));
            }
            case BAD_GATEWAY -> checkRouterResponse(502, response);
            case GATEWAY_TIMEOUT -> checkRouterResponse(504, response);
            case TRUNCATED -> {
                assertEquals(200, response.status());
                assertFalse(response.complete());
            }
            case TIMING_DEPENDENT -> {}
        }
    }

    private static void checkRouterResponse(int status, ProxyRig.Response response) {
        assertEquals(status, response.status(), response.text());
        assertNull(response.headers().get("Stamp"), "a response of the router has no stamp");
    }
}
