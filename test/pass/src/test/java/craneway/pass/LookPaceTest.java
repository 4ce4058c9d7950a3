package craneway.pass;

import static org.junit.jupiter.api.Assertions.assertEquals;

import craneway.state.record.Rows;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A router looks after what is open and what rests, also while short requests come one behind the other. */
class LookPaceTest {
    private static final int LOOKS = 3;

    @Test
    @Timeout(value = 30, unit = TimeUnit.SECONDS)
    void shortRequestsDoNotPutTheNextLookOff() throws Exception {
        ScriptedRunner.Script script = c -> {
            for (var id = c.run(); id != null; id = c.run()) c.write(ScriptedRunner.success(id));
        };
        try (var bed = new Bed();
                var runner = new ScriptedRunner(script);
                var client = bed.connect()) {
            bed.runner("i1", runner.address(), "a", Rows.Runner.UP);
            var until = bed.server.sweepCount() + LOOKS;
            for (var i = 0; bed.server.sweepCount() < until; i++) {
                Bed.send(client, "/again/x", "t" + i, "", "");
                assertEquals(200, Bed.answer(client.getInputStream()).status());
            }
        }
    }
}
