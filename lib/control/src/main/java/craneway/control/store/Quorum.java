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
        var r = new HashMap<String, Integer>();
        var z = new HashMap<String, Integer>();
        for (var x : zones) {
            r.merge(regions.getOrDefault(x, x), 1, Integer::sum);
            z.merge(x, 1, Integer::sum);
        }
        return REGION_WEIGHT * sumOfSquares(r) + sumOfSquares(z);
    }

    private static int sumOfSquares(Map<String, Integer> m) {
        return m.values().stream().mapToInt(n -> n * n).sum();
    }

    int unevennessWith(String[] zones, String zone) {
        var all = new ArrayList<>(Arrays.asList(zones));
        all.add(zone);
        return unevenness(all);
    }

    int unevennessWithout(String[] zones, int i) {
        var all = new ArrayList<>(Arrays.asList(zones));
        all.remove(i);
        return unevenness(all);
    }

    int unevennessAfterSwap(String[] zones, int i, String zone) {
        var all = zones.clone();
        all[i] = zone;
        return unevenness(Arrays.asList(all));
    }
}
