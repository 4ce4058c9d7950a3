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
        try (var fixture = new ProxyFixture();
                var runner = new ScriptedRunner(connection -> connection.write(ScriptedRunner.response(
                        200, connection.runRequest(), "Stamp: s\r\n", "x".repeat(LARGE_BODY_BYTES))));
                var client = fixture.connect()) {
            fixture.putRunner("i1", runner.address(), "a", Rows.Runner.UP);
            assertEquals(0, fixture.server.unansweredConnectionCount());
            fixture.server.startDraining();
            ProxyFixture.sendPost(client, "/once/x", "t1", "", "");
            while (runner.ranAttemptIds.isEmpty()) Thread.yield();
            fixture.server.stopListening();
            assertEquals(1, fixture.server.unansweredConnectionCount());
            var response = ProxyFixture.readResponse(client.getInputStream());
            assertTrue(response.complete());
            assertEquals(LARGE_BODY_BYTES, response.text().getBytes(StandardCharsets.ISO_8859_1).length);
            while (fixture.server.unansweredConnectionCount() > 0) Thread.yield();
        }
    }

    @Test
    void closingTwiceHasNoFurtherEffect() throws Exception {
        try (var fixture = new ProxyFixture()) {
            fixture.server.close();
        }
    }
}
