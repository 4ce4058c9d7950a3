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

/** A stream loses no event, repeats none, and is complete only with its last, whatever its runs do. */
class JoinedRunTest {
    private static final String END = "0\r\n\r\n";
    private static final String STREAM = event(1) + event(2) + event(3) + event(4);
    private static final int LONG = 4_000;

    private static String event(int id) {
        return "id: " + id + "\ndata: " + (char) ('a' + id - 1) + "\n\n";
    }

    private static String unframed(String tryId) {
        return ScriptedRunner.streamHead(tryId).replace("Transfer-Encoding: chunked", "Connection: close");
    }

    private record Got(Bed.Answer answer, List<String> after) {}

    /** The first run goes by {@code first} once the client has asked; each later one answers {@code second}. */
    private static Got play(String path, String more, ScriptedRunner.Script first, String second) throws Exception {
        var number = new AtomicInteger();
        var after = new CopyOnWriteArrayList<String>();
        ScriptedRunner.Script script = c -> {
            if (c.run() == null) return;
            after.add(c.header("Last-Event-Id"));
            if (number.getAndIncrement() == 0) {
                first.play(c);
            } else {
                c.write(second);
                c.untilClosed();
            }
        };
        try (var bed = new Bed();
                var one = new ScriptedRunner(script);
                var two = new ScriptedRunner(script);
                var client = bed.connect()) {
            bed.stopClock(); // no runner counts as silent on a busy machine
            bed.runner("i1", one.address(), "a", Rows.Runner.UP);
            bed.runner("i2", two.address(), "a", Rows.Runner.UP);
            client.getOutputStream()
                    .write(("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nTry: t1\r\nDeadline: " + LONG + "\r\n"
                                    + more + "Content-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            return new Got(Bed.answer(new Until(client.getInputStream(), "\r\n\r\n", new CountDownLatch(1))), after);
        }
    }

    /** How a run without a length ends when its runner dies. */
    enum Death {
        WITHIN_AN_EVENT_BY_CLOSE(event(1) + event(2) + "id: 3\nda", false),
        WITHIN_AN_EVENT_BY_RESET(event(1) + event(2) + "id: 3\nda", true),
        BETWEEN_EVENTS_BY_RESET(event(1) + event(2), true),
        BEFORE_THE_EMPTY_LINE_BY_CLOSE(event(1) + event(2) + "id: 3\ndata: c\n", false);

        private final String sent;
        private final boolean reset;

        Death(String sent, boolean reset) {
            this.sent = sent;
            this.reset = reset;
        }

        private void play(ScriptedRunner.Connection c) throws Exception {
            c.write(unframed("t1") + sent);
            if (reset) Thread.onSpinWait();
            if (reset) c.reset();
            else c.close();
        }
    }

    @ParameterizedTest
    @EnumSource
    void aRunWithoutALengthThatDiesIsNotComplete(Death death) throws Exception {
        var got = play("/stream/x", "", death::play, "");
        assertFalse(got.answer.status() == 200 && got.answer.whole(), got.answer.text());
        assertEquals(1, got.after.size());
    }

    @ParameterizedTest
    @EnumSource(
            value = Death.class,
            names = {"WITHIN_AN_EVENT_BY_CLOSE", "BEFORE_THE_EMPTY_LINE_BY_CLOSE"})
    void aRunWithoutALengthThatDiesGoesOnElsewhere(Death death) throws Exception {
        var rest = ScriptedRunner.streamHead("t1") + ScriptedRunner.chunk(event(3) + event(4)) + END;
        var got = play("/resume/x", "", death::play, rest);
        assertEquals(STREAM, got.answer.text());
        assertTrue(got.answer.whole());
        assertEquals(List.of("", "2"), got.after);
    }

    @ParameterizedTest
    @ValueSource(strings = {"/stream/x", "/resume/x"})
    void aRunWithoutALengthEndsWholeBehindItsLastEvent(String path) throws Exception {
        var got = play(
                path,
                "",
                c -> {
                    c.write(unframed("t1") + STREAM);
                    c.close();
                },
                "");
        assertEquals(STREAM, got.answer.text());
        assertTrue(got.answer.whole());
    }

    @ParameterizedTest
    @ValueSource(strings = {"/stream/x", "/resume/x"})
    void aRunWithoutALengthThatEndsBeforeItsFirstEventIsNotComplete(String path) throws Exception {
        var got = play(
                path,
                "",
                c -> {
                    c.write(unframed("t1"));
                    c.close();
                },
                "");
        assertFalse(got.answer.whole());
    }

    private static void breakBehindTwo(ScriptedRunner.Connection c) throws Exception {
        c.write(ScriptedRunner.streamHead("t1") + ScriptedRunner.chunk(event(1) + event(2)));
        c.close();
    }

    /** The ids of the second run, whether it goes on behind 1 and 2. */
    @ParameterizedTest
    @CsvSource({"3 4,true", "4,false", "2 3 4,false", "1 2 3 4,false", "3 5,true"})
    void aRunThatLeavesOutOrRepeatsEventsIsNotJoined(String ids, boolean joined) throws Exception {
        var rest = new StringBuilder();
        for (var id : ids.split(" ")) rest.append(event(Integer.parseInt(id)));
        var second = ScriptedRunner.streamHead("t1") + ScriptedRunner.chunk(rest.toString()) + END;
        var got = play("/resume/x", "", JoinedRunTest::breakBehindTwo, second);
        assertEquals(joined, got.answer.whole());
        assertEquals(event(1) + event(2) + (joined ? rest : ""), got.answer.text());
        assertEquals(List.of("", "2"), got.after);
    }

    @Test
    void aStreamWhoseLastEventHasNoIdIsCutAndNotRepeated() throws Exception {
        var got = play(
                "/resume/x",
                "",
                c -> {
                    c.write(ScriptedRunner.streamHead("t1") + ScriptedRunner.chunk(event(1) + "data: no id\n\n"));
                    c.close();
                },
                ScriptedRunner.streamHead("t1") + ScriptedRunner.chunk("data: no id\n\n" + event(2)) + END);
        assertEquals(event(1) + "data: no id\n\n", got.answer.text());
        assertFalse(got.answer.whole());
        assertEquals(List.of(""), got.after);
    }

    /** Within one run, too, an id that repeats or falls is no event that may be passed on. */
    @ParameterizedTest
    @CsvSource({"1 2 2 3,1 2", "1 3 2 4,1 3", "1 2 1 2,1 2", "a a,a", "1 2 4 7,1 2 4 7"})
    void anIdThatRepeatsOrFallsEndsTheStreamVisibly(String ids, String passed) throws Exception {
        var all = new StringBuilder();
        var begun = new StringBuilder();
        for (var id : ids.split(" ")) all.append(ScriptedRunner.chunk("id: " + id + "\ndata: x\n\n"));
        for (var id : passed.split(" ")) begun.append("id: " + id + "\ndata: x\n\n");
        for (var path : List.of("/stream/x", "/resume/x")) {
            var got = play(
                    path,
                    "",
                    c -> {
                        c.write(ScriptedRunner.streamHead("t1") + all + END);
                        c.untilClosed();
                    },
                    "");
            assertTrue(begun.toString().startsWith(got.answer.text()), got.answer.text());
            assertEquals(ids.equals(passed), got.answer.whole());
            assertEquals(1, got.after.size());
        }
    }

    @ParameterizedTest
    @CsvSource({"3 4,true", "1 2 3 4,false", "2 3,false"})
    void theAnswerToAClientThatGoesOnIsHeldAgainstItsLastEventId(String ids, boolean follows) throws Exception {
        var rest = new StringBuilder();
        for (var id : ids.split(" ")) rest.append(event(Integer.parseInt(id)));
        var got = play(
                "/resume/x",
                "Last-Event-Id: 2\r\n",
                c -> {
                    c.write(ScriptedRunner.streamHead("t1") + ScriptedRunner.chunk(rest.toString()) + END);
                    c.untilClosed();
                },
                "");
        assertEquals(follows, got.answer.whole());
        assertEquals(follows ? rest.toString() : "", got.answer.text());
    }

    @Test
    void aClientsLastEventIdGoesAlongAgainWhenItsFirstRunnerBreaksOffBeforeItsAnswer() throws Exception {
        var got = play(
                "/resume/x",
                "Last-Event-Id: 2\r\n",
                ScriptedRunner.Connection::close,
                ScriptedRunner.streamHead("t1") + ScriptedRunner.chunk(event(3) + event(4)) + END);
        assertEquals(event(3) + event(4), got.answer.text());
        assertTrue(got.answer.whole());
        assertEquals(List.of("2", "2"), got.after);
    }
}
