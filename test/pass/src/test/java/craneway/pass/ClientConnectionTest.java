package craneway.pass;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.state.record.Rows;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Client connections: pipelining, split requests, half-closes, incomplete and smuggled requests, and what runs for
 * them.
 */
class ClientConnectionTest {
    private ProxyRig proxy;
    private FakeRunner runner;

    @BeforeEach
    void openProxy() throws Exception {
        proxy = new ProxyRig();
        runner = new FakeRunner(request -> request.respondOk("own of " + request.header("try")));
        proxy.putRunner("i1", runner.address(), "a", Rows.Runner.UP);
    }

    @AfterEach
    void closeProxy() throws Exception {
        runner.close();
        proxy.close();
    }

    private static void send(Socket client, String raw) throws IOException {
        client.getOutputStream().write(raw.getBytes(StandardCharsets.ISO_8859_1));
        client.getOutputStream().flush();
    }

    private static String request(String path, String attemptId, String body) {
        return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nTry: " + attemptId + "\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    private List<String> attemptIds() {
        return runner.receivedRequests.stream()
                .map(request -> request.header("Try"))
                .toList();
    }

    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/again/x", "/stream/x"})
    void pipelinedRequestsGetTheirResponsesInOrder(String path) throws Exception {
        try (var client = proxy.connect()) {
            send(client, request(path, "t1", "b1") + request(path, "t2", "") + request(path, "t3", "b3"));
            for (var id : List.of("t1", "t2", "t3"))
                assertEquals(
                        "own of " + id, ProxyRig.read(client.getInputStream()).text());
        }
        assertEquals(List.of("t1", "t2", "t3"), attemptIds());
    }

    @Test
    void pipelinedRequestAfterTruncatedResponseIsNotRun() throws Exception {
        runner.setScript(request -> {
            request.write("HTTP/1.1 200 OK\r\nTry: " + request.header("try")
                    + "\r\nStamp: s\r\nContent-Length: 50\r\n\r\nshort");
            request.socket().close();
        });
        try (var client = proxy.connect()) {
            send(client, request("/once/x", "t1", "") + request("/once/x", "t2", ""));
            assertFalse(ProxyRig.read(client.getInputStream()).complete());
        }
        assertEquals(List.of("t1"), attemptIds());
    }

    @Test
    void requestSentByteByByteIsOneRequest() throws Exception {
        try (var client = proxy.connect()) {
            client.setTcpNoDelay(true);
            for (var character : request("/once/x?q=1", "t1", "body").toCharArray())
                send(client, String.valueOf(character));
            assertEquals("own of t1", ProxyRig.read(client.getInputStream()).text());
        }
        assertEquals("body", new String(runner.receivedRequests.get(0).body(), StandardCharsets.ISO_8859_1));
    }

    @Test
    void chunkedBodySentByteByByteArrivesComplete() throws Exception {
        try (var client = proxy.connect()) {
            client.setTcpNoDelay(true);
            var raw = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nTry: t1\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nLater: x\r\n\r\n";
            for (var character : raw.toCharArray()) send(client, String.valueOf(character));
            assertEquals("own of t1", ProxyRig.read(client.getInputStream()).text());
            send(client, request("/once/x", "t2", ""));
            assertEquals("own of t2", ProxyRig.read(client.getInputStream()).text());
        }
        var forwarded = runner.receivedRequests.get(0);
        assertEquals("abcde", new String(forwarded.body(), StandardCharsets.ISO_8859_1));
        assertEquals("5", forwarded.header("Content-Length"));
        assertFalse(forwarded.headers().containsKey("Transfer-Encoding"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/again/x", "/resume/x"})
    void halfClosedClientGetsItsResponse(String path) throws Exception {
        try (var client = proxy.connect()) {
            send(client, request(path, "t1", "body"));
            client.shutdownOutput();
            assertEquals(
                    "own of t1",
                    ResponseParser.readAfterInterim(client.getInputStream()).text());
        }
    }

    @Test
    void clientThatHalfClosesDuringRunGetsItsResponse() throws Exception {
        var responseDue = new CountDownLatch(1);
        runner.setScript(request -> {
            responseDue.await();
            request.respondOk("own of t1");
        });
        try (var client = proxy.connect()) {
            send(client, request("/once/x", "t1", "body"));
            runner.awaitRequest();
            client.shutdownOutput();
            responseDue.countDown();
            assertEquals(
                    "own of t1",
                    ResponseParser.readAfterInterim(client.getInputStream()).text());
        }
    }

    @ParameterizedTest
    @CsvSource({"30,close", "30,reset", "30,half", "95,close", "95,reset", "95,half"})
    void incompleteRequestIsNotRun(int sentBytes, String howItEnds) throws Exception {
        try (var client = proxy.connect()) {
            send(client, request("/once/x", "t1", "body".repeat(10)).substring(0, sentBytes));
            if (howItEnds.equals("reset")) client.setSoLinger(true, 0);
            if (howItEnds.equals("half")) client.shutdownOutput();
            else client.close();
            if (howItEnds.equals("half"))
                assertFalse(ProxyRig.read(client.getInputStream()).status() / 100 == 2);
        }
        assertEquals("own of t2", proxy.post("/once/x", "t2", "").text());
        assertEquals(List.of("t2"), attemptIds());
    }

    @Test
    void responseForResetClientReachesNoOtherClient() throws Exception {
        var responseDue = new CountDownLatch(1);
        runner.setScript(request -> {
            if (request.header("try").equals("t1")) responseDue.await(5, TimeUnit.SECONDS);
            request.respondOk("own of " + request.header("try"));
        });
        try (var client = proxy.connect()) {
            send(client, request("/once/x", "t1", ""));
            runner.awaitRequest();
            client.setSoLinger(true, 0);
        }
        responseDue.countDown();
        for (var i = 2; i < 6; i++)
            assertEquals("own of t" + i, proxy.post("/once/x", "t" + i, "").text());
        assertEquals(5, runner.receivedRequests.size());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
                "Content-Length: 0\r\nContent-Length: 60\r\n\r\n",
                "Transfer-Encoding: xchunked\r\nContent-Length: 0\r\n\r\n",
                "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
                "Content-Length: -1\r\n\r\n",
                "Content-Length: 0x0\r\n\r\n",
                "Transfer-Encoding : chunked\r\nContent-Length: 0\r\n\r\n"
            })
    void requestSmugglingIsPrevented(String framing) throws Exception {
        try (var client = proxy.connect()) {
            var hiddenRequest = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nTry: hidden\r\nContent-Length: 0\r\n\r\n";
            send(client, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nTry: t1\r\n" + framing + hiddenRequest);
            client.shutdownOutput();
            var firstResponse = ProxyRig.read(client.getInputStream());
            var hiddenRuns = attemptIds().stream().filter("hidden"::equals).count();
            assertTrue(
                    firstResponse.status() / 100 == 4 || firstResponse.status() == 0 || hiddenRuns <= 1,
                    firstResponse.status() + " " + attemptIds());
            for (var request : runner.receivedRequests)
                assertFalse(new String(request.body(), StandardCharsets.ISO_8859_1).contains("hidden"));
        }
        assertEquals("own of t9", proxy.post("/once/x", "t9", "").text());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "/once/a;b=c/d",
                "/once/a%2Fb//c/./d/../e",
                "/once/x?a=b?c&d=%20+%2B",
                "/once/%C3%A4?%FF",
                "/once/x|y",
                "/once/x?q=|{}",
                "/once/x;p?q"
            })
    void pathAndQueryAreForwardedUnchanged(String path) throws Exception {
        assertEquals("own of t1", proxy.post(path, "t1", "").text());
        assertEquals(
                "POST " + path + " HTTP/1.1", runner.receivedRequests.get(0).requestLine());
    }

    @ParameterizedTest
    @ValueSource(strings = {"GET", "HEAD", "PUT", "DELETE", "PATCH", "OPTIONS", "PURGE"})
    void methodIsForwardedUnchanged(String method) throws Exception {
        try (var client = proxy.connect()) {
            send(client, method + " /once/x HTTP/1.1\r\nHost: h.example\r\nTry: t1\r\n\r\n");
            if (method.equals("HEAD")) runner.awaitRequest();
            else
                assertEquals("own of t1", ProxyRig.read(client.getInputStream()).text());
        }
        assertEquals(
                method + " /once/x HTTP/1.1", runner.receivedRequests.get(0).requestLine());
    }

    @Test
    void clientThatExpectsContinueReceivesIt() throws Exception {
        try (var client = proxy.connect()) {
            send(
                    client,
                    "POST /once/x HTTP/1.1\r\nHost: h.example\r\nTry: t1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
            assertEquals("HTTP/1.1 100 Continue", FakeRunner.readLine(client.getInputStream()));
            assertEquals("", FakeRunner.readLine(client.getInputStream()));
            send(client, "body");
            assertEquals("own of t1", ProxyRig.read(client.getInputStream()).text());
        }
        assertFalse(runner.receivedRequests.get(0).headers().containsKey("Expect"));
    }
}
