package craneway.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import craneway.sim.TwoFaultsRun.StoreFault;
import craneway.sim.TwoFaultsRun.FaultPair;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Every order of two events, the second 0 to 10 s after the first; all of them with -Dcraneway.events=all. */
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

    private static List<FaultPair> scenarios(int stores, long step) {
        var all = new ArrayList<FaultPair>();
        for (var first : StoreFault.values())
            for (var second : StoreFault.values())
                for (var gap = 0L; gap <= MAX_GAP_MICROS; gap += step)
                    for (var same : new boolean[] {false, true})
                        for (var leader : new boolean[] {false, true})
                            all.add(new FaultPair(stores, first, second, gap, leader, same));
        return all;
    }

    private static void playSampled(List<FaultPair> all, int every) {
        var text = readManifest();
        var wrong = new ArrayList<String>();
        var played = 0;
        var permitted = 0;
        var worst = 0.0;
        for (var i = every / 2; i < all.size(); i += every) {
            if (!all.get(i).toString().contains(DESCRIPTION_FILTER)) continue;
            var r = TwoFaultsRun.play(all.get(i), text);
            played++;
            if (r.availabilityRequired()) permitted++;
            worst = Math.max(worst, r.longestGapSeconds());
            if (!r.violations().isEmpty()) {
                wrong.add(r.scenario() + ": " + r.violations());
                System.out.println(wrong.get(wrong.size() - 1));
            }
            if (played % 500 == 0) System.out.println("two events: " + played + " runs so far");
            if (PRINT_EVENTS) r.eventLog().forEach(System.out::println);
        }
        System.out.println("two events: " + played + " of " + all.size() + " runs, " + permitted
                + " within what may be lost, longest time without an order " + worst + " s, " + wrong.size()
                + " wrong");
        assertEquals(List.of(), wrong);
    }

    /** Part 2 had its leader later than part 0: the store without its disk never learned who leads it and never joined it. */
    @Test
    void aStoreJoinsEveryPartThoughOneGetsItsLeaderLater() {
        var r = TwoFaultsRun.play(new FaultPair(3, StoreFault.POWER, StoreFault.LOST_DISK, 500_000, true, false), readManifest());
        assertEquals(List.of(), r.violations(), () -> String.join("\n", r.eventLog()));
    }

    @Test
    void ofThreeStores() {
        playSampled(scenarios(3, GAP_STEP_MICROS), PLAY_ALL ? 1 : SAMPLING_INTERVAL);
    }

    @Test
    void ofSixStores() {
        playSampled(scenarios(6, COARSE_GAP_STEP_MICROS), PLAY_ALL ? 1 : SAMPLING_INTERVAL);
    }
}
