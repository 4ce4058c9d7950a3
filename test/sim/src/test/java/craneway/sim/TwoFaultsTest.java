package craneway.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import craneway.sim.TwoFaultsRun.FaultPair;
import craneway.sim.TwoFaultsRun.StoreFault;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * All pairs of two faults at stores, the second 0 to 10 s after the first: a sample by default, every pair with
 * {@code -Dcraneway.events=all}.
 */
class TwoFaultsTest {
    private static final long GAP_STEP_MICROS = 250_000;
    private static final long COARSE_GAP_STEP_MICROS = 1_250_000;
    private static final long MAX_GAP_MICROS = 10_000_000;
    private static final int SAMPLING_INTERVAL = Integer.getInteger("craneway.events.every", 127);
    private static final String DESCRIPTION_FILTER = System.getProperty("craneway.events.only", "");
    private static final boolean PRINT_EVENTS = Boolean.getBoolean("craneway.events.notes");
    private static final boolean PLAY_ALL = "all".equals(System.getProperty("craneway.events"));

    private static String readManifest() {
        try {
            return Files.readString(Path.of(TwoFaultsTest.class
                    .getResource("/craneway/sim/maticar.json")
                    .toURI()));
        } catch (IOException | URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }

    private static List<FaultPair> scenarios(int storeCount, long gapStepMicros) {
        var pairs = new ArrayList<FaultPair>();
        for (var first : StoreFault.values())
            for (var second : StoreFault.values())
                for (var gap = 0L; gap <= MAX_GAP_MICROS; gap += gapStepMicros)
                    for (var same : new boolean[] {false, true})
                        for (var leader : new boolean[] {false, true})
                            pairs.add(new FaultPair(storeCount, first, second, gap, leader, same));
        return pairs;
    }

    private static void playSampled(List<FaultPair> pairs, int interval) {
        var manifestText = readManifest();
        var failures = new ArrayList<String>();
        var played = 0;
        var requiredAvailability = 0;
        var longestGapSeconds = 0.0;
        for (var i = interval / 2; i < pairs.size(); i += interval) {
            if (!pairs.get(i).toString().contains(DESCRIPTION_FILTER)) continue;
            var outcome = TwoFaultsRun.play(pairs.get(i), manifestText);
            played++;
            if (outcome.availabilityRequired()) requiredAvailability++;
            longestGapSeconds = Math.max(longestGapSeconds, outcome.longestGapSeconds());
            if (!outcome.violations().isEmpty()) {
                failures.add(outcome.scenario() + ": " + outcome.violations());
                System.out.println(failures.get(failures.size() - 1));
            }
            if (played % 500 == 0) System.out.println("two events: " + played + " runs so far");
            if (PRINT_EVENTS) outcome.eventLog().forEach(System.out::println);
        }
        System.out.println("two events: " + played + " of " + pairs.size() + " runs, " + requiredAvailability
                + " within the tolerated faults, longest time without an acknowledgement " + longestGapSeconds + " s, "
                + failures.size()
                + " wrong");
        assertEquals(List.of(), failures);
    }

    /**
     * When part 2 got its leader later than part 0, the store without its disk never learned that leader and never
     * joined it.
     */
    @Test
    void aStoreWithoutItsDiskJoinsAPartThatGetsItsLeaderLater() {
        var outcome = TwoFaultsRun.play(
                new FaultPair(3, StoreFault.POWER, StoreFault.LOST_DISK, 500_000, true, false), readManifest());
        assertEquals(List.of(), outcome.violations(), () -> String.join("\n", outcome.eventLog()));
    }

    @Test
    void threeStoresKeepTheirGuaranteesThroughTwoFaults() {
        playSampled(scenarios(3, GAP_STEP_MICROS), PLAY_ALL ? 1 : SAMPLING_INTERVAL);
    }

    @Test
    void sixStoresKeepTheirGuaranteesThroughTwoFaults() {
        playSampled(scenarios(6, COARSE_GAP_STEP_MICROS), PLAY_ALL ? 1 : SAMPLING_INTERVAL);
    }
}
