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
 * Guards against a response that ends early but looks complete (RFC 9112, section 8). Checked for client connections
 * that are kept, that close after the response because the client or a draining router asks for it, and that speak
 * HTTP/1.0.
 */
class TruncatedResponseTest {
    private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
    private static final String SECOND_EVENT = "id: 2\ndata: b\n\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final int LONG_DEADLINE_MILLIS = 4_000;
    private static final int SHORT_DEADLINE_MILLIS = 300;

    /** HTTP version of the client, and whether its connection is kept after the response. */
    enum ClientKind {
        HTTP_1_1_KEEP_ALIVE("HTTP/1.1", "", false),
        HTTP_1_1_CLOSE("HTTP/1.1", "Connection: close\r\n", false),
        HTTP_1_1_TO_DRAINING_ROUTER("HTTP/1.1", "", true),
        HTTP_1_0("HTTP/1.0", "", false),
        HTTP_1_0_KEEP_ALIVE("HTTP/1.0", "Connection: keep-alive\r\n", false);

        private final String version;
        private final String header;
        private final boolean routerDraining;

        ClientKind(String version, String header, boolean leaving) {
            this.version = version;
            this.header = header;
            this.routerDraining = leaving;
        }
    }

    /** What ends the response after its first event. */
    enum TruncationCause {
        RUNNER_RESETS,
        RUNNER_CLOSES,
        RUNNER_SENDS_INVALID_CHUNK,
        DEADLINE,
        ROUTER_STOPS;

        private void trigger(ProxyRig proxy, ScriptedRunner.Connection connection) throws Exception {
            switch (this) {
                case RUNNER_RESETS -> connection.reset();
                case RUNNER_CLOSES -> connection.close();
                case RUNNER_SENDS_INVALID_CHUNK -> connection.write("no chunk");
                case DEADLINE -> {}
                case ROUTER_STOPS -> proxy.server.close();
            }
            connection.awaitPeerClose();
        }
    }

    static Stream<Arguments> clientsAndCauses() {
        return Stream.of(ClientKind.values())
                .flatMap(client -> Stream.of(TruncationCause.values()).map(cause -> Arguments.of(client, cause)));
    }

    private static ProxyRig.Response request(
            ProxyRig proxy, ClientKind client, String path, int deadlineMillis, CountDownLatch firstEventAtClient)
            throws Exception {
        if (client.routerDraining) proxy.server.startDraining();
        try (var connection = proxy.connect()) {
            connection
                    .getOutputStream()
                    .write(("POST " + path + " " + client.version + "\r\nHost: h.example\r\nTry: t1\r\nDeadline: "
                                    + deadlineMillis + "\r\n" + client.header + "Content-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            return ProxyRig.read(
                    new TextLatchInputStream(connection.getInputStream(), FIRST_EVENT, firstEventAtClient));
        }
    }

    @ParameterizedTest
    @MethodSource("clientsAndCauses")
    void streamThatEndsEarlyIsVisiblyTruncated(ClientKind client, TruncationCause cause) throws Exception {
        var firstEventAtClient = new CountDownLatch(1);
        try (var proxy = new ProxyRig();
                var runner = new ScriptedRunner(connection -> {
                    connection.write(ScriptedRunner.streamResponseHead(connection.runRequest())
                            + ScriptedRunner.chunk(FIRST_EVENT));
                    firstEventAtClient.await();
                    cause.trigger(proxy, connection);
                })) {
            proxy.putRunner("i1", runner.address(), "a", Rows.Runner.UP);
            var response = request(
                    proxy,
                    client,
                    "/stream/x",
                    cause == TruncationCause.DEADLINE ? SHORT_DEADLINE_MILLIS : LONG_DEADLINE_MILLIS,
                    firstEventAtClient);
            assertEquals(200, response.status());
            assertEquals(FIRST_EVENT, response.text());
            assertFalse(response.complete());
        }
    }

    @ParameterizedTest
    @MethodSource("clientsAndCauses")
    void chunkedPlainResponseThatEndsEarlyIsVisiblyTruncated(ClientKind client, TruncationCause cause)
            throws Exception {
        var firstEventAtClient = new CountDownLatch(1);
        try (var proxy = new ProxyRig();
                var runner = new ScriptedRunner(connection -> {
                    connection.write(ScriptedRunner.streamResponseHead(connection.runRequest())
                                    .replace("text/event-stream", "text/plain")
                            + ScriptedRunner.chunk(FIRST_EVENT));
                    firstEventAtClient.await();
                    cause.trigger(proxy, connection);
                })) {
            proxy.putRunner("i1", runner.address(), "a", Rows.Runner.UP);
            var response = request(
                    proxy,
                    client,
                    "/once/x",
                    cause == TruncationCause.DEADLINE ? SHORT_DEADLINE_MILLIS : LONG_DEADLINE_MILLIS,
                    firstEventAtClient);
            assertEquals(FIRST_EVENT, response.text());
            assertFalse(response.complete());
        }
    }

    @ParameterizedTest
    @EnumSource
    void streamThatEndsNormallyIsComplete(ClientKind client) throws Exception {
        var firstEventAtClient = new CountDownLatch(1);
        try (var proxy = new ProxyRig();
                var runner = new ScriptedRunner(connection -> {
                    connection.write(ScriptedRunner.streamResponseHead(connection.runRequest())
                            + ScriptedRunner.chunk(FIRST_EVENT));
                    firstEventAtClient.await();
                    connection.write(ScriptedRunner.chunk(SECOND_EVENT) + LAST_CHUNK);
                    connection.awaitPeerClose();
                })) {
            proxy.putRunner("i1", runner.address(), "a", Rows.Runner.UP);
            var response = request(proxy, client, "/stream/x", LONG_DEADLINE_MILLIS, firstEventAtClient);
            assertEquals(FIRST_EVENT + SECOND_EVENT, response.text());
            assertTrue(response.complete());
        }
    }
}
