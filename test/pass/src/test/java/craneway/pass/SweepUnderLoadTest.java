package craneway.pass;

import static org.junit.jupiter.api.Assertions.assertEquals;

import craneway.state.record.Rows;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against a router that never sweeps its open requests and idle connections, because each of a series of short
 * requests puts the next sweep off.
 */
class SweepUnderLoadTest {
    private static final int EXPECTED_SWEEPS = 3;

    @Test
    @Timeout(value = 30, unit = TimeUnit.SECONDS)
    void consecutiveShortRequestsDoNotDelaySweeps() throws Exception {
        ScriptedRunner.Script script = connection -> {
            for (var attemptId = connection.runRequest(); attemptId != null; attemptId = connection.runRequest())
                connection.write(ScriptedRunner.success(attemptId));
        };
        try (var proxy = new ProxyRig();
                var runner = new ScriptedRunner(script);
                var client = proxy.connect()) {
            proxy.putRunner("i1", runner.address(), "a", Rows.Runner.UP);
            var lastSweep = proxy.server.sweepCount() + EXPECTED_SWEEPS;
            for (var i = 0; proxy.server.sweepCount() < lastSweep; i++) {
                ProxyRig.sendPost(client, "/again/x", "t" + i, "", "");
                assertEquals(200, ProxyRig.read(client.getInputStream()).status());
            }
        }
    }
}
