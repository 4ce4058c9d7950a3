package craneway.model.node;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** Where a program sits on a platform that starts it: its addresses, its place and the bounds it keeps. Addresses are IP:PORT. */
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
    /** Times are microseconds. */
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
