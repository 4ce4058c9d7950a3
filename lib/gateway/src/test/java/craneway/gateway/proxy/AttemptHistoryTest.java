package craneway.gateway.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.gateway.proxy.AttemptHistory.Outcome;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks all sequences of up to three attempts: a request counts as not run only if no attempt may have run. */
class AttemptHistoryTest {
    static Stream<List<Outcome>> sequences() {
        var sequences = new ArrayList<List<Outcome>>();
        for (var first : Outcome.values()) {
            sequences.add(List.of(first));
            for (var second : Outcome.values()) {
                sequences.add(List.of(first, second));
                for (var third : Outcome.values()) sequences.add(List.of(first, second, third));
            }
        }
        return sequences.stream();
    }

    @ParameterizedTest
    @MethodSource("sequences")
    void mayHaveRunUnlessEveryAttemptIsKnownNotToHaveRun(List<Outcome> sequence) {
        var attempts = new AttemptHistory();
        var mayHaveRun = false;
        var sentCount = 0;
        for (var outcome : sequence) {
            attempts.start();
            assertTrue(attempts.mayHaveRun(), "an unresolved attempt may have run");
            switch (outcome) {
                case NEVER_SENT -> attempts.markNeverSent();
                case REJECTED -> attempts.markRejected();
                case MAY_HAVE_RUN -> mayHaveRun = true;
            }
            if (outcome != Outcome.NEVER_SENT) sentCount++;
            assertEquals(mayHaveRun, attempts.mayHaveRun());
            assertEquals(sentCount, attempts.sentCount());
        }
    }

    @Test
    void requestWithoutAttemptsHasNotRun() {
        assertFalse(new AttemptHistory().mayHaveRun());
    }

    @Test
    void outcomeOfAnAttemptCanBeSetOnlyOnce() {
        var attempts = new AttemptHistory();
        assertThrows(IllegalStateException.class, attempts::markNeverSent);
        attempts.start();
        attempts.markRejected();
        assertThrows(IllegalStateException.class, attempts::markNeverSent);
        assertThrows(IllegalStateException.class, attempts::markRejected);
    }
}
