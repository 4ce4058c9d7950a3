package craneway.model.manifest;

import java.util.List;
import java.util.Map;

/**
 * The operators' declaration of a deployment: its regions, zones, services, tenants, routes and limits.
 *
 * <p>Instances are validated by {@link ManifestReader} and immutable. All times are microseconds.
 */
public final class Manifest {
    /**
     * A failure domain within a region.
     *
     * @param name unique among all zones
     * @param region the region that contains the zone
     */
    public record Zone(String name, String region) {}

    /**
     * The runners of a service in one zone.
     *
     * @param name unique within the service
     * @param zone the zone of the runners
     * @param weight the share of the service's units relative to its other cells; 0 closes the cell
     */
    public record Cell(String name, String zone, int weight) {}

    /**
     * A kind of work that a service accepts.
     *
     * @param name unique within the service
     * @param runOnce whether a request of this kind must not be run more than once
     */
    public record WorkKind(String name, boolean runOnce) {}

    /**
     * The properties of a service's runners.
     *
     * @param healthPath path of the runner's health check
     * @param maxConnections the most connections that one runner accepts
     * @param coldDuration how long a runner stays cold after its start, in microseconds
     * @param coldRequestsPerSecond requests per second that a cold runner can serve
     * @param slots requests that one runner works on concurrently
     * @param cacheCapacityTokens capacity of one runner's prefix cache, in tokens
     */
    public record Engine(
            String healthPath,
            int maxConnections,
            long coldDuration,
            double coldRequestsPerSecond,
            int slots,
            long cacheCapacityTokens) {}

    /**
     * Limits on what a client may send and how slowly.
     *
     * @param maxHeaderBytes the largest request head, in bytes
     * @param maxBodyBytes the largest request body, in bytes
     * @param headerTimeout how long a client may take to send the request head, in microseconds; 0 means no limit
     * @param idleTimeout how long a connection may stay idle, in microseconds; 0 means no limit
     */
    public record Limits(int maxHeaderBytes, int maxBodyBytes, long headerTimeout, long idleTimeout) {}

    /**
     * A service, its cells, its limits and the rate at which its units are moved between cells.
     *
     * @param name unique among all services
     * @param work the kinds of work that the service accepts
     * @param cells the cells that run the service
     * @param maxBufferedRequests the most requests for the service that one router buffers
     * @param maxBodyBytes the largest request body, in bytes
     * @param defaultDeadline the time limit of a request that brings none, in microseconds
     * @param stepPause the pause between two steps of a move, in microseconds
     * @param unitsPerStep the most units that one step moves
     * @param warmUpTime the time in which a cold runner ramps up to all of its slots, in microseconds
     * @param engine the properties of the service's runners
     * @param weightedBySlots whether cells are weighted by the slots of their runners instead of by {@link Cell#weight}
     */
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
        /** Returns the kind of work with this name, or null if there is none. */
        public WorkKind work(String workName) {
            return work.stream()
                    .filter(w -> w.name().equals(workName))
                    .findFirst()
                    .orElse(null);
        }

        /** Returns the cell with this name, or null if there is none. */
        public Cell cell(String cellName) {
            return cells.stream()
                    .filter(c -> c.name().equals(cellName))
                    .findFirst()
                    .orElse(null);
        }
    }

    /**
     * A tenant and its restrictions.
     *
     * @param name unique among all tenants
     * @param homeRegions the regions that the tenant's requests may run in
     * @param quotaPerMinute the most requests per minute; 0 means no limit
     */
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

    /** Returns the name of the deployment. */
    public String name() {
        return name;
    }

    /** Returns all regions; the position in this list is the number of the region. */
    public List<String> regions() {
        return regions;
    }

    /** Returns the zones by name. */
    public Map<String, Zone> zones() {
        return zones;
    }

    /** Returns the services by name. */
    public Map<String, Service> services() {
        return services;
    }

    /** Returns the service with this name, or null if there is none. */
    public Service service(String serviceName) {
        return services.get(serviceName);
    }

    /** Returns the tenant with this name, or null if it is not listed. */
    public Tenant tenant(String tenantName) {
        return tenants.get(tenantName);
    }

    /** Returns the tenants by name. */
    public Map<String, Tenant> tenants() {
        return tenants;
    }

    /** Returns the routes for proxied requests. */
    public Routes routes() {
        return routes;
    }

    /** Returns the limits on what clients may send. */
    public Limits limits() {
        return limits;
    }

    /** Returns how long a router whose lease has lapsed may still run repeatable work, in microseconds. */
    public long lapsedLeaseGrace() {
        return lapsedLeaseGrace;
    }

    /** Returns how long the claim of a run-once request is retained, in microseconds. */
    public long claimRetention() {
        return claimRetention;
    }

    /** Returns the region that contains this zone, or null if the manifest has no such zone. */
    public String regionOfZone(String zoneName) {
        var zone = zones.get(zoneName);
        return zone == null ? null : zone.region();
    }

    /** Returns the regions that a tenant's requests may run in: all regions if the tenant is not listed. */
    public List<String> homeRegions(String tenantName) {
        var tenant = tenants.get(tenantName);
        return tenant == null ? regions : tenant.homeRegions();
    }
}
