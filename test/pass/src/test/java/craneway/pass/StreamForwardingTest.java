package craneway.pass;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Streams through the proxy: events are forwarded as they arrive, a broken stream is visibly truncated, and a resumable
 * one continues on another runner within the same response.
 */
class StreamForwardingTest {
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
    void eventsAreForwardedAsTheyArrive() throws Exception {
        var firstEventRead = new CountDownLatch(1);
        try (var runner = new FakeRunner(request -> {
            request.startStream();
            request.writeChunk("id: 1\ndata: a\n\n");
            firstEventRead.await();
            request.writeChunk("id: 2\ndata: b\n\n");
            request.write("0\r\n\r\n");
        })) {
            proxy.putRunner("i1", runner, "a");
            try (var client = proxy.connect()) {
                ProxyRig.sendPost(client, "/stream/x", "t", "", "");
                var in = client.getInputStream();
                for (var headerLine = FakeRunner.readLine(in);
                        !headerLine.isEmpty();
                        headerLine = FakeRunner.readLine(in)) assertFalse(headerLine.startsWith("HTTP/1.1 5"));
                var chunkSize = Integer.parseInt(FakeRunner.readLine(in), 16);
                assertEquals("id: 1\ndata: a\n\n", new String(in.readNBytes(chunkSize)));
                firstEventRead.countDown();
                FakeRunner.readLine(in);
                chunkSize = Integer.parseInt(FakeRunner.readLine(in), 16);
                assertEquals("id: 2\ndata: b\n\n", new String(in.readNBytes(chunkSize)));
            }
        }
    }

    @Test
    void streamResetByRunnerIsVisiblyTruncated() throws Exception {
        try (var runner = new FakeRunner(request -> {
            request.startStream();
            request.writeChunk("id: 1\ndata: a\n\n");
            request.resetConnection();
        })) {
            proxy.putRunner("i1", runner, "a");
            assertFalse(proxy.post("/stream/x", "t", "").complete());
            assertEquals(1, runner.receivedRequests.size());
        }
    }

    @Test
    void resumableStreamContinuesInSameResponse() throws Exception {
        FakeRunner.Script script = request -> {
            request.startStream();
            if (request.header("Last-Event-Id") == null) {
                request.writeChunk("id: 1\ndata: a\n\nid: 2\nda");
                request.resetConnection();
            } else {
                request.writeChunk("id: 2\ndata: b\n\n");
                request.writeChunk("id: 3\ndata: c\n\n");
                request.write("0\r\n\r\n");
            }
        };
        try (var runner = new FakeRunner(script);
                var otherRunner = new FakeRunner(script)) {
            proxy.putRunner("i1", runner, "a");
            proxy.putRunner("i2", otherRunner, "a");
            var response = proxy.post("/resume/x", "t", "");
            assertTrue(response.complete());
            assertEquals("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", response.text());
            var firstRequest = runner.receivedRequests.isEmpty()
                    ? otherRunner.receivedRequests.get(0)
                    : runner.receivedRequests.get(0);
            var eachRanOnce = runner.receivedRequests.size() == 1 && otherRunner.receivedRequests.size() == 1;
            assertTrue(eachRanOnce);
            assertTrue(response.headers().get("Stamp").equals("i1")
                    || response.headers().get("Stamp").equals("i2"));
            assertNotNull(firstRequest);
        }
    }

    @Test
    void resumableStreamMovesAwayFromSilentRunner() throws Exception {
        FakeRunner.Script script = request -> {
            request.startStream();
            if (request.header("Last-Event-Id") == null) {
                request.writeChunk("id: 1\ndata: a\n\n");
            } else {
                request.writeChunk("id: 2\ndata: b\n\n");
                request.write("0\r\n\r\n");
            }
        };
        try (var runner = new FakeRunner(script);
                var otherRunner = new FakeRunner(script)) {
            proxy.putRunner("i1", runner, "a");
            proxy.putRunner("i2", otherRunner, "a");
            var response = proxy.post("/resume/x", "t", "");
            assertTrue(response.complete());
            assertEquals("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", response.text());
        }
    }

    @Test
    void silenceDoesNotEndNonResumableStream() throws Exception {
        var secondEventDue = new CountDownLatch(1);
        try (var runner = new FakeRunner(request -> {
                    request.startStream();
                    request.writeChunk("id: 1\ndata: a\n\n");
                    secondEventDue.await(1_500, java.util.concurrent.TimeUnit.MILLISECONDS);
                    request.writeChunk("id: 2\ndata: b\n\n");
                    request.write("0\r\n\r\n");
                });
                var otherRunner = new FakeRunner(request -> request.respondOk("never"))) {
            proxy.putRunner("i1", runner, "a");
            proxy.putRunner("i2", otherRunner, "b");
            var response = proxy.post("/stream/x", "t", "");
            assertTrue(response.complete());
            assertEquals("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", response.text());
            assertEquals(0, otherRunner.receivedRequests.size());
        }
    }
}
