package craneway.control.store;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** How many stores vote on each part, and which region each zone lies in; a zone not named is its own region. */
public record Quorum(int voters, Map<String, String> regions) {
    private static final int REGION_WEIGHT = 1_000;

    public static final Quorum THREE = new Quorum(3, Map.of());

    /** Voters enough that this many may lose their disks at once. */
    public static Quorum of(int losses, Map<String, String> regions) {
        return new Quorum(2 * losses + 1, regions);
    }

    /** How unevenly stores in these zones are spread over regions, then zones; less is better. */
    int unevenness(List<String> zones) {
        var storesByRegion = new HashMap<String, Integer>();
        var storesByZone = new HashMap<String, Integer>();
        for (var zone : zones) {
            storesByRegion.merge(regions.getOrDefault(zone, zone), 1, Integer::sum);
            storesByZone.merge(zone, 1, Integer::sum);
        }
        return REGION_WEIGHT * sumOfSquares(storesByRegion) + sumOfSquares(storesByZone);
    }

    private static int sumOfSquares(Map<String, Integer> counts) {
        return counts.values().stream().mapToInt(n -> n * n).sum();
    }

    int unevennessWith(String[] zones, String zone) {
        var allZones = new ArrayList<>(Arrays.asList(zones));
        allZones.add(zone);
        return unevenness(allZones);
    }

    int unevennessWithout(String[] zones, int index) {
        var remainingZones = new ArrayList<>(Arrays.asList(zones));
        remainingZones.remove(index);
        return unevenness(remainingZones);
    }

    int unevennessAfterSwap(String[] zones, int index, String zone) {
        var swappedZones = zones.clone();
        swappedZones[index] = zone;
        return unevenness(Arrays.asList(swappedZones));
    }
}
