package craneway.pass;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.state.record.Rows;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A stream joined from several runs loses no event, repeats none, and is complete only with its last event, whatever
 * its runs do.
 */
class StreamResumeTest {
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String ALL_EVENTS = event(1) + event(2) + event(3) + event(4);
    private static final int DEADLINE_MILLIS = 4_000;

    private static String event(int id) {
        return "id: " + id + "\ndata: " + (char) ('a' + id - 1) + "\n\n";
    }

    private static String unframedStreamHead(String attemptId) {
        return ScriptedRunner.streamResponseHead(attemptId).replace("Transfer-Encoding: chunked", "Connection: close");
    }

    /** The client's response and the Last-Event-Id header of each run. */
    private record StreamResult(ProxyRig.Response response, List<String> lastEventIds) {}

    /**
     * Requests a stream whose first run is scripted by {@code firstRun}; each later run sends {@code secondResponse}.
     */
    private static StreamResult requestStream(
            String path, String extraHeaders, ScriptedRunner.Script firstRun, String secondResponse) throws Exception {
        var runCount = new AtomicInteger();
        var lastEventIds = new CopyOnWriteArrayList<String>();
        ScriptedRunner.Script script = connection -> {
            if (connection.runRequest() == null) return;
            lastEventIds.add(connection.header("Last-Event-Id"));
            if (runCount.getAndIncrement() == 0) {
                firstRun.play(connection);
            } else {
                connection.write(secondResponse);
                connection.awaitPeerClose();
            }
        };
        try (var proxy = new ProxyRig();
                var firstRunner = new ScriptedRunner(script);
                var secondRunner = new ScriptedRunner(script);
                var client = proxy.connect()) {
            proxy.stopClock(); // otherwise a runner could count as silent on a busy machine
            proxy.putRunner("i1", firstRunner.address(), "a", Rows.Runner.UP);
            proxy.putRunner("i2", secondRunner.address(), "a", Rows.Runner.UP);
            client.getOutputStream()
                    .write(("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nTry: t1\r\nDeadline: " + DEADLINE_MILLIS
                                    + "\r\n" + extraHeaders + "Content-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            return new StreamResult(
                    ProxyRig.read(new TextLatchInputStream(client.getInputStream(), "\r\n\r\n", new CountDownLatch(1))),
                    lastEventIds);
        }
    }

    /** How a run whose response has neither a length nor chunks ends when its runner fails. */
    enum RunnerFailure {
        WITHIN_EVENT_BY_CLOSE(event(1) + event(2) + "id: 3\nda", false),
        WITHIN_EVENT_BY_RESET(event(1) + event(2) + "id: 3\nda", true),
        BETWEEN_EVENTS_BY_RESET(event(1) + event(2), true),
        BEFORE_EVENT_TERMINATOR_BY_CLOSE(event(1) + event(2) + "id: 3\ndata: c\n", false);

        private final String sentEvents;
        private final boolean reset;

        RunnerFailure(String sentEvents, boolean reset) {
            this.sentEvents = sentEvents;
            this.reset = reset;
        }

        private void play(ScriptedRunner.Connection connection) throws Exception {
            connection.write(unframedStreamHead("t1") + sentEvents);
            if (reset) Thread.onSpinWait();
            if (reset) connection.reset();
            else connection.close();
        }
    }

    @ParameterizedTest
    @EnumSource
    void unframedStreamOfFailedRunnerIsNotComplete(RunnerFailure failure) throws Exception {
        var result = requestStream("/stream/x", "", failure::play, "");
        assertFalse(result.response.status() == 200 && result.response.complete(), result.response.text());
        assertEquals(1, result.lastEventIds.size());
    }

    @ParameterizedTest
    @EnumSource(
            value = RunnerFailure.class,
            names = {"WITHIN_EVENT_BY_CLOSE", "BEFORE_EVENT_TERMINATOR_BY_CLOSE"})
    void unframedStreamOfFailedRunnerResumesOnOtherRunner(RunnerFailure failure) throws Exception {
        var remainingEvents =
                ScriptedRunner.streamResponseHead("t1") + ScriptedRunner.chunk(event(3) + event(4)) + LAST_CHUNK;
        var result = requestStream("/resume/x", "", failure::play, remainingEvents);
        assertEquals(ALL_EVENTS, result.response.text());
        assertTrue(result.response.complete());
        assertEquals(List.of("", "2"), result.lastEventIds);
    }

    @ParameterizedTest
    @ValueSource(strings = {"/stream/x", "/resume/x"})
    void unframedStreamClosedAfterLastEventIsComplete(String path) throws Exception {
        var result = requestStream(
                path,
                "",
                connection -> {
                    connection.write(unframedStreamHead("t1") + ALL_EVENTS);
                    connection.close();
                },
                "");
        assertEquals(ALL_EVENTS, result.response.text());
        assertTrue(result.response.complete());
    }

    @ParameterizedTest
    @ValueSource(strings = {"/stream/x", "/resume/x"})
    void unframedStreamWithoutEventsIsNotComplete(String path) throws Exception {
        var result = requestStream(
                path,
                "",
                connection -> {
                    connection.write(unframedStreamHead("t1"));
                    connection.close();
                },
                "");
        assertFalse(result.response.complete());
    }

    private static void closeAfterTwoEvents(ScriptedRunner.Connection connection) throws Exception {
        connection.write(ScriptedRunner.streamResponseHead("t1") + ScriptedRunner.chunk(event(1) + event(2)));
        connection.close();
    }

    /** Parameters: the event ids of the second run, and whether it continues after events 1 and 2. */
    @ParameterizedTest
    @CsvSource({"3 4,true", "4,false", "2 3 4,false", "1 2 3 4,false", "3 5,true"})
    void resumedRunThatSkipsOrRepeatsEventsIsNotJoined(String ids, boolean joined) throws Exception {
        var remainingEvents = new StringBuilder();
        for (var id : ids.split(" ")) remainingEvents.append(event(Integer.parseInt(id)));
        var secondResponse =
                ScriptedRunner.streamResponseHead("t1") + ScriptedRunner.chunk(remainingEvents.toString()) + LAST_CHUNK;
        var result = requestStream("/resume/x", "", StreamResumeTest::closeAfterTwoEvents, secondResponse);
        assertEquals(joined, result.response.complete());
        assertEquals(event(1) + event(2) + (joined ? remainingEvents : ""), result.response.text());
        assertEquals(List.of("", "2"), result.lastEventIds);
    }

    @Test
    void streamWhoseLastEventHasNoIdIsTruncatedAndNotResumed() throws Exception {
        var result = requestStream(
                "/resume/x",
                "",
                connection -> {
                    connection.write(ScriptedRunner.streamResponseHead("t1")
                            + ScriptedRunner.chunk(event(1) + "data: no id\n\n"));
                    connection.close();
                },
                ScriptedRunner.streamResponseHead("t1")
                        + ScriptedRunner.chunk("data: no id\n\n" + event(2))
                        + LAST_CHUNK);
        assertEquals(event(1) + "data: no id\n\n", result.response.text());
        assertFalse(result.response.complete());
        assertEquals(List.of(""), result.lastEventIds);
    }

    /** Within one run, too, an event whose id repeats or decreases is not forwarded. */
    @ParameterizedTest
    @CsvSource({"1 2 2 3,1 2", "1 3 2 4,1 3", "1 2 1 2,1 2", "a a,a", "1 2 4 7,1 2 4 7"})
    void repeatedOrDecreasingEventIdTruncatesStream(String ids, String forwardedIds) throws Exception {
        var chunks = new StringBuilder();
        var forwardedEvents = new StringBuilder();
        for (var id : ids.split(" ")) chunks.append(ScriptedRunner.chunk("id: " + id + "\ndata: x\n\n"));
        for (var id : forwardedIds.split(" ")) forwardedEvents.append("id: " + id + "\ndata: x\n\n");
        for (var path : List.of("/stream/x", "/resume/x")) {
            var result = requestStream(
                    path,
                    "",
                    connection -> {
                        connection.write(ScriptedRunner.streamResponseHead("t1") + chunks + LAST_CHUNK);
                        connection.awaitPeerClose();
                    },
                    "");
            assertTrue(forwardedEvents.toString().startsWith(result.response.text()), result.response.text());
            assertEquals(ids.equals(forwardedIds), result.response.complete());
            assertEquals(1, result.lastEventIds.size());
        }
    }

    @ParameterizedTest
    @CsvSource({"3 4,true", "1 2 3 4,false", "2 3,false"})
    void responseToResumingClientMustContinueItsLastEventId(String ids, boolean continuesStream) throws Exception {
        var remainingEvents = new StringBuilder();
        for (var id : ids.split(" ")) remainingEvents.append(event(Integer.parseInt(id)));
        var result = requestStream(
                "/resume/x",
                "Last-Event-Id: 2\r\n",
                connection -> {
                    connection.write(ScriptedRunner.streamResponseHead("t1")
                            + ScriptedRunner.chunk(remainingEvents.toString())
                            + LAST_CHUNK);
                    connection.awaitPeerClose();
                },
                "");
        assertEquals(continuesStream, result.response.complete());
        assertEquals(continuesStream ? remainingEvents.toString() : "", result.response.text());
    }

    @Test
    void clientsLastEventIdIsSentAgainOnRetry() throws Exception {
        var result = requestStream(
                "/resume/x",
                "Last-Event-Id: 2\r\n",
                ScriptedRunner.Connection::close,
                ScriptedRunner.streamResponseHead("t1") + ScriptedRunner.chunk(event(3) + event(4)) + LAST_CHUNK);
        assertEquals(event(3) + event(4), result.response.text());
        assertTrue(result.response.complete());
        assertEquals(List.of("2", "2"), result.lastEventIds);
    }
}
