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

/**
 * The rules of the proxy for a single request: what is forwarded, what is retried, and which responses reach the
 * client. Each test causes the runner or client failure that a rule is meant for.
 */
class ProxyRequestTest {
    private static final String NOT_RUN_RESPONSE =
            "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
    private ProxyFixture fixture;

    @BeforeEach
    void openFixture() throws Exception {
        fixture = new ProxyFixture();
    }

    @AfterEach
    void closeFixture() {
        fixture.close();
    }

    @Test
    void forwardsMethodPathQueryBodyAndHeadersUnchanged() throws Exception {
        try (var runner = new FakeRunner(request -> request.respondRaw(
                "HTTP/1.1 200 OK\r\nTry: t1\r\nStamp: abc\r\nOther: v\r\nContent-Length: 3\r\n\r\n\u0000\u00ffz"))) {
            fixture.putRunner("i1", runner, "a");
            try (var client = fixture.connect()) {
                ProxyFixture.sendPost(client, "/once/a%20b/%7Ex?q=1%202&z", "t1", "Own: yes\r\n", "b\u0001\u00fedy");
                var response = ProxyFixture.readResponse(client.getInputStream());
                assertEquals(200, response.status());
                assertEquals("abc", response.headers().get("Stamp"));
                assertEquals("v", response.headers().get("Other"));
                assertEquals("\u0000\u00ffz", response.text());
            }
            var forwarded = runner.receivedRequests.get(0);
            assertEquals("POST /once/a%20b/%7Ex?q=1%202&z HTTP/1.1", forwarded.requestLine());
            assertArrayEquals("b\u0001\u00fedy".getBytes("ISO-8859-1"), forwarded.body());
            assertEquals("yes", forwarded.header("Own"));
            assertEquals("t1", forwarded.header("Try"));
            assertEquals("h.example", forwarded.header("Host"));
            assertEquals("i1", forwarded.header("Addressee"));
            assertTrue(Integer.parseInt(forwarded.header("Deadline")) <= 4000);
        }
    }

    @Test
    void acceptsChunkedRequestBodies() throws Exception {
        try (var runner = new FakeRunner(request -> request.respondOk("fine"))) {
            fixture.putRunner("i1", runner, "a");
            try (var client = fixture.connect()) {
                client.getOutputStream()
                        .write(
                                "POST /once/x HTTP/1.1\r\nHost: h.example\r\nTry: t\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
                                        .getBytes());
                assertEquals(
                        200, ProxyFixture.readResponse(client.getInputStream()).status());
            }
            assertEquals("abcde", new String(runner.receivedRequests.get(0).body()));
        }
    }

    @Test
    void respondsNotFoundOnlyWithoutMatchingRoute() throws Exception {
        try (var runner = new FakeRunner(request -> request.respondOk("fine"))) {
            fixture.putRunner("i1", runner, "a");
            assertEquals(404, fixture.post("/none/x", "t", "").status());
            assertEquals(200, fixture.post("/once/x", "t", "").status());
        }
    }

    @Test
    void doesNotRetryOnceOnlyRequestThatMayHaveRun() throws Exception {
        try (var runner = new FakeRunner(FakeRunner.Request::resetConnection);
                var otherRunner = new FakeRunner(FakeRunner.Request::resetConnection)) {
            fixture.putRunner("i1", runner, "a");
            fixture.putRunner("i2", otherRunner, "a");
            assertEquals(502, fixture.post("/once/x", "t", "body").status());
            assertEquals(1, runner.receivedRequests.size() + otherRunner.receivedRequests.size());
        }
    }

    @Test
    void retriesRepeatableRequestAfterReset() throws Exception {
        var requestCount = new AtomicInteger();
        FakeRunner.Script resetsFirstRequest = request -> {
            if (requestCount.getAndIncrement() == 0) request.resetConnection();
            else request.respondOk("second");
        };
        try (var runner = new FakeRunner(resetsFirstRequest);
                var otherRunner = new FakeRunner(resetsFirstRequest)) {
            fixture.putRunner("i1", runner, "a");
            fixture.putRunner("i2", otherRunner, "a");
            assertEquals("second", fixture.post("/again/x", "t", "body").text());
            assertEquals(2, runner.receivedRequests.size() + otherRunner.receivedRequests.size());
        }
    }

