package craneway.sim.history;

import static craneway.sim.history.Operation.Outcome.ACKNOWLEDGED;
import static craneway.sim.history.Operation.Outcome.REFUSED;
import static craneway.sim.history.Operation.Outcome.UNCLEAR;
import static craneway.sim.history.Operation.configure;
import static craneway.sim.history.Operation.markZone;
import static craneway.sim.history.Operation.readConfiguration;
import static craneway.sim.history.Operation.readZone;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Short handwritten histories: those that a single correct store could have produced pass, and each fault is detected.
 */
class HistoryCheckerTest {
    /** The checker accepts the history. */
    private static void assertAccepted(Operation... operations) {
        assertEquals("", HistoryChecker.check(List.of(operations)));
    }

    /** The checker rejects the history; returns its report. */
    private static String assertRejected(Operation... operations) {
        var violation = HistoryChecker.check(List.of(operations));
        assertTrue(violation.startsWith("no order of these calls explains "), violation);
        return violation;
    }

    private static Operation firstConfiguration(String client) {
        return configure(client, 0, 1, "a", 0, 5, ACKNOWLEDGED);
    }

    @Test
    void aStaleReadFails() {
        assertRejected(
                firstConfiguration("x"),
                configure("x", 1, 3, "b", 10, 15, ACKNOWLEDGED),
                readConfiguration("y", 1, "a", 16, 17));
    }

    @Test
    void aReadDuringAChangeMayReturnEitherValue() {
        assertAccepted(
                firstConfiguration("x"),
                configure("x", 1, 3, "b", 10, 20, ACKNOWLEDGED),
                readConfiguration("y", 1, "a", 12, 17));
        assertAccepted(
                firstConfiguration("x"),
                configure("x", 1, 3, "b", 10, 20, ACKNOWLEDGED),
                readConfiguration("y", 3, "b", 12, 17));
    }

    @Test
    void aReadOlderThanAnEarlierReadFails() {
        assertRejected(
                firstConfiguration("x"),
                configure("x", 1, 3, "b", 10, 40, ACKNOWLEDGED),
                readConfiguration("y", 3, "b", 12, 17),
                readConfiguration("z", 1, "a", 18, 20));
    }

    @Test
    void twoAcknowledgedConfigurationsWithOneNumberFail() {
        assertRejected(
                firstConfiguration("x"),
                configure("x", 1, 3, "b", 10, 20, ACKNOWLEDGED),
                configure("y", 1, 3, "c", 10, 20, ACKNOWLEDGED));
    }

    @Test
    void twoAcknowledgedConfigurationsOnOneBaseFail() {
        assertRejected(
                firstConfiguration("x"),
                configure("x", 1, 3, "b", 10, 20, ACKNOWLEDGED),
                configure("y", 1, 4, "c", 10, 20, ACKNOWLEDGED));
    }

    @Test
    void oneOfTwoConfigurationsWithOneNumberIsRefused() {
        assertAccepted(
                firstConfiguration("x"),
                configure("x", 1, 3, "b", 10, 20, ACKNOWLEDGED),
                configure("y", 1, 3, "c", 10, 20, REFUSED),
                readConfiguration("y", 3, "b", 21, 22));
    }

    @Test
    void refusingAResentConfigurationFails() {
        assertRejected(firstConfiguration("x"), configure("x", 0, 1, "a", 10, 11, REFUSED));
    }

    @Test
    void refusingAResentConfigurationAfterLaterOnesFails() {
        assertRejected(
                firstConfiguration("x"),
                configure("x", 1, 3, "b", 10, 20, ACKNOWLEDGED),
                configure("x", 0, 1, "a", 30, 31, REFUSED));
    }

    @Test
    void aResentConfigurationIsAcknowledgedAgainAndChangesNothing() {
        assertAccepted(
                firstConfiguration("x"),
                configure("x", 1, 3, "b", 10, 20, ACKNOWLEDGED),
                configure("x", 0, 1, "a", 30, 31, ACKNOWLEDGED),
                readConfiguration("y", 3, "b", 32, 33));
    }

    @Test
    void aRefusedConfigurationThatTakesEffectFails() {
        assertRejected(
                firstConfiguration("x"),
                configure("x", 1, 3, "b", 10, 20, REFUSED),
                readConfiguration("y", 3, "b", 32, 33));
    }

    @Test
    void refusingAValidConfigurationFails() {
        assertRejected(firstConfiguration("x"), configure("x", 1, 3, "b", 10, 20, REFUSED));
    }

    @Test
    void losingAnAcknowledgedConfigurationFails() {
        var violation = assertRejected(
                firstConfiguration("x"),
                configure("x", 1, 3, "b", 10, 15, ACKNOWLEDGED),
                readConfiguration("y", 3, "b", 16, 17),
                configure("y", 1, 4, "c", 20, 25, ACKNOWLEDGED),
                readConfiguration("y", 4, "c", 30, 35));
        assertTrue(violation.contains("put 4 on 1 (c)") && !violation.contains("put 1 on 0"), violation);
    }

    @Test
    void anUnclearConfigurationMayTakeEffectLateOrNever() {
        assertAccepted(
                firstConfiguration("x"),
                configure("y", 1, 3, "b", 10, 20, UNCLEAR),
                readConfiguration("x", 1, "a", 30, 31),
                readConfiguration("x", 3, "b", 90, 91));
        assertAccepted(
                firstConfiguration("x"),
                configure("y", 1, 3, "b", 10, 20, UNCLEAR),
                readConfiguration("x", 1, "a", 90, 91));
    }

    @Test
    void anUnclearConfigurationThatTakesEffectAfterALaterOneFails() {
        assertRejected(
                firstConfiguration("x"),
                configure("x", 1, 3, "b", 10, 20, UNCLEAR),
                configure("x", 1, 4, "c", 30, 31, ACKNOWLEDGED),
                readConfiguration("x", 3, "b", 40, 41));
    }

    @Test
    void aLateRetryThatUndoesALaterTakeBackFails() {
        assertRejected(
                markZone("x", "z1", true, 0, 10, UNCLEAR),
                markZone("x", "z1", false, 20, 25, ACKNOWLEDGED),
                readZone("y", "z1", true, 30, 31));
    }

    @Test
    void aLateDuplicateOfAnAcknowledgedCommandFails() {
        assertRejected(
                markZone("x", "z1", true, 0, 10, ACKNOWLEDGED),
                markZone("x", "z1", false, 20, 25, ACKNOWLEDGED),
                readZone("y", "z1", false, 30, 31),
                readZone("y", "z1", true, 40, 41));
    }

    @Test
    void anUnclearZoneCommandMayTakeEffectUntilALaterOneIsAcknowledged() {
        assertAccepted(
                markZone("x", "z1", true, 0, 10, UNCLEAR),
                readZone("y", "z1", false, 11, 12),
                readZone("y", "z1", true, 14, 15),
                markZone("x", "z1", false, 20, 25, ACKNOWLEDGED),
                readZone("y", "z1", false, 30, 31));
    }

    @Test
    void refusingAZoneCommandFails() {
        assertRejected(markZone("x", "z1", true, 0, 10, REFUSED));
    }

    @Test
    void zonesAndConfigurationAreIndependent() {
        assertAccepted(
                firstConfiguration("x"),
                markZone("x", "z1", true, 0, 10, ACKNOWLEDGED),
                readZone("y", "z2", false, 30, 31),
                readConfiguration("y", 1, "a", 30, 31),
                readZone("y", "z1", true, 30, 31));
    }
}
