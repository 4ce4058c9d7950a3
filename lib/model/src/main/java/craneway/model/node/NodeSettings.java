package craneway.model.node;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * The settings of a router or store that a platform starts. Addresses are written IP:PORT and times are microseconds.
 *
 * @param name the name of the process
 * @param zone the zone that the process runs in
 * @param region the region of that zone
 * @param regionByZone for each zone, the name of its region
 * @param clientAddress where a router accepts client requests; null for a store
 * @param readinessAddress where a router answers readiness probes; null for a store
 * @param operatorAddress where a store accepts the operators' requests; null for a router
 * @param directoryAddress where a store answers which routers are serving; null for a router
 * @param peerAddress where the process accepts messages from other processes
 * @param seedAddresses the peer addresses of the stores that a process contacts first
 * @param mayBootstrap whether a store may bootstrap a new core
 * @param dataDirectory the data directory of a store; null for a router
 * @param toleratedMachineLosses how many machines may be lost without the loss of service
 * @param runnerHeartbeatInterval the interval between two heartbeats of a runner
 * @param tolerances the time limits and tolerances of the platform
 */
public record NodeSettings(
        String name,
        String zone,
        String region,
        Map<String, String> regionByZone,
        String clientAddress,
        String readinessAddress,
        String operatorAddress,
        String directoryAddress,
        String peerAddress,
        List<String> seedAddresses,
        boolean mayBootstrap,
        Path dataDirectory,
        int toleratedMachineLosses,
        long runnerHeartbeatInterval,
        Tolerances tolerances) {
    /**
     * The limits and tolerances that the platform sets for a node. Times are microseconds. Only {@link #shutdownGrace},
     * {@link #retryRatio}, {@link #retryWindow}, {@link #retrySlack} and {@link #maxTtl} are used so far.
     *
     * @param contactTimeout limit on the time without contact to the core
     * @param drainTimeout limit on the time to drain a node
     * @param shutdownGrace how long a process may take to shut down gracefully
     * @param applyTimeout limit on the time until a new configuration is applied
     * @param evacuationTimeout limit on the time to evacuate a zone
     * @param retryRatio the share of the requests within the window that may be retried
     * @param retryWindow the length of the window over which retries are counted
     * @param retrySlack the number of retries per window that all routers together may make in addition to the ratio
     * @param coldExcess the tolerated factor between the actual and the permitted request rate of a cold runner
     * @param coldSlack the number of requests to cold runners that is tolerated in addition
     * @param maxTransitTime limit on the transit time of a message
     * @param maxTtl the longest time for which a client may cache router addresses
     */
    public record Tolerances(
            long contactTimeout,
            long drainTimeout,
            long shutdownGrace,
            long applyTimeout,
            long evacuationTimeout,
            double retryRatio,
            long retryWindow,
            double retrySlack,
            double coldExcess,
            double coldSlack,
            long maxTransitTime,
            long maxTtl) {}
}