    @Test
    void retriesOnOtherRunnerAfterNotRunResponse() throws Exception {
        var requestCount = new AtomicInteger();
        FakeRunner.Script declinesFirstRequest = request -> {
            if (requestCount.getAndIncrement() == 0) request.respondRaw(NOT_RUN_RESPONSE);
            else request.respondOk("ran");
        };
        try (var runner = new FakeRunner(declinesFirstRequest);
                var otherRunner = new FakeRunner(declinesFirstRequest)) {
            fixture.putRunner("i1", runner, "a");
            fixture.putRunner("i2", otherRunner, "a");
            assertEquals("ran", fixture.post("/once/x", "t", "body").text());
        }
    }

    @Test
    void respondsUnavailableWithRetryAfterWhenNoRunnerRanRequest() throws Exception {
        try (var runner = new FakeRunner(request -> request.respondRaw(NOT_RUN_RESPONSE))) {
            fixture.putRunner("i1", runner, "a");
            var response = fixture.post("/once/x", "t", "body");
            assertEquals(503, response.status());
            assertNotNull(response.headers().get("Retry-After"));
        }
    }

    @Test
    void stopsSendingToAddressThatNowServesAnotherRunner() throws Exception {
        try (var runner = new FakeRunner(request -> request.respondRaw(
                        "HTTP/1.1 421 Misdirected Request\r\nRunner: i9\r\nContent-Length: 0\r\n\r\n"));
                var otherRunner = new FakeRunner(request -> request.respondOk("ran"))) {
            fixture.putRunner("i1", runner, "a");
            fixture.putRunner("i2", otherRunner, "b");
            assertEquals("ran", fixture.post("/once/x", "t1", "body").text());
            assertEquals("ran", fixture.post("/once/x", "t2", "body").text());
            assertEquals(1, runner.receivedRequests.size());
        }
    }

    @Test
    void retriesOnOtherRunnerAfterRefusedConnection() throws Exception {
        var closedRunner = new FakeRunner(request -> {});
        var address = closedRunner.address();
        closedRunner.close();
        try (var otherRunner = new FakeRunner(request -> request.respondOk("ran"))) {
            fixture.putRunner("i1", address, "a", Rows.Runner.UP);
            fixture.putRunner("i2", otherRunner, "b");
            assertEquals("ran", fixture.post("/once/x", "t", "body").text());
        }
    }

    @Test
    void responseWithWrongAttemptIdReachesNoClient() throws Exception {
        var firstResponded = new CountDownLatch(1);
        try (var runner = new FakeRunner(request -> {
            request.respondOk("own of " + request.header("try"));
            if (request.header("try").equals("t1")) firstResponded.countDown();
        })) {
            fixture.putRunner("i1", runner, "a");
            try (var client = fixture.connect()) {
                ProxyFixture.sendPost(client, "/once/x", "t1", "", "");
                assertEquals(
                        "own of t1",
                        ProxyFixture.readResponse(client.getInputStream()).text());
                firstResponded.await();
                runner.setScript(request ->
                        request.respondRaw("HTTP/1.1 200 OK\r\nTry: t0\r\nStamp: s\r\nContent-Length: 5\r\n\r\nwrong"));
                ProxyFixture.sendPost(client, "/once/x", "t2", "", "");
                var response = ProxyFixture.readResponse(client.getInputStream());
                assertEquals(502, response.status());
                assertFalse(response.text().contains("wrong"));
                runner.setScript(request -> request.respondOk("own of " + request.header("try")));
                ProxyFixture.sendPost(client, "/once/x", "t3", "", "");
                assertEquals(
                        "own of t3",
                        ProxyFixture.readResponse(client.getInputStream()).text());
            }
        }
    }

    @Test
    void duplicateResponseReachesNoClient() throws Exception {
        var ownResponse = "HTTP/1.1 200 OK\r\nTry: t1\r\nStamp: s\r\nContent-Length: 3\r\n\r\nown";
        try (var runner = new FakeRunner(request -> request.respondRaw(
                request.header("try").equals("t1")
                        ? ownResponse + ownResponse
                        : ownResponse.replace("t1", request.header("try"))))) {
            fixture.putRunner("i1", runner, "a");
            try (var client = fixture.connect()) {
                ProxyFixture.sendPost(client, "/again/x", "t1", "", "");
                assertEquals(
                        "own",
                        ProxyFixture.readResponse(client.getInputStream()).text());
                ProxyFixture.sendPost(client, "/again/x", "t2", "", "");
                var response = ProxyFixture.readResponse(client.getInputStream());
                assertEquals(200, response.status());
                assertEquals("t2", response.headers().get("Try"));
            }
        }
    }

