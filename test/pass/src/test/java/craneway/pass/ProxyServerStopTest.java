package craneway.pass;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.state.record.Rows;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** A router that stops counts the client connections whose responses have not been sent completely. */
class ProxyServerStopTest {
    private static final int LARGE_BODY_BYTES = 8 << 20;

    @Test
    void slowlyReadResponseCountsAsUnansweredUntilFullySent() throws Exception {
        try (var proxy = new ProxyRig();
                var runner = new ScriptedRunner(connection -> connection.write(ScriptedRunner.response(
                        200, connection.runRequest(), "Stamp: s\r\n", "x".repeat(LARGE_BODY_BYTES))));
                var client = proxy.connect()) {
            proxy.putRunner("i1", runner.address(), "a", Rows.Runner.UP);
            assertEquals(0, proxy.server.unansweredConnectionCount());
            proxy.server.startDraining();
            ProxyRig.sendPost(client, "/once/x", "t1", "", "");
            while (runner.ranAttemptIds.isEmpty()) Thread.yield();
            proxy.server.stopListening();
            assertEquals(1, proxy.server.unansweredConnectionCount());
            var response = ProxyRig.read(client.getInputStream());
            assertTrue(response.complete());
            assertEquals(LARGE_BODY_BYTES, response.text().getBytes(StandardCharsets.ISO_8859_1).length);
            while (proxy.server.unansweredConnectionCount() > 0) Thread.yield();
        }
    }

    @Test
    void closingTwiceHasNoFurtherEffect() throws Exception {
        try (var proxy = new ProxyRig()) {
            proxy.server.close();
        }
    }
}
