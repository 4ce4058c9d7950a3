package craneway.pass;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.state.record.Rows;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The rules of the request path, each by the failure it is meant for. */
class PassTest {
    private static final String NOT_RUN = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
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
    void passesMethodPathQueryBodyAndHeadersUnchanged() throws Exception {
        try (var r = new FakeRunner(x -> x.answer(
                "HTTP/1.1 200 OK\r\nTry: t1\r\nStamp: abc\r\nOther: v\r\nContent-Length: 3\r\n\r\n\u0000\u00ffz"))) {
            bed.runner("i1", r, "a");
            try (var s = bed.connect()) {
                Bed.send(s, "/once/a%20b/%7Ex?q=1%202&z", "t1", "Own: yes\r\n", "b\u0001\u00fedy");
                var a = Bed.answer(s.getInputStream());
                assertEquals(200, a.status());
                assertEquals("abc", a.headers().get("Stamp"));
                assertEquals("v", a.headers().get("Other"));
                assertEquals("\u0000\u00ffz", a.text());
            }
            var q = r.seen.get(0);
            assertEquals("POST /once/a%20b/%7Ex?q=1%202&z HTTP/1.1", q.line());
            assertArrayEquals("b\u0001\u00fedy".getBytes("ISO-8859-1"), q.body());
            assertEquals("yes", q.header("Own"));
            assertEquals("t1", q.header("Try"));
            assertEquals("h.example", q.header("Host"));
            assertEquals("i1", q.header("Addressee"));
            assertTrue(Integer.parseInt(q.header("Deadline")) <= 4000);
        }
    }

    @Test
    void takesChunkedBodies() throws Exception {
        try (var r = new FakeRunner(x -> x.ok("fine"))) {
            bed.runner("i1", r, "a");
            try (var s = bed.connect()) {
                s.getOutputStream()
                        .write(
                                "POST /once/x HTTP/1.1\r\nHost: h.example\r\nTry: t\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
                                        .getBytes());
                assertEquals(200, Bed.answer(s.getInputStream()).status());
            }
            assertEquals("abcde", new String(r.seen.get(0).body()));
        }
    }

    @Test
    void answersNotFoundOnlyWithoutRoute() throws Exception {
        try (var r = new FakeRunner(x -> x.ok("fine"))) {
            bed.runner("i1", r, "a");
            assertEquals(404, bed.ask("/none/x", "t", "").status());
            assertEquals(200, bed.ask("/once/x", "t", "").status());
        }
    }

    @Test
    void neverRepeatsWhatMayHaveRun() throws Exception {
        try (var r = new FakeRunner(FakeRunner.Request::reset);
                var o = new FakeRunner(FakeRunner.Request::reset)) {
            bed.runner("i1", r, "a");
            bed.runner("i2", o, "a");
            assertEquals(502, bed.ask("/once/x", "t", "body").status());
            assertEquals(1, r.seen.size() + o.seen.size());
        }
    }

    @Test
    void repeatsWhatMayBeRepeated() throws Exception {
        var n = new AtomicInteger();
        FakeRunner.Script first = x -> {
            if (n.getAndIncrement() == 0) x.reset();
            else x.ok("second");
        };
        try (var r = new FakeRunner(first);
                var o = new FakeRunner(first)) {
            bed.runner("i1", r, "a");
            bed.runner("i2", o, "a");
            assertEquals("second", bed.ask("/again/x", "t", "body").text());
            assertEquals(2, r.seen.size() + o.seen.size());
        }
    }

    @Test
    void goesToAnotherRunnerAfterItsWordThatItHasNotRun() throws Exception {
        var n = new AtomicInteger();
        FakeRunner.Script first = x -> {
            if (n.getAndIncrement() == 0) x.answer(NOT_RUN);
            else x.ok("ran");
        };
        try (var r = new FakeRunner(first);
                var o = new FakeRunner(first)) {
            bed.runner("i1", r, "a");
            bed.runner("i2", o, "a");
            assertEquals("ran", bed.ask("/once/x", "t", "body").text());
        }
    }

    @Test
    void declinesAtOnceWithATimeToComeBackWhenNoneRanIt() throws Exception {
        try (var r = new FakeRunner(x -> x.answer(NOT_RUN))) {
            bed.runner("i1", r, "a");
            var a = bed.ask("/once/x", "t", "body");
            assertEquals(503, a.status());
            assertNotNull(a.headers().get("Retry-After"));
        }
    }

    @Test
    void anotherLifeAtTheAddressIsNotAskedAgain() throws Exception {
        try (var r = new FakeRunner(
                        x -> x.answer("HTTP/1.1 421 Misdirected Request\r\nRunner: i9\r\nContent-Length: 0\r\n\r\n"));
                var o = new FakeRunner(x -> x.ok("ran"))) {
            bed.runner("i1", r, "a");
            bed.runner("i2", o, "b");
            assertEquals("ran", bed.ask("/once/x", "t1", "body").text());
            assertEquals("ran", bed.ask("/once/x", "t2", "body").text());
            assertEquals(1, r.seen.size());
        }
    }

    @Test
    void aRefusedConnectionMeansNotRun() throws Exception {
        var dead = new FakeRunner(x -> {});
        var address = dead.address();
        dead.close();
        try (var o = new FakeRunner(x -> x.ok("ran"))) {
            bed.runner("i1", address, "a", Rows.Runner.UP);
            bed.runner("i2", o, "b");
            assertEquals("ran", bed.ask("/once/x", "t", "body").text());
        }
    }

