package craneway.pass;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.state.record.Rows;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A runner breaks a stream off after its first event: for a stream that may run only once, and for a resumable one. */
class StreamFaultTest {
    private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
    private static final String SECOND_EVENT = "id: 2\ndata: b\n\n";
    private static final String THIRD_EVENT = "id: 3\ndata: c\n\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";

    /** What the first runner does once its first event has reached the client. */
    enum StreamBreak {
        RESET(connection -> connection.reset()),
        CLOSE(connection -> connection.close()),
        HALF_CLOSE(connection -> {
            connection.halfClose();
            connection.awaitPeerClose();
        }),
        PART_OF_AN_EVENT_THEN_RESET(connection -> {
            connection.write(ScriptedRunner.chunk("id: 2\nda"));
            connection.reset();
        }),
        PART_OF_A_CHUNK_THEN_CLOSE(connection -> {
            connection.write("20\r\nid: 2\ndata: ");
            connection.close();
        }),
        EVENT_WITHOUT_CHUNK_HEADER(connection -> {
            connection.write("id: 2\ndata: b\n\n");
            connection.awaitPeerClose();
        }),
        SECOND_RESPONSE_WITHIN_STREAM(connection -> {
            connection.write(ScriptedRunner.success("another"));
            connection.awaitPeerClose();
        }),
        SILENCE(ScriptedRunner.Connection::awaitPeerClose);

        private final ScriptedRunner.Script script;

        StreamBreak(ScriptedRunner.Script script) {
            this.script = script;
        }
    }

    /** How the second runner responds to a request to resume after the first event. */
    enum ResumeResponse {
        REMAINING_EVENTS(
                true,
                ScriptedRunner.streamResponseHead("t1")
                        + ScriptedRunner.chunk(SECOND_EVENT)
                        + ScriptedRunner.chunk(THIRD_EVENT)
                        + LAST_CHUNK),
        NO_EVENTS(true, ScriptedRunner.streamResponseHead("t1") + LAST_CHUNK),
        FAILURE(false, ScriptedRunner.response(500, "t1", "Stamp: s\r\n", "failed")),
        NOT_RUN(false, ScriptedRunner.response(503, "t1", "Not-Run: 1\r\n", "")),
        WRONG_ATTEMPT_ID(
                false, ScriptedRunner.streamResponseHead("another") + ScriptedRunner.chunk(SECOND_EVENT) + LAST_CHUNK),
        NOT_A_STREAM(false, ScriptedRunner.success("t1")),
        CONTENT_ENCODING(
                false,
                ScriptedRunner.streamResponseHead("t1").replace("Stamp", "Content-Encoding: gzip\r\nStamp")
                        + ScriptedRunner.chunk(SECOND_EVENT)
                        + LAST_CHUNK),
        ALL_EVENTS(
                false,
                ScriptedRunner.streamResponseHead("t1")
                        + ScriptedRunner.chunk(FIRST_EVENT)
                        + ScriptedRunner.chunk(SECOND_EVENT)
                        + ScriptedRunner.chunk(THIRD_EVENT)
                        + LAST_CHUNK),
        ALL_EVENTS_IN_ONE_CHUNK(
                false,
                ScriptedRunner.streamResponseHead("t1")
                        + ScriptedRunner.chunk(FIRST_EVENT + SECOND_EVENT + THIRD_EVENT)
                        + LAST_CHUNK);

        private final boolean accepted;
        private final String response;

        ResumeResponse(boolean accepted, String response) {
            this.accepted = accepted;
            this.response = response;
        }
    }

    /** The client's response, the number of runs, and the Last-Event-Id header of each run after the first. */
    private record StreamResult(ProxyRig.Response response, long runCount, List<String> lastEventIds) {}

    /** Requests a stream whose first run breaks off after one event; later runs send {@code secondResponse}. */
    private static StreamResult requestWithBrokenStream(
            String path, int deadlineMillis, StreamBreak streamBreak, String secondResponse) throws Exception {
        var firstEventAtClient = new CountDownLatch(1);
        var connectionCount = new AtomicInteger();
        var lastEventIds = new java.util.concurrent.CopyOnWriteArrayList<String>();
        try (var proxy = new ProxyRig()) {
            ScriptedRunner.Script connectionScript = connection -> {
                if (connectionCount.getAndIncrement() == 0) {
                    connection.write(ScriptedRunner.streamResponseHead(connection.runRequest())
                            + ScriptedRunner.chunk(FIRST_EVENT));
                    firstEventAtClient.await();
                    if (streamBreak == StreamBreak.SILENCE) proxy.advanceClock(700_000);
                    streamBreak.script.play(connection);
                } else {
                    connection.runRequest();
                    lastEventIds.add(connection.header("Last-Event-Id"));
                    connection.write(secondResponse);
                    connection.awaitPeerClose();
                }
            };
            try (var firstRunner = new ScriptedRunner(connectionScript);
                    var secondRunner = new ScriptedRunner(connectionScript);
                    var client = proxy.connect()) {
                proxy.putRunner("i1", firstRunner.address(), "a", Rows.Runner.UP);
                proxy.putRunner("i2", secondRunner.address(), "a", Rows.Runner.UP);
                client.getOutputStream()
                        .write(("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nTry: t1\r\nDeadline: "
                                        + deadlineMillis + "\r\nContent-Length: 0\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
                var response = ProxyRig.read(
                        new TextLatchInputStream(client.getInputStream(), FIRST_EVENT, firstEventAtClient));
                return new StreamResult(
                        response, firstRunner.ranAttemptIds.size() + secondRunner.ranAttemptIds.size(), lastEventIds);
            }
        }
    }

    @ParameterizedTest
    @EnumSource
    void onceOnlyStreamIsVisiblyTruncated(StreamBreak streamBreak) throws Exception {
        var result =
                requestWithBrokenStream("/stream/x", streamBreak == StreamBreak.SILENCE ? 300 : 4_000, streamBreak, "");
        assertEquals(200, result.response.status());
        assertFalse(result.response.complete());
        assertTrue((FIRST_EVENT + SECOND_EVENT).startsWith(result.response.text()), result.response.text());
        assertEquals(1, result.runCount);
    }

    @ParameterizedTest
    @EnumSource
    void resumableStreamContinuesAfterLastCompleteEvent(StreamBreak streamBreak) throws Exception {
        var result = requestWithBrokenStream("/resume/x", 4_000, streamBreak, ResumeResponse.REMAINING_EVENTS.response);
        assertTrue(result.response.complete());
        assertEquals(FIRST_EVENT + SECOND_EVENT + THIRD_EVENT, result.response.text());
        assertEquals("s-t1", result.response.headers().get("Stamp"));
        assertEquals(List.of("1"), result.lastEventIds);
        assertEquals(2, result.runCount);
    }

    @ParameterizedTest
    @EnumSource
    void secondRunnersResponseIsJoinedOrStreamTruncated(ResumeResponse secondResponse) throws Exception {
        var result = requestWithBrokenStream("/resume/x", 4_000, StreamBreak.RESET, secondResponse.response);
        assertEquals(secondResponse.accepted, result.response.complete(), result.response.text());
        assertTrue(
                (FIRST_EVENT + SECOND_EVENT + THIRD_EVENT).startsWith(result.response.text()), result.response.text());
        assertEquals(2, result.runCount);
    }
}
