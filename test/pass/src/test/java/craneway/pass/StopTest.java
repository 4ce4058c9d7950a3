package craneway.pass;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.state.record.Rows;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** A router that stops knows which answers have not left whole. */
class StopTest {
    private static final int LARGE = 8 << 20;

    @Test
    void anAnswerThatAClientReadsSlowlyIsUnansweredUntilItHasLeftWhole() throws Exception {
        try (var bed = new Bed();
                var runner = new ScriptedRunner(
                        c -> c.write(ScriptedRunner.answer(200, c.run(), "Stamp: s\r\n", "x".repeat(LARGE))));
                var client = bed.connect()) {
            bed.runner("i1", runner.address(), "a", Rows.Runner.UP);
            assertEquals(0, bed.server.unansweredConnectionCount());
            bed.server.startDraining();
            Bed.send(client, "/once/x", "t1", "", "");
            while (runner.ran.isEmpty()) Thread.yield();
            bed.server.stopListening();
            assertEquals(1, bed.server.unansweredConnectionCount());
            var answer = Bed.answer(client.getInputStream());
            assertTrue(answer.whole());
            assertEquals(LARGE, answer.text().getBytes(StandardCharsets.ISO_8859_1).length);
            while (bed.server.unansweredConnectionCount() > 0) Thread.yield();
        }
    }

    @Test
    void stoppingTwiceIsStoppingOnce() throws Exception {
        try (var bed = new Bed()) {
            bed.server.close();
        }
    }
}