    @Test
    void rejectsSuccessWithoutStamp() throws Exception {
        try (var runner = new FakeRunner(
                request -> request.respondRaw("HTTP/1.1 200 OK\r\nTry: t\r\nContent-Length: 2\r\n\r\nhi"))) {
            fixture.putRunner("i1", runner, "a");
            assertEquals(502, fixture.post("/once/x", "t", "").status());
        }
    }

    @Test
    void doesNotReuseConnectionClosedWhileIdle() throws Exception {
        var closed = new Semaphore(0);
        try (var runner = new FakeRunner(request -> {
            request.respondOk("one");
            request.socket().close();
            closed.release();
        })) {
            fixture.putRunner("i1", runner, "a");
            for (var i = 0; i < 5; i++) {
                assertEquals("one", fixture.post("/once/x", "t" + i, "").text());
                closed.acquire();
            }
        }
    }

    @Test
    void reusesConnectionForConsecutiveRequests() throws Exception {
        try (var runner = new FakeRunner(request -> request.respondOk("one"))) {
            fixture.putRunner("i1", runner, "a");
            for (var i = 0; i < 5; i++)
                assertEquals("one", fixture.post("/once/x", "t" + i, "").text());
            assertEquals(1, runner.acceptedConnectionCount());
        }
    }

    @Test
    void respondsGatewayTimeoutAtDeadlineNotBefore() throws Exception {
        try (var runner = new FakeRunner(request -> {})) {
            fixture.putRunner("i1", runner, "a");
            try (var client = fixture.connect()) {
                var startNanos = System.nanoTime();
                client.getOutputStream()
                        .write(
                                "POST /once/x HTTP/1.1\r\nHost: h.example\r\nTry: t\r\nDeadline: 700\r\nContent-Length: 0\r\n\r\n"
                                        .getBytes());
                assertEquals(
                        504, ProxyFixture.readResponse(client.getInputStream()).status());
                assertTrue(System.nanoTime() - startNanos >= 690_000_000L);
            }
        }
    }

    @Test
    void clientDisconnectEndsStream() throws Exception {
        try (var runner = new FakeRunner(request -> {
            request.startStream();
            while (true) request.writeChunk("id: 1\ndata: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\n\n");
        })) {
            fixture.putRunner("i1", runner, "a");
            var client = fixture.connect();
            ProxyFixture.sendPost(client, "/stream/x", "t", "", "");
            assertNotNull(runner.awaitRequest());
            client.getInputStream().read();
            client.close();
            var deadlineNanos = System.nanoTime() + 5_000_000_000L;
            while (fixture.server.openRequestCount() > 0 && System.nanoTime() < deadlineNanos) Thread.onSpinWait();
            assertEquals(0, fixture.server.openRequestCount());
        }
    }

    @Test
    void requestBeforeFirstManifestIsServedOnceManifestArrives() throws Exception {
        try (var runner = new FakeRunner(request -> request.respondOk("served"));
                var client = fixture.connect()) {
            fixture.putRunner("i1", runner, "a");
            fixture.publishViewWithoutService(false);
            ProxyFixture.sendPost(client, "/once/x", "t", "", "");
            fixture.publishViewWithoutService(true);
            fixture.publishView();
            assertEquals(
                    "served", ProxyFixture.readResponse(client.getInputStream()).text());
        }
    }

    @Test
    void respondsRetryAfterWithoutManifest() throws Exception {
        fixture.publishViewWithoutService(false);
        var response = fixture.post("/once/x", "t", "");
        assertEquals(503, response.status());
        assertEquals("1.5", response.headers().get("Retry-After"));
    }

    @Test
    void rejectsTooLargeBody() throws Exception {
        try (var runner = new FakeRunner(request -> request.respondOk("a"))) {
            fixture.putRunner("i1", runner, "a");
            assertEquals(413, fixture.post("/once/x", "t", "x".repeat(100_001)).status());
            assertNull(runner.receivedRequests.isEmpty() ? null : runner.receivedRequests.get(0));
        }
    }
}
