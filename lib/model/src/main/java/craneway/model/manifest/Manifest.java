package craneway.model.manifest;

import java.util.List;
import java.util.Map;

/** What the operators set: regions, zones, services, tenants, routes and limits. Immutable and checked. */
public final class Manifest {
    /** A zone and the region it lies in. */
    public record Zone(String name, String region) {}

    /** A service's runners in one zone; a weight of 0 closes it. */
    public record Cell(String name, String zone, int weight) {}

    /** A kind of work of a service, and whether it may run only once. */
    public record WorkKind(String name, boolean runOnce) {}

    /**
     * How a service's runners behave: health path, connections, microseconds that one stays cold, requests a second
     * that a cold one bears, slots, cache.
     */
    public record Engine(
            String healthPath, int maxConnections, long coldDuration, double coldRequestsPerSecond, int slots, long cacheCapacityTokens) {}

    /** Bounds on what a client may send: bytes of head and body, microseconds for the head and between bytes. */
    public record Limits(int maxHeaderBytes, int maxBodyBytes, long headerTimeout, long idleTimeout) {}

    /** A service with its cells, kinds of work, bounds and the pace of its moves. Times are microseconds. */
    public record Service(
            String name,
            List<WorkKind> work,
            List<Cell> cells,
            int maxBufferedRequests,
            int maxBodyBytes,
            long defaultDeadline,
            long stepPause,
            int unitsPerStep,
            long warmUpTime,
            Engine engine,
            boolean weightedBySlots) {
        /** The kind of work of this name, or null. */
        public WorkKind work(String n) {
            return work.stream().filter(w -> w.name().equals(n)).findFirst().orElse(null);
        }

        /** The cell of this name, or null. */
        public Cell cell(String n) {
            return cells.stream().filter(c -> c.name().equals(n)).findFirst().orElse(null);
        }
    }

    /** A tenant, the regions its work may run in, and its requests a minute; 0 is without bound. */
    public record Tenant(String name, List<String> homeRegions, int quotaPerMinute) {}

    private final String name;
    private final List<String> regions;
    private final Map<String, Zone> zones;
    private final Map<String, Service> services;
    private final Map<String, Tenant> tenants;
    private final Routes routes;
    private final Limits limits;
    private final long lapsedLeaseGrace;
    private final long claimRetention;

    Manifest(
            String name,
            List<String> regions,
            Map<String, Zone> zones,
            Map<String, Service> services,
            Map<String, Tenant> tenants,
            Routes routes,
            Limits limits,
            long lapsedGrace,
            long claimRetention) {
        this.name = name;
        this.regions = regions;
        this.zones = zones;
        this.services = services;
        this.tenants = tenants;
        this.routes = routes;
        this.limits = limits;
        this.lapsedLeaseGrace = lapsedGrace;
        this.claimRetention = claimRetention;
    }

    /** The name of the deployment. */
    public String name() {
        return name;
    }

    /** All regions, in the order that numbers them. */
    public List<String> regions() {
        return regions;
    }

    /** Zones by name. */
    public Map<String, Zone> zones() {
        return zones;
    }

    /** Services by name. */
    public Map<String, Service> services() {
        return services;
    }

    /** The service of this name, or null. */
    public Service service(String n) {
        return services.get(n);
    }

    /** The tenant of this name, or null. */
    public Tenant tenant(String n) {
        return tenants.get(n);
    }

    /** Tenants by name. */
    public Map<String, Tenant> tenants() {
        return tenants;
    }

    /** The routes of the proxied request path. */
    public Routes routes() {
        return routes;
    }

    /** Bounds on what clients may send. */
    public Limits limits() {
        return limits;
    }

    /** How long a router whose lease has lapsed may go on with repeatable work, in microseconds. */
    public long lapsedLeaseGrace() {
        return lapsedLeaseGrace;
    }

    /** How long a claim of run-once work is kept, in microseconds. */
    public long claimRetention() {
        return claimRetention;
    }

    /** The region of a zone, or null where the manifest has no such zone. */
    public String regionOfZone(String z) {
        var x = zones.get(z);
        return x == null ? null : x.region();
    }

    /** The regions that a tenant's work may run in; all of them for a tenant that is not listed. */
    public List<String> homeRegions(String tenant) {
        var t = tenants.get(tenant);
        return t == null ? regions : t.homeRegions();
    }
}
