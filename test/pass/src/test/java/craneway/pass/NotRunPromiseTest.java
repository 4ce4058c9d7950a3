package craneway.pass;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.state.record.Rows;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a response that promises a once-only request has not run although it has, which would make the client
 * send it again. Tries every sequence of what three runners can do with the request.
 */
class NotRunPromiseTest {
    private static final List<Integer> NOT_RUN_STATUSES = List.of(408, 421, 429, 503);
    private static final int RUNNER_COUNT = 3;
    private static final int LONG_DEADLINE_MILLIS = 4_000;
    private static final int SHORT_DEADLINE_MILLIS = 400;

    /** What a runner does with the request. */
    enum Behaviour {
        REFUSES_THE_CONNECTION(connection -> {}),
        NOT_RUN_503(connection -> {
            connection.readWithoutRunning();
            connection.write(ScriptedRunner.response(503, connection.header("Try"), "Not-Run: 1\r\n", ""));
        }),
        NOT_RUN_421(connection -> {
            connection.readWithoutRunning();
            connection.write(ScriptedRunner.response(421, connection.header("Try"), "Not-Run: 1\r\n", ""));
        }),
        RUNS_AND_IS_SILENT(connection -> {
            connection.runRequest();
            connection.awaitPeerClose();
        }),
        RUNS_AND_RESETS(connection -> {
            connection.runRequest();
            connection.reset();
        }),
        RUNS_AND_RESPONDS_503(connection ->
                connection.write(ScriptedRunner.response(503, connection.runRequest(), "Stamp: s\r\n", "failed")));

        private final ScriptedRunner.Script script;

        Behaviour(ScriptedRunner.Script script) {
            this.script = script;
        }

        private boolean runsRequest() {
            return name().startsWith("RUNS");
        }
    }

    static Stream<List<Behaviour>> sequences() {
        var sequences = new ArrayList<List<Behaviour>>();
        for (var first : Behaviour.values())
            for (var second : Behaviour.values())
                for (var third : Behaviour.values()) sequences.add(List.of(first, second, third));
        return sequences.stream();
    }

    /** Closes the socket and returns its address, at which nothing listens any more. */
    private static String addressAfterClose(ServerSocket socket) throws IOException {
        socket.close();
        return "127.0.0.1:" + socket.getLocalPort();
    }

    @ParameterizedTest
    @MethodSource("sequences")
    void noNotRunStatusAfterRun(List<Behaviour> sequence) throws Exception {
        var listening = sequence.stream()
                .filter(behaviour -> behaviour != Behaviour.REFUSES_THE_CONNECTION)
                .toList();
        var deadlineMillis =
                sequence.contains(Behaviour.RUNS_AND_IS_SILENT) ? SHORT_DEADLINE_MILLIS : LONG_DEADLINE_MILLIS;
        var nextListening = new AtomicInteger();
        var runners = new ArrayList<ScriptedRunner>();
        try (var proxy = new ProxyRig()) {
            for (var i = 0; i < RUNNER_COUNT; i++) {
                if (sequence.get(i) == Behaviour.REFUSES_THE_CONNECTION) {
                    var address = addressAfterClose(new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")));
                    proxy.putRunner("i" + i, address, "a", Rows.Runner.UP);
                } else {
                    var runner = new ScriptedRunner(connection -> listening
                            .get(nextListening.getAndIncrement())
                            .script
                            .play(connection));
                    runners.add(runner);
                    proxy.putRunner("i" + i, runner.address(), "a", Rows.Runner.UP);
                }
            }
            try (var client = proxy.connect()) {
                client.getOutputStream()
                        .write(("POST /thrice/x HTTP/1.1\r\nHost: h.example\r\nTry: t1\r\nDeadline: " + deadlineMillis
                                        + "\r\nContent-Length: 0\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
                var response = ProxyRig.read(client.getInputStream());
                checkResponse(
                        sequence,
                        response,
                        runners.stream()
                                .mapToInt(runner -> runner.ranAttemptIds.size())
                                .sum());
            }
        } finally {
            for (var runner : runners) runner.close();
        }
    }

    private static void checkResponse(List<Behaviour> sequence, ProxyRig.Response response, int runCount) {
        assertTrue(runCount <= 1, "ran " + runCount + " times");
        if (NOT_RUN_STATUSES.contains(response.status()))
            assertEquals(0, runCount, "status promises that the request has not run, although it has");
        var hasShortDeadline = sequence.contains(Behaviour.RUNS_AND_IS_SILENT);
        if (response.status() == 504) assertTrue(hasShortDeadline, response.text());
        // on a busy machine the short deadline may pass before any runner has received the request
        if (hasShortDeadline && (runCount == 0 || response.status() == 504)) return;
        assertEquals(
                sequence.stream().anyMatch(Behaviour::runsRequest),
                runCount == 1,
                response.status() + " " + response.text());
        assertEquals(runCount == 0, response.status() == 503, response.status() + " " + response.text());
        if (response.status() == 503)
            assertTrue(Double.parseDouble(response.headers().get("Retry-After")) > 0);
    }
}
