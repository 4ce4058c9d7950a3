package craneway.pass;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Streams on the request path: events as they come, cuts that look cut, runs that go on in the same answer. */
class StreamPassTest {
    private Bed bed;

    @BeforeEach
    void up() throws Exception {
        bed = new Bed();
    }

    @AfterEach
    void down() {
        bed.close();
    }

    @Test
    void aStreamArrivesEventByEvent() throws Exception {
        var go = new CountDownLatch(1);
        try (var r = new FakeRunner(x -> {
            x.streamHead();
            x.chunk("id: 1\ndata: a\n\n");
            go.await();
            x.chunk("id: 2\ndata: b\n\n");
            x.answer("0\r\n\r\n");
        })) {
            bed.runner("i1", r, "a");
            try (var s = bed.connect()) {
                Bed.send(s, "/stream/x", "t", "", "");
                var in = s.getInputStream();
                for (var l = FakeRunner.line(in); !l.isEmpty(); l = FakeRunner.line(in))
                    assertFalse(l.startsWith("HTTP/1.1 5"));
                var n = Integer.parseInt(FakeRunner.line(in), 16);
                assertEquals("id: 1\ndata: a\n\n", new String(in.readNBytes(n)));
                go.countDown();
                FakeRunner.line(in);
                n = Integer.parseInt(FakeRunner.line(in), 16);
                assertEquals("id: 2\ndata: b\n\n", new String(in.readNBytes(n)));
            }
        }
    }

    @Test
    void aCutStreamLooksCut() throws Exception {
        try (var r = new FakeRunner(x -> {
            x.streamHead();
            x.chunk("id: 1\ndata: a\n\n");
            x.reset();
        })) {
            bed.runner("i1", r, "a");
            assertFalse(bed.ask("/stream/x", "t", "").whole());
            assertEquals(1, r.seen.size());
        }
    }

    @Test
    void aStreamThatMayResumeGoesOnInTheSameAnswer() throws Exception {
        FakeRunner.Script script = x -> {
            x.streamHead();
            if (x.header("Last-Event-Id") == null) {
                x.chunk("id: 1\ndata: a\n\nid: 2\nda");
                x.reset();
            } else {
                x.chunk("id: 2\ndata: b\n\n");
                x.chunk("id: 3\ndata: c\n\n");
                x.answer("0\r\n\r\n");
            }
        };
        try (var r = new FakeRunner(script);
                var o = new FakeRunner(script)) {
            bed.runner("i1", r, "a");
            bed.runner("i2", o, "a");
            var a = bed.ask("/resume/x", "t", "");
            assertTrue(a.whole());
            assertEquals("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", a.text());
            var first = r.seen.isEmpty() ? o.seen.get(0) : r.seen.get(0);
            var both = r.seen.size() == 1 && o.seen.size() == 1;
            assertTrue(both);
            assertTrue(a.headers().get("Stamp").equals("i1")
                    || a.headers().get("Stamp").equals("i2"));
            assertNotNull(first);
        }
    }

    @Test
    void aStreamThatMayResumeLeavesARunnerThatFellSilent() throws Exception {
        FakeRunner.Script script = x -> {
            x.streamHead();
            if (x.header("Last-Event-Id") == null) {
                x.chunk("id: 1\ndata: a\n\n");
            } else {
                x.chunk("id: 2\ndata: b\n\n");
                x.answer("0\r\n\r\n");
            }
        };
        try (var r = new FakeRunner(script);
                var o = new FakeRunner(script)) {
            bed.runner("i1", r, "a");
            bed.runner("i2", o, "a");
            var a = bed.ask("/resume/x", "t", "");
            assertTrue(a.whole());
            assertEquals("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", a.text());
        }
    }

    @Test
    void noAnswerThatMayNotResumeIsEndedForSilence() throws Exception {
        var go = new CountDownLatch(1);
        try (var r = new FakeRunner(x -> {
                    x.streamHead();
                    x.chunk("id: 1\ndata: a\n\n");
                    go.await(1_500, java.util.concurrent.TimeUnit.MILLISECONDS);
                    x.chunk("id: 2\ndata: b\n\n");
                    x.answer("0\r\n\r\n");
                });
                var o = new FakeRunner(x -> x.ok("never"))) {
            bed.runner("i1", r, "a");
            bed.runner("i2", o, "b");
            var a = bed.ask("/stream/x", "t", "");
            assertTrue(a.whole());
            assertEquals("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", a.text());
            assertEquals(0, o.seen.size());
        }
    }
}
