package craneway.control.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class QuorumTest {
    private final Quorum five = Quorum.toleratingLosses(2, Map.of("a1", "a", "a2", "a", "b1", "b", "b2", "b", "c1", "c", "c2", "c"));

    @Test
    void twoLossesWantFiveVoters() {
        assertEquals(5, five.voterCount());
    }

    @Test
    void regionsCountBeforeZones() {
        assertTrue(
                five.crowd(List.of("a1", "b1", "c1", "a1", "b1")) < five.crowd(List.of("a1", "a2", "b1", "b2", "a1")));
        assertTrue(
                five.crowd(List.of("a1", "a2", "b1", "b2", "c1")) < five.crowd(List.of("a1", "a1", "b1", "b2", "c1")));
    }

    @Test
    void aSwapIntoAFullRegionIsWorse() {
        var zones = new String[] {"a1", "a2", "b1", "b2", "c1"};
        assertTrue(five.crowdSwapped(zones, 0, "b1") > five.crowd(List.of(zones)));
        assertEquals(five.crowd(List.of(zones)), five.crowdSwapped(zones, 0, "c2"));
    }

    @Test
    void withoutRegionsEachZoneIsItsOwn() {
        assertTrue(Quorum.THREE_VOTERS.crowd(List.of("x", "y", "z")) < Quorum.THREE_VOTERS.crowd(List.of("x", "x", "z")));
    }
}
