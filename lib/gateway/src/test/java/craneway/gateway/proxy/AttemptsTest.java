package craneway.gateway.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.gateway.proxy.Attempts.Fate;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Every sequence of up to three attempts: a promise only where no attempt may have run. */
class AttemptsTest {
    static Stream<List<Fate>> sequences() {
        var all = new ArrayList<List<Fate>>();
        for (var a : Fate.values()) {
            all.add(List.of(a));
            for (var b : Fate.values()) {
                all.add(List.of(a, b));
                for (var c : Fate.values()) all.add(List.of(a, b, c));
            }
        }
        return all.stream();
    }

    @ParameterizedTest
    @MethodSource("sequences")
    void mayHaveRunUnlessEveryAttemptIsKnownNotTo(List<Fate> sequence) {
        var attempts = new Attempts();
        var mayHaveRun = false;
        var sent = 0;
        for (var fate : sequence) {
            attempts.begin();
            assertTrue(attempts.mayHaveRun(), "an attempt under way may run");
            switch (fate) {
                case NEVER_LEFT -> attempts.neverLeft();
                case TURNED_AWAY -> attempts.turnedAway();
                case MAY_HAVE_RUN -> mayHaveRun = true;
            }
            if (fate != Fate.NEVER_LEFT) sent++;
            assertEquals(mayHaveRun, attempts.mayHaveRun());
            assertEquals(sent, attempts.sent());
        }
    }

    @Test
    void beforeAnyAttemptNothingHasRun() {
        assertFalse(new Attempts().mayHaveRun());
    }

    @Test
    void whatIsKnownOfAnAttemptIsSaidOnce() {
        var attempts = new Attempts();
        assertThrows(IllegalStateException.class, attempts::neverLeft);
        attempts.begin();
        attempts.turnedAway();
        assertThrows(IllegalStateException.class, attempts::neverLeft);
        assertThrows(IllegalStateException.class, attempts::turnedAway);
    }
}
