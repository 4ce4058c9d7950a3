package craneway.control.store;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** How many stores vote on each part, and which region each zone lies in; a zone not named is its own region. */
public record Quorum(int voterCount, Map<String, String> regionByZone) {
    private static final int REGION = 1_000;

    public static final Quorum THREE_VOTERS = new Quorum(3, Map.of());

    /** Voters enough that this many may lose their disks at once. */
    public static Quorum toleratingLosses(int losses, Map<String, String> regions) {
        return new Quorum(2 * losses + 1, regions);
    }

    /** How unevenly stores in these zones are spread over regions, then zones; less is better. */
    int crowd(List<String> zones) {
        var r = new HashMap<String, Integer>();
        var z = new HashMap<String, Integer>();
        for (var x : zones) {
            r.merge(regionByZone.getOrDefault(x, x), 1, Integer::sum);
            z.merge(x, 1, Integer::sum);
        }
        return REGION * squares(r) + squares(z);
    }

    private static int squares(Map<String, Integer> m) {
        return m.values().stream().mapToInt(n -> n * n).sum();
    }

    int crowdWith(String[] zones, String zone) {
        var all = new ArrayList<>(Arrays.asList(zones));
        all.add(zone);
        return crowd(all);
    }

    int crowdWithout(String[] zones, int i) {
        var all = new ArrayList<>(Arrays.asList(zones));
        all.remove(i);
        return crowd(all);
    }

    int crowdSwapped(String[] zones, int i, String zone) {
        var all = zones.clone();
        all[i] = zone;
        return crowd(Arrays.asList(all));
    }
}
