package craneway.model.manifest;

import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/** Finds the route of a host with the longest prefix of a path; prefixes begin and end with a slash. */
public final class Routes {
    private final Map<String, Map<String, Route>> hosts = new HashMap<>();
    private final Map<String, Collection<String>> regionSetsOf = new ConcurrentHashMap<>();
    private final int count;

    /** Routes of distinct hosts and prefixes. */
    public Routes(Collection<Route> all) {
        for (var r : all)
            hosts.computeIfAbsent(r.host().toLowerCase(Locale.ROOT), h -> new HashMap<>())
                    .put(r.pathPrefix(), r);
        count = all.size();
    }

    /** How many there are. */
    public int count() {
        return count;
    }

    /** The region sets that routes to this service are bound to, each its names in order, once. */
    public Collection<String> regionSetsOf(String service) {
        return regionSetsOf.computeIfAbsent(service, this::boundOf);
    }

    private Collection<String> boundOf(String service) {
        var all = new TreeSet<String>();
        for (var h : hosts.values())
            for (var r : h.values())
                if (!r.allowedRegions().isEmpty()
                        && r.shares().stream().anyMatch(s -> s.service().equals(service)))
                    all.add(String.join(" ", r.allowedRegions().stream().sorted().toList()));
        return all;
    }

    /** For each host, its routes by prefix. */
    public Collection<Map<String, Route>> routesOfEachHost() {
        return hosts.values();
    }

    /** The route with the longest prefix of this path, or null; a port in the host is ignored. */
    public Route match(String host, String path) {
        if (host == null) return null;
        var at = host.lastIndexOf(':');
        var h = hosts.get((at > 0 ? host.substring(0, at) : host).toLowerCase(Locale.ROOT));
        if (h == null) return null;
        for (var i = path.lastIndexOf('/'); i >= 0; i = path.lastIndexOf('/', i - 1)) {
            var r = h.get(path.substring(0, i + 1));
            if (r != null) return r;
            if (i == 0) break;
        }
        return null;
    }
}