    @Test
    void aLateAnswerNeverReachesAnotherRequest() throws Exception {
        var late = new CountDownLatch(1);
        try (var r = new FakeRunner(x -> {
            x.ok("own of " + x.header("try"));
            if (x.header("try").equals("t1")) late.countDown();
        })) {
            bed.runner("i1", r, "a");
            try (var s = bed.connect()) {
                Bed.send(s, "/once/x", "t1", "", "");
                assertEquals("own of t1", Bed.answer(s.getInputStream()).text());
                late.await();
                r.script(x -> x.answer("HTTP/1.1 200 OK\r\nTry: t0\r\nStamp: s\r\nContent-Length: 5\r\n\r\nwrong"));
                Bed.send(s, "/once/x", "t2", "", "");
                var a = Bed.answer(s.getInputStream());
                assertEquals(502, a.status());
                assertFalse(a.text().contains("wrong"));
                r.script(x -> x.ok("own of " + x.header("try")));
                Bed.send(s, "/once/x", "t3", "", "");
                assertEquals("own of t3", Bed.answer(s.getInputStream()).text());
            }
        }
    }

    @Test
    void anExtraAnswerBehindTheFirstReachesNobody() throws Exception {
        var extra = "HTTP/1.1 200 OK\r\nTry: t1\r\nStamp: s\r\nContent-Length: 3\r\n\r\nown";
        try (var r = new FakeRunner(
                x -> x.answer(x.header("try").equals("t1") ? extra + extra : extra.replace("t1", x.header("try"))))) {
            bed.runner("i1", r, "a");
            try (var s = bed.connect()) {
                Bed.send(s, "/again/x", "t1", "", "");
                assertEquals("own", Bed.answer(s.getInputStream()).text());
                Bed.send(s, "/again/x", "t2", "", "");
                var a = Bed.answer(s.getInputStream());
                assertEquals(200, a.status());
                assertEquals("t2", a.headers().get("Try"));
            }
        }
    }

    @Test
    void aSuccessWithoutStampIsNone() throws Exception {
        try (var r = new FakeRunner(x -> x.answer("HTTP/1.1 200 OK\r\nTry: t\r\nContent-Length: 2\r\n\r\nhi"))) {
            bed.runner("i1", r, "a");
            assertEquals(502, bed.ask("/once/x", "t", "").status());
        }
    }

    @Test
    void aConnectionClosedWhileIdleIsNotUsedAgain() throws Exception {
        var closed = new Semaphore(0);
        try (var r = new FakeRunner(x -> {
            x.ok("one");
            x.socket().close();
            closed.release();
        })) {
            bed.runner("i1", r, "a");
            for (var i = 0; i < 5; i++) {
                assertEquals("one", bed.ask("/once/x", "t" + i, "").text());
                closed.acquire();
            }
        }
    }

    @Test
    void keptConnectionsServeMore() throws Exception {
        try (var r = new FakeRunner(x -> x.ok("one"))) {
            bed.runner("i1", r, "a");
            for (var i = 0; i < 5; i++)
                assertEquals("one", bed.ask("/once/x", "t" + i, "").text());
            assertEquals(1, r.connections());
        }
    }

    @Test
    void endsAtTheDeadlineAndNotBefore() throws Exception {
        try (var r = new FakeRunner(x -> {})) {
            bed.runner("i1", r, "a");
            try (var s = bed.connect()) {
                var t = System.nanoTime();
                s.getOutputStream()
                        .write(
                                "POST /once/x HTTP/1.1\r\nHost: h.example\r\nTry: t\r\nDeadline: 700\r\nContent-Length: 0\r\n\r\n"
                                        .getBytes());
                assertEquals(504, Bed.answer(s.getInputStream()).status());
                assertTrue(System.nanoTime() - t >= 690_000_000L);
            }
        }
    }

    @Test
    void aRequesterThatGoesAwayEndsTheRun() throws Exception {
        try (var r = new FakeRunner(x -> {
            x.streamHead();
            while (true) x.chunk("id: 1\ndata: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\n\n");
        })) {
            bed.runner("i1", r, "a");
            var s = bed.connect();
            Bed.send(s, "/stream/x", "t", "", "");
            assertNotNull(r.arrival());
            s.getInputStream().read();
            s.close();
            var until = System.nanoTime() + 5_000_000_000L;
            while (bed.server.openRequestCount() > 0 && System.nanoTime() < until) Thread.onSpinWait();
            assertEquals(0, bed.server.openRequestCount());
        }
    }

    @Test
    void aRouterThatHasJustStartedServesWhatCameBeforeItsManifest() throws Exception {
        try (var r = new FakeRunner(x -> x.ok("served"));
                var s = bed.connect()) {
            bed.runner("i1", r, "a");
            bed.startAnew(false);
            Bed.send(s, "/once/x", "t", "", "");
            bed.startAnew(true);
            bed.publish();
            assertEquals("served", Bed.answer(s.getInputStream()).text());
        }
    }

    @Test
    void aRouterWithoutManifestSaysWhenToComeBack() throws Exception {
        bed.startAnew(false);
        var a = bed.ask("/once/x", "t", "");
        assertEquals(503, a.status());
        assertEquals("1.5", a.headers().get("Retry-After"));
    }

    @Test
    void tooLongABodyIsDeclined() throws Exception {
        try (var r = new FakeRunner(x -> x.ok("a"))) {
            bed.runner("i1", r, "a");
            assertEquals(413, bed.ask("/once/x", "t", "x".repeat(100_001)).status());
            assertNull(r.seen.isEmpty() ? null : r.seen.get(0));
        }
    }
}
