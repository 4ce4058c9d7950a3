package craneway.pass;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.state.record.Rows;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * An unexpected exception in the router while it forwards a runner's bytes. The piece being forwarded is lost, so the
 * response must be visibly truncated there: it must not continue after the gap, nor promise that the request has not
 * run.
 */
class InternalFaultTest {
    private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
    private static final String SECOND_EVENT = "id: 2\ndata: b\n\n";
    private static final String THIRD_EVENT = "id: 3\ndata: c\n\n";

    private static String streamHead(boolean chunked) {
        var head = ScriptedRunner.streamResponseHead("t1");
        return chunked ? head : head.replace("Transfer-Encoding: chunked", "Connection: close");
    }

    /** The exception comes with the second piece, the third, or the end of the response. */
    @ParameterizedTest
    @CsvSource({
        "/stream/x,true,0", "/stream/x,true,1", "/stream/x,true,2", "/resume/x,true,0", "/resume/x,true,1",
        "/resume/x,true,2", "/once/x,true,0", "/stream/x,false,0", "/stream/x,false,1", "/resume/x,false,0",
        "/resume/x,false,1", "/once/x,false,0"
    })
    void responseNeverSkipsPieceLostToException(String path, boolean chunked, int piece) throws Exception {
        var firstArrived = new CountDownLatch(1);
        var fault = new PlannedFault("craneway.gateway.proxy.RunnerCall", piece);
        ScriptedRunner.Script script = connection -> {
            if (connection.runRequest() == null) return;
            connection.write(streamHead(chunked) + (chunked ? ScriptedRunner.chunk(FIRST_EVENT) : FIRST_EVENT));
            firstArrived.await();
            connection.write(chunked ? ScriptedRunner.chunk(SECOND_EVENT) : SECOND_EVENT);
            if (piece == 0) fault.awaitThrown();
            connection.write(chunked ? ScriptedRunner.chunk(THIRD_EVENT) + "0\r\n\r\n" : THIRD_EVENT);
            if (chunked) connection.awaitPeerClose();
            else connection.close();
        };
        try (var proxy = new ProxyRig();
                var runner = new ScriptedRunner(script);
                var client = proxy.connect()) {
            proxy.putRunner("i1", runner.address(), "a", Rows.Runner.UP);
            ProxyRig.sendPost(client, path, "t1", "", "");
            var planningStream = new TextActionInputStream(client.getInputStream(), FIRST_EVENT, () -> {
                proxy.planClockFault(fault);
                firstArrived.countDown();
            });
            var response = ProxyRig.read(planningStream);
            fault.awaitThrown();
            assertTrue((FIRST_EVENT + SECOND_EVENT + THIRD_EVENT).startsWith(response.text()), response.text());
            assertFalse(
                    response.complete() && !response.text().equals(FIRST_EVENT + SECOND_EVENT + THIRD_EVENT),
                    response.text());
        }
    }

    /**
     * An exception before any byte of the response is sent: the client gets a 502, which does not promise that nothing
     * ran.
     */
    @ParameterizedTest
    @CsvSource({"/stream/x", "/once/x"})
    void exceptionBeforeResponseYieldsBadGateway(String path) throws Exception {
        ScriptedRunner.Script script = connection -> {
            if (connection.runRequest() == null) return;
            connection.write(ScriptedRunner.success("t1"));
            connection.awaitPeerClose();
        };
        try (var proxy = new ProxyRig();
                var runner = new ScriptedRunner(script)) {
            proxy.planClockFault(new PlannedFault("craneway.gateway.proxy.ResponseReader", 0));
            proxy.putRunner("i1", runner.address(), "a", Rows.Runner.UP);
            assertEquals(502, proxy.post(path, "t1", "").status());
        }
    }
}
