package craneway.control.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Checks how the spread of voters over regions and zones is compared. */
class QuorumTest {
    private final Quorum fiveVoters =
            Quorum.toleratingLosses(2, Map.of("a1", "a", "a2", "a", "b1", "b", "b2", "b", "c1", "c", "c2", "c"));

    @Test
    void toleratingTwoLossesTakesFiveVoters() {
        assertEquals(5, fiveVoters.voterCount());
    }

    @Test
    void spreadOverRegionsCountsBeforeSpreadOverZones() {
        assertTrue(fiveVoters.unevenness(List.of("a1", "b1", "c1", "a1", "b1"))
                < fiveVoters.unevenness(List.of("a1", "a2", "b1", "b2", "a1")));
        assertTrue(fiveVoters.unevenness(List.of("a1", "a2", "b1", "b2", "c1"))
                < fiveVoters.unevenness(List.of("a1", "a1", "b1", "b2", "c1")));
    }

    @Test
    void aSwapIntoACrowdedRegionIncreasesUnevenness() {
        var zones = new String[] {"a1", "a2", "b1", "b2", "c1"};
        assertTrue(fiveVoters.unevennessAfterSwap(zones, 0, "b1") > fiveVoters.unevenness(List.of(zones)));
        assertEquals(fiveVoters.unevenness(List.of(zones)), fiveVoters.unevennessAfterSwap(zones, 0, "c2"));
    }

    @Test
    void withoutRegionsEachZoneCountsAsARegion() {
        assertTrue(Quorum.THREE_VOTERS.unevenness(List.of("x", "y", "z"))
                < Quorum.THREE_VOTERS.unevenness(List.of("x", "x", "z")));
    }
}
