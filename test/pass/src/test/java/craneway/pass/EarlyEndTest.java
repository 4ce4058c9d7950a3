package craneway.pass;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.state.record.Rows;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * An answer that ends early never looks complete (RFC 9112, 8), whether its connection is kept, ends with it because the
 * client or a router that leaves says so, or the client speaks HTTP/1.0.
 */
class EarlyEndTest {
    private static final String ONE = "id: 1\ndata: a\n\n";
    private static final String TWO = "id: 2\ndata: b\n\n";
    private static final String END = "0\r\n\r\n";
    private static final int LONG = 4_000;
    private static final int BRIEF = 300;

    /** How the client's connection goes on behind the answer. */
    enum Client {
        KEEPS_ITS_CONNECTION("HTTP/1.1", "", false),
        CLOSES_ITS_CONNECTION("HTTP/1.1", "Connection: close\r\n", false),
        ASKS_A_ROUTER_THAT_LEAVES("HTTP/1.1", "", true),
        SPEAKS_HTTP_1_0("HTTP/1.0", "", false),
        SPEAKS_HTTP_1_0_AND_KEEPS("HTTP/1.0", "Connection: keep-alive\r\n", false);

        private final String version;
        private final String header;
        private final boolean leaving;

        Client(String version, String header, boolean leaving) {
            this.version = version;
            this.header = header;
            this.leaving = leaving;
        }
    }

    /** What ends the answer behind its first event. */
    enum Cause {
        RUNNER_RESETS,
        RUNNER_CLOSES,
        RUNNER_SENDS_NO_CHUNK,
        DEADLINE,
        ROUTER_STOPS;

        private void play(Bed bed, ScriptedRunner.Connection c) throws Exception {
            switch (this) {
                case RUNNER_RESETS -> c.reset();
                case RUNNER_CLOSES -> c.close();
                case RUNNER_SENDS_NO_CHUNK -> c.write("no chunk");
                case DEADLINE -> {}
                case ROUTER_STOPS -> bed.server.close();
            }
            c.untilClosed();
        }
    }

    static Stream<Arguments> cells() {
        return Stream.of(Client.values())
                .flatMap(client -> Stream.of(Cause.values()).map(cause -> Arguments.of(client, cause)));
    }

    private static Bed.Answer ask(Bed bed, Client client, String path, int deadline, CountDownLatch first)
            throws Exception {
        if (client.leaving) bed.server.startDraining();
        try (var s = bed.connect()) {
            s.getOutputStream()
                    .write(("POST " + path + " " + client.version + "\r\nHost: h.example\r\nTry: t1\r\nDeadline: "
                                    + deadline + "\r\n" + client.header + "Content-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            return Bed.answer(new Until(s.getInputStream(), ONE, first));
        }
    }

    @ParameterizedTest
    @MethodSource("cells")
    void aStreamThatEndsEarlyLooksCut(Client client, Cause cause) throws Exception {
        var first = new CountDownLatch(1);
        try (var bed = new Bed();
                var runner = new ScriptedRunner(c -> {
                    c.write(ScriptedRunner.streamHead(c.run()) + ScriptedRunner.chunk(ONE));
                    first.await();
                    cause.play(bed, c);
                })) {
            bed.runner("i1", runner.address(), "a", Rows.Runner.UP);
            var a = ask(bed, client, "/stream/x", cause == Cause.DEADLINE ? BRIEF : LONG, first);
            assertEquals(200, a.status());
            assertEquals(ONE, a.text());
            assertFalse(a.whole());
        }
    }

    @ParameterizedTest
    @MethodSource("cells")
    void aPlainAnswerInChunksThatEndsEarlyLooksCut(Client client, Cause cause) throws Exception {
        var first = new CountDownLatch(1);
        try (var bed = new Bed();
                var runner = new ScriptedRunner(c -> {
                    c.write(ScriptedRunner.streamHead(c.run()).replace("text/event-stream", "text/plain")
                            + ScriptedRunner.chunk(ONE));
                    first.await();
                    cause.play(bed, c);
                })) {
            bed.runner("i1", runner.address(), "a", Rows.Runner.UP);
            var a = ask(bed, client, "/once/x", cause == Cause.DEADLINE ? BRIEF : LONG, first);
            assertEquals(ONE, a.text());
            assertFalse(a.whole());
        }
    }

    @ParameterizedTest
    @EnumSource
    void aStreamThatEndsWellIsWhole(Client client) throws Exception {
        var first = new CountDownLatch(1);
        try (var bed = new Bed();
                var runner = new ScriptedRunner(c -> {
                    c.write(ScriptedRunner.streamHead(c.run()) + ScriptedRunner.chunk(ONE));
                    first.await();
                    c.write(ScriptedRunner.chunk(TWO) + END);
                    c.untilClosed();
                })) {
            bed.runner("i1", runner.address(), "a", Rows.Runner.UP);
            var a = ask(bed, client, "/stream/x", LONG, first);
            assertEquals(ONE + TWO, a.text());
            assertTrue(a.whole());
        }
    }
}
