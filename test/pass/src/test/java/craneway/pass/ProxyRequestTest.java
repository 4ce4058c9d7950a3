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

/** Rules for a single request: what the proxy forwards and retries, and which responses reach the client. */
class ProxyRequestTest {
    private static final String NOT_RUN = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
    private ProxyRig proxy;

    @BeforeEach
    void openProxy() throws Exception {
        proxy = new ProxyRig();
    }

    @AfterEach
    void closeProxy() {
        proxy.close();
    }

    @Test
    void forwardsMethodPathQueryBodyAndHeadersUnchanged() throws Exception {
        try (var runner = new FakeRunner(request -> request.write(
                "HTTP/1.1 200 OK\r\nTry: t1\r\nStamp: abc\r\nOther: v\r\nContent-Length: 3\r\n\r\n\u0000\u00ffz"))) {
            proxy.putRunner("i1", runner, "a");
            try (var client = proxy.connect()) {
                ProxyRig.sendPost(client, "/once/a%20b/%7Ex?q=1%202&z", "t1", "Own: yes\r\n", "b\u0001\u00fedy");
                var response = ProxyRig.read(client.getInputStream());
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
            proxy.putRunner("i1", runner, "a");
            try (var client = proxy.connect()) {
                client.getOutputStream()
                        .write(
                                "POST /once/x HTTP/1.1\r\nHost: h.example\r\nTry: t\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
                                        .getBytes());
                assertEquals(200, ProxyRig.read(client.getInputStream()).status());
            }
            assertEquals("abcde", new String(runner.receivedRequests.get(0).body()));
        }
    }

    @Test
    void respondsNotFoundOnlyWithoutMatchingRoute() throws Exception {
        try (var runner = new FakeRunner(request -> request.respondOk("fine"))) {
            proxy.putRunner("i1", runner, "a");
            assertEquals(404, proxy.post("/none/x", "t", "").status());
            assertEquals(200, proxy.post("/once/x", "t", "").status());
        }
    }

    @Test
    void doesNotRetryOnceOnlyRequestThatMayHaveRun() throws Exception {
        try (var runner = new FakeRunner(FakeRunner.Request::resetConnection);
                var otherRunner = new FakeRunner(FakeRunner.Request::resetConnection)) {
            proxy.putRunner("i1", runner, "a");
            proxy.putRunner("i2", otherRunner, "a");
            assertEquals(502, proxy.post("/once/x", "t", "body").status());
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
            proxy.putRunner("i1", runner, "a");
            proxy.putRunner("i2", otherRunner, "a");
            assertEquals("second", proxy.post("/again/x", "t", "body").text());
            assertEquals(2, runner.receivedRequests.size() + otherRunner.receivedRequests.size());
        }
    }

    @Test
    void retriesOnOtherRunnerAfterNotRunResponse() throws Exception {
        var requestCount = new AtomicInteger();
        FakeRunner.Script declinesFirstRequest = request -> {
            if (requestCount.getAndIncrement() == 0) request.write(NOT_RUN);
            else request.respondOk("ran");
        };
        try (var runner = new FakeRunner(declinesFirstRequest);
                var otherRunner = new FakeRunner(declinesFirstRequest)) {
            proxy.putRunner("i1", runner, "a");
            proxy.putRunner("i2", otherRunner, "a");
            assertEquals("ran", proxy.post("/once/x", "t", "body").text());
        }
    }

    @Test
    void respondsUnavailableWithRetryAfterWhenNoRunnerRanRequest() throws Exception {
        try (var runner = new FakeRunner(request -> request.write(NOT_RUN))) {
            proxy.putRunner("i1", runner, "a");
            var response = proxy.post("/once/x", "t", "body");
            assertEquals(503, response.status());
            assertNotNull(response.headers().get("Retry-After"));
        }
    }

    @Test
    void stopsSendingToAddressThatNowServesAnotherRunner() throws Exception {
        try (var runner = new FakeRunner(request ->
                        request.write("HTTP/1.1 421 Misdirected Request\r\nRunner: i9\r\nContent-Length: 0\r\n\r\n"));
                var otherRunner = new FakeRunner(request -> request.respondOk("ran"))) {
            proxy.putRunner("i1", runner, "a");
            proxy.putRunner("i2", otherRunner, "b");
            assertEquals("ran", proxy.post("/once/x", "t1", "body").text());
            assertEquals("ran", proxy.post("/once/x", "t2", "body").text());
            assertEquals(1, runner.receivedRequests.size());
        }
    }

    @Test
    void retriesOnOtherRunnerAfterRefusedConnection() throws Exception {
        var closedRunner = new FakeRunner(request -> {});
        var address = closedRunner.address();
        closedRunner.close();
        try (var otherRunner = new FakeRunner(request -> request.respondOk("ran"))) {
            proxy.putRunner("i1", address, "a", Rows.Runner.UP);
            proxy.putRunner("i2", otherRunner, "b");
            assertEquals("ran", proxy.post("/once/x", "t", "body").text());
        }
    }

    @Test
    void responseWithWrongAttemptIdReachesNoClient() throws Exception {
        var firstResponded = new CountDownLatch(1);
        try (var runner = new FakeRunner(request -> {
            request.respondOk("own of " + request.header("try"));
            if (request.header("try").equals("t1")) firstResponded.countDown();
        })) {
            proxy.putRunner("i1", runner, "a");
            try (var client = proxy.connect()) {
                ProxyRig.sendPost(client, "/once/x", "t1", "", "");
                assertEquals("own of t1", ProxyRig.read(client.getInputStream()).text());
                firstResponded.await();
                runner.setScript(request ->
                        request.write("HTTP/1.1 200 OK\r\nTry: t0\r\nStamp: s\r\nContent-Length: 5\r\n\r\nwrong"));
                ProxyRig.sendPost(client, "/once/x", "t2", "", "");
                var response = ProxyRig.read(client.getInputStream());
                assertEquals(502, response.status());
                assertFalse(response.text().contains("wrong"));
                runner.setScript(request -> request.respondOk("own of " + request.header("try")));
                ProxyRig.sendPost(client, "/once/x", "t3", "", "");
                assertEquals("own of t3", ProxyRig.read(client.getInputStream()).text());
            }
        }
    }

    @Test
    void duplicateResponseReachesNoClient() throws Exception {
        var ownResponse = "HTTP/1.1 200 OK\r\nTry: t1\r\nStamp: s\r\nContent-Length: 3\r\n\r\nown";
        try (var runner = new FakeRunner(request -> request.write(
                request.header("try").equals("t1")
                        ? ownResponse + ownResponse
                        : ownResponse.replace("t1", request.header("try"))))) {
            proxy.putRunner("i1", runner, "a");
            try (var client = proxy.connect()) {
                ProxyRig.sendPost(client, "/again/x", "t1", "", "");
                assertEquals("own", ProxyRig.read(client.getInputStream()).text());
                ProxyRig.sendPost(client, "/again/x", "t2", "", "");
                var response = ProxyRig.read(client.getInputStream());
                assertEquals(200, response.status());
                assertEquals("t2", response.headers().get("Try"));
            }
        }
    }

    @Test
    void rejectsSuccessWithoutStamp() throws Exception {
        try (var runner =
                new FakeRunner(request -> request.write("HTTP/1.1 200 OK\r\nTry: t\r\nContent-Length: 2\r\n\r\nhi"))) {
            proxy.putRunner("i1", runner, "a");
            assertEquals(502, proxy.post("/once/x", "t", "").status());
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
            proxy.putRunner("i1", runner, "a");
            for (var i = 0; i < 5; i++) {
                assertEquals("one", proxy.post("/once/x", "t" + i, "").text());
                closed.acquire();
            }
        }
    }

    @Test
    void reusesConnectionForConsecutiveRequests() throws Exception {
        try (var runner = new FakeRunner(request -> request.respondOk("one"))) {
            proxy.putRunner("i1", runner, "a");
            for (var i = 0; i < 5; i++)
                assertEquals("one", proxy.post("/once/x", "t" + i, "").text());
            assertEquals(1, runner.acceptedConnectionCount());
        }
    }

    @Test
    void respondsGatewayTimeoutAtDeadlineNotBefore() throws Exception {
        try (var runner = new FakeRunner(request -> {})) {
            proxy.putRunner("i1", runner, "a");
            try (var client = proxy.connect()) {
                var startNanos = System.nanoTime();
                client.getOutputStream()
                        .write(
                                "POST /once/x HTTP/1.1\r\nHost: h.example\r\nTry: t\r\nDeadline: 700\r\nContent-Length: 0\r\n\r\n"
                                        .getBytes());
                assertEquals(504, ProxyRig.read(client.getInputStream()).status());
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
            proxy.putRunner("i1", runner, "a");
            var client = proxy.connect();
            ProxyRig.sendPost(client, "/stream/x", "t", "", "");
            assertNotNull(runner.awaitRequest());
            client.getInputStream().read();
            client.close();
            var deadlineNanos = System.nanoTime() + 5_000_000_000L;
            while (proxy.server.openRequestCount() > 0 && System.nanoTime() < deadlineNanos) Thread.onSpinWait();
            assertEquals(0, proxy.server.openRequestCount());
        }
    }

    @Test
    void requestBeforeFirstManifestIsServedOnceManifestArrives() throws Exception {
        try (var runner = new FakeRunner(request -> request.respondOk("served"));
                var client = proxy.connect()) {
            proxy.putRunner("i1", runner, "a");
            proxy.publishViewWithoutService(false);
            ProxyRig.sendPost(client, "/once/x", "t", "", "");
            proxy.publishViewWithoutService(true);
            proxy.publishView();
            assertEquals("served", ProxyRig.read(client.getInputStream()).text());
        }
    }

    @Test
    void respondsRetryAfterWithoutManifest() throws Exception {
        proxy.publishViewWithoutService(false);
        var response = proxy.post("/once/x", "t", "");
        assertEquals(503, response.status());
        assertEquals("1.5", response.headers().get("Retry-After"));
    }

    @Test
    void rejectsTooLargeBody() throws Exception {
        try (var runner = new FakeRunner(request -> request.respondOk("a"))) {
            proxy.putRunner("i1", runner, "a");
            assertEquals(413, proxy.post("/once/x", "t", "x".repeat(100_001)).status());
            assertNull(runner.receivedRequests.isEmpty() ? null : runner.receivedRequests.get(0));
        }
    }
}
