package craneway.control.store;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How many stores vote in each part, and how evenly they are spread over regions.
 *
 * @param voterCount the number of voters in each group
 * @param regionByZone the region of each zone, by zone; a zone without an entry counts as a region of its own
 */
public record Quorum(int voterCount, Map<String, String> regionByZone) {
    /** Makes the spread over regions count before the spread over zones, whose sum of squares is far smaller. */
    private static final int REGION_WEIGHT = 1_000;

    /** Three voters, each zone a region of its own. */
    public static final Quorum THREE_VOTERS = new Quorum(3, Map.of());

    /** Enough voters to keep a majority when {@code losses} stores lose their disks at the same time. */
    public static Quorum toleratingLosses(int losses, Map<String, String> regions) {
        return new Quorum(2 * losses + 1, regions);
    }

    /** How unevenly stores in these zones are spread over regions, and then over zones; lower is more even. */
    int unevenness(List<String> zones) {
        var storesByRegion = new HashMap<String, Integer>();
        var storesByZone = new HashMap<String, Integer>();
        for (var zone : zones) {
            storesByRegion.merge(regionByZone.getOrDefault(zone, zone), 1, Integer::sum);
            storesByZone.merge(zone, 1, Integer::sum);
        }
        return REGION_WEIGHT * sumOfSquares(storesByRegion) + sumOfSquares(storesByZone);
    }

    private static int sumOfSquares(Map<String, Integer> counts) {
        return counts.values().stream().mapToInt(n -> n * n).sum();
    }

    /** The unevenness with one more store in a zone. */
    int unevennessWith(String[] zones, String zone) {
        var allZones = new ArrayList<>(Arrays.asList(zones));
        allZones.add(zone);
        return unevenness(allZones);
    }

    /** The unevenness without the store at an index. */
    int unevennessWithout(String[] zones, int index) {
        var remainingZones = new ArrayList<>(Arrays.asList(zones));
        remainingZones.remove(index);
        return unevenness(remainingZones);
    }

    /** The unevenness with the store at an index replaced by one in another zone. */
    int unevennessAfterSwap(String[] zones, int index, String zone) {
        var swappedZones = zones.clone();
        swappedZones[index] = zone;
        return unevenness(Arrays.asList(swappedZones));
    }
}
