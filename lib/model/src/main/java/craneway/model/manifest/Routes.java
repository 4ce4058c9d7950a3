package craneway.model.manifest;

import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Looks up routes by host and longest path prefix. Prefixes begin and end with a slash.
 *
 * <p>Safe for several threads.
 */
public final class Routes {
    private final Map<String, Map<String, Route>> prefixesByHost = new HashMap<>();
    private final Map<String, Collection<String>> regionSetsByService = new ConcurrentHashMap<>();
    private final int count;

    /** Creates the lookup for these routes. No two of them may have the same host and prefix. */
    public Routes(Collection<Route> routes) {
        for (var r : routes)
            prefixesByHost
                    .computeIfAbsent(r.host().toLowerCase(Locale.ROOT), h -> new HashMap<>())
                    .put(r.pathPrefix(), r);
        count = routes.size();
    }

    /** Returns the number of routes. */
    public int count() {
        return count;
    }

    /**
     * Returns the distinct region sets that routes to this service are restricted to, each as its sorted region names
     * joined by spaces.
     */
    public Collection<String> regionSetsOf(String service) {
        return regionSetsByService.computeIfAbsent(service, this::findRegionSets);
    }

    private Collection<String> findRegionSets(String service) {
        var regionSets = new TreeSet<String>();
        for (var byPrefix : prefixesByHost.values())
            for (var r : byPrefix.values())
                if (!r.allowedRegions().isEmpty()
                        && r.shares().stream().anyMatch(s -> s.service().equals(service)))
                    regionSets.add(String.join(
                            " ", r.allowedRegions().stream().sorted().toList()));
        return regionSets;
    }

    /** Returns, for each host, its routes by prefix. */
    public Collection<Map<String, Route>> routesOfEachHost() {
        return prefixesByHost.values();
    }

    /**
     * Returns the route of the host whose prefix is the longest one that this path begins with, or null if there is
     * none. A port in {@code host} is ignored.
     */
    public Route match(String host, String path) {
        if (host == null) return null;
        var colon = host.lastIndexOf(':');
        var byPrefix = prefixesByHost.get((colon > 0 ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT));
        if (byPrefix == null) return null;
        for (var slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            var route = byPrefix.get(path.substring(0, slash + 1));
            if (route != null) return route;
            if (slash == 0) break;
        }
        return null;
    }
}
